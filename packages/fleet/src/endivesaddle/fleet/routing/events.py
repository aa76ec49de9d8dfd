"""Events of routing and admission."""

from endivesaddle.fleet.events import event

SERVER_ASIDE = event(
    3000,
    'WARNING',
    'server_aside',
    'a backend server failed or stopped responding and is set aside',
)
SERVER_BACK = event(
    3001, 'INFO', 'server_back', 'a probe succeeded; the backend server gets requests again'
)
CACHE_GAP = event(
    3003,
    'DEBUG',
    'cache_gap',
    'cache events of a backend server are missing; its cache state is uncertain',
)
SERVER_SLOW = event(
    3004, 'WARNING', 'server_slow', 'responses of a backend server take too long; it is set aside'
)
