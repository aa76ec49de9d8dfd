"""The HTTP side towards callers and operators.

Nothing is imported here: a forwarding router would load the other interface with its server,
0.16 s of each start.
"""
