"""The router and sidecar processes, put together."""
