"""Settings of waiting forwarded requests."""

import dataclasses

from endivesaddle.fleet import settings
from endivesaddle.fleet.routing import fair_waiting  # noqa: F401 (registers its policy)
from endivesaddle.fleet.routing.waiting_policies import waiting_policies


@dataclasses.dataclass(frozen=True)
class WaitingSettings:
    """What happens to forwarded requests while no server has capacity."""

    waiting_policy: str = settings.option(
        'waiting-policy',
        f'whether requests wait while all servers are full: {", ".join(waiting_policies)}',
        'off',
        settings.choice(*waiting_policies),
    )
