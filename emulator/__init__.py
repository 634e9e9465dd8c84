"""Emulators of what berylstair talks to: platform, fabric, backend servers and callers."""

__all__ = ()
