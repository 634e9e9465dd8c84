"""Layer-4 load balancer for packet-sprayed UDP flows and CoAP requests."""

__all__ = ['VERSION']

VERSION = '0.1.0'
