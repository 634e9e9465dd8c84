"""Adapters between the users' platform and berylstair; they make no decisions."""
