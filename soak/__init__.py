"""Soak test: real instance processes under random faults injected from outside."""
