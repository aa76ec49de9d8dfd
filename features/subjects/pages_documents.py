"""Subject: documents with all fields of the users' pages, and one with an extra field."""

from types import MappingProxyType
from typing import Any

from subjects.users_platform import CONFIG, ENTRY

ENGINE: MappingProxyType[str, Any] = MappingProxyType(
    {
        'slots': 64,
        'kv_capacity': 575849,
        'token_kv_bytes': 35136,
        'link_mbps': 1500000.0,
        'moves': True,
        'backups': True,
        'stride': 9,
        'most': 12,
        'pin_ms': 4000.0,
        'hold_ms': 2000.0,
        'handle_s': 5.0,
        'models': [],
    }
)
SERVICE: MappingProxyType[str, Any] = MappingProxyType(
    {
        'name': 'engines',
        'health_path': '/health',
        'max_conns': 450,
        'protocol': 'h1',
        'tls': False,
        'cold_s': 3.0,
        'cold_per_s': 16.0,
        'engine': dict(ENGINE),
    }
)
PAGES_CONFIG: MappingProxyType[str, Any] = MappingProxyType(
    {
        **CONFIG,
        'routes': [{**CONFIG['routes'][0], 'gap_aim_ms': 400, 'allowed_regions': ['porto']}],
        'services': [dict(SERVICE)],
    }
)
PAGES_ENTRY: MappingProxyType[str, Any] = MappingProxyType(
    {**ENTRY, 'cold_left_ms': 0, 'stage': 'unified', 'models': [], 'born': 1, 'leaves_ms': 5}
)


def config_with(field: str) -> dict[str, Any]:
    """Return a configuration with an extra field in each of its parts."""
    more = {field: 1}
    engine = {**ENGINE, **more}
    return {
        **CONFIG,
        **more,
        'routes': [{**CONFIG['routes'][0], **more}],
        'services': [{**SERVICE, 'engine': engine, **more}],
        'tenants': [{**CONFIG['tenants'][0], **more}],
        'limits': {**CONFIG['limits'], **more},
    }
