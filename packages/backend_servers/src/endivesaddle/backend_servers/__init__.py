"""Clients of model engines and plain services.

Nothing is imported here: a forwarding router would load the clients of the other interface and
their library, 0.16 s of each start.
"""
