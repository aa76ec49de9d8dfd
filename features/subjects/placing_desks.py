"""Subject: many routers and engines, where routers report to each other once per second.

Each prompt is placed by ``select_engine``, with or without the sidecars beside the engines.
Reports to the sidecars arrive at once: they take milliseconds, and prompts take tens of
milliseconds.
"""

from random import Random

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.engine_admission import EngineAdmission, Load, LoadReport
from endivesaddle.fleet.routing.engine_selection import (
    AdmissionControl,
    NoAdmissionControl,
    select_engine,
)
from endivesaddle.fleet.routing.placement_policies import PlacementContext, placement_policies
from subjects.links_loop import ScenarioLoop

REPORT_S = 1.05
PREFILL_TOKENS_PER_S = 38_700.0
MEAN_TOKENS = 3000
SPREAD = 1.1
MAX_TOKENS = 45_000
GOAL_S = 0.8


class SidecarCalls:
    """One router's calls to the sidecars beside the engines."""

    def __init__(self, load: 'AdmissionLoad', router: int) -> None:
        """Call as ``router``."""
        self._load = load
        self._router = router

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Ask for admission to the engine."""
        admission = self._load.admissions[backend.server.lifetime]
        admitted = admission.admit(
            self._report(backend), tokens, most_tokens, self._load.now_unix_s
        )
        self._apply_others(admission, backend)
        return admitted

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Report to the admission of the engine."""
        self._load.admissions[backend.server.lifetime].report(
            self._report(backend), self._load.now_unix_s
        )

    def _apply_others(self, admission: EngineAdmission, backend: Backend) -> None:
        others = admission.others(str(self._router), self._load.now_unix_s)
        backend.apply_sidecar_report(
            others.in_flight, others.prefilling_tokens, self._load.now_unix_s
        )

    def _report(self, backend: Backend) -> LoadReport:
        self._load.report_count += 1
        load = Load(backend.own_prefilling_tokens, backend.own_in_flight)
        return LoadReport(str(self._router), self._load.report_count, load)


class AdmissionLoad:
    """Engines that process one prompt after the other, and routers with their own state."""

    def __init__(self, engines: int, routers: int, asked: bool) -> None:
        """Initialize idle; with ``asked`` there are sidecars beside the engines."""
        servers = [RouteServer(f'life-{n}', 'engines', f'{n}:1', 'a', 64) for n in range(engines)]
        self.admissions = {server.lifetime: EngineAdmission() for server in servers}
        self.report_count = 0
        self.now_unix_s = 0.0
        self.late = 0
        self.count = 0
        self._free_unix_s = dict.fromkeys(self.admissions, 0.0)
        self._routers = [[Backend(server) for server in servers] for _ in range(routers)]
        self._admissions: list[AdmissionControl] = [
            SidecarCalls(self, n) if asked else NoAdmissionControl() for n in range(routers)
        ]
        self._waiting: list[tuple[float, int, Backend, ForwardRoutingRequest]] = []
        self._next_report_unix_s = 0.0

    def play(self, per_s: float, seconds: float) -> None:
        """Send prompts at random times to random routers."""
        loop = ScenarioLoop()
        random = Random(3)
        while self.now_unix_s < seconds:
            self.now_unix_s += random.expovariate(per_s)
            self._end_processed()
            self._exchange_reports()
            tokens = int(min(MAX_TOKENS, MEAN_TOKENS * random.lognormvariate(-0.6, SPREAD)))
            loop.run(self._send, random.randrange(len(self._routers)), tokens)
        loop.close()

    async def _send(self, router: int, tokens: int) -> None:
        routing_request = ForwardRoutingRequest(
            str(self.count), 'engines', ((f'o{self.count}', tokens),), tokens, 100
        )
        context = PlacementContext(
            routing_request, self._routers[router], 'a', True, self.now_unix_s, self.count
        )
        policy = placement_policies.find('earliest_first_event')
        backend = await select_engine(context, policy, self._admissions[router])
        backend.start_request(routing_request, self.now_unix_s)
        name = backend.server.lifetime
        start_unix_s = max(self.now_unix_s, self._free_unix_s[name])
        self._free_unix_s[name] = start_unix_s + tokens / PREFILL_TOKENS_PER_S
        self._waiting.append((self._free_unix_s[name], router, backend, routing_request))
        self.count += 1
        self.late += self._free_unix_s[name] - self.now_unix_s > GOAL_S

    def _end_processed(self) -> None:
        for first_unix_s, router, backend, routing_request in self._waiting:
            if first_unix_s <= self.now_unix_s:
                backend.end_request(routing_request)
                self._admissions[router].load_changed(backend, soon=True)
        self._waiting = [entry for entry in self._waiting if entry[0] > self.now_unix_s]

    def _exchange_reports(self) -> None:
        if self.now_unix_s < self._next_report_unix_s:
            return
        self._next_report_unix_s = self.now_unix_s + REPORT_S
        for number, _ in enumerate(self.admissions):
            backends = [backends[number] for backends in self._routers]
            requests = sum(backend.own_in_flight for backend in backends)
            tokens = sum(backend.own_prefilling_tokens for backend in backends)
            for backend in backends:
                backend.others_in_flight = requests - backend.own_in_flight
                backend.others_prefilling_tokens = tokens - backend.own_prefilling_tokens
