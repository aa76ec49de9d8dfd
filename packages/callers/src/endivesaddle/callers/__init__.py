"""The HTTP interface for callers and operators.

This module imports nothing: a forwarding router would otherwise load the interface of other
routers and its HTTP server, which takes 0.16 s at each start.
"""
