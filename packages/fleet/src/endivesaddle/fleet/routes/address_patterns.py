"""Patterns of the addresses that others write; each matches a whole text."""

_PORT = '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
_OCTET = '(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])'

ANY_HOST = rf'\A[!-~]{{1,253}}:{_PORT}\Z'
"""A host in printable ASCII and a port, "host:port"; an IPv6 address is in brackets."""
IPV4 = rf'\A{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z'
"""An IPv4 address and a port."""
