"""Clients of model engines and plain services.

Nothing is imported here: a forwarding router would also load the clients of the other interface and
their HTTP library, which adds 0.16 s to each start.
"""
