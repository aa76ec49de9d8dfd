"""The entry point of a router for callers' requests."""

import asyncio
from typing import Any

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Answer, Budgets, CallerRequest, Routing
from endivesaddle.fleet.ports import FleetView, Peers
from endivesaddle.fleet.requests.answering import Answering
from endivesaddle.fleet.requests.background import BackgroundTasks
from endivesaddle.fleet.requests.call_executor import CallExecutor
from endivesaddle.fleet.requests.calls import Call
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.counting import Counters
from endivesaddle.fleet.requests.finishing import Finisher
from endivesaddle.fleet.requests.holder_client import HolderClient
from endivesaddle.fleet.requests.settings import RequestSettings
from endivesaddle.fleet.sentinels import Refusal


class RequestFront:
    """Claims, routes and runs a request, or attaches to its run; implements ``Front``."""

    def __init__(
        self,
        settings: RequestSettings,
        identity: Identity,
        budgets: Budgets,
        routing: Routing,
        peers: Peers,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Initialize for the callers of one router."""
        self._background = BackgroundTasks()
        self._identity = identity
        self._counters = Counters()
        self._calls: dict[str, Call] = {}
        context = Context(settings, identity, budgets, peers, view, clock)
        holder_client = HolderClient(context)
        self._finisher = Finisher(context, holder_client, self._background)
        self._answering = Answering(context, routing, self._finisher, self._background)
        self._executor = CallExecutor(
            context, routing, holder_client, self._finisher, self._answering
        )

    async def run(self) -> None:
        """Run the background settlements and cancellations until cancelled."""
        await self._background.run()

    async def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Claim, route and run a request, or attach to its run."""
        call = Call(request, self._identity.data_centre)
        self._calls[call.call_id] = call
        try:
            result = await self._executor.execute(call)
        except asyncio.CancelledError:
            self._counters.add('abandoned')
            self._answering.abandon(call)
            raise
        finally:
            self._calls.pop(call.call_id)
        self._count(result)
        return result

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump of the process."""
        return {
            'calls': [
                {
                    'request_key': call.request.key,
                    'state': call.record.state,
                    'attempt': call.record.attempt,
                    'server': call.record.server,
                }
                for call in self._calls.values()
            ],
            'counters': self.counters(),
        }

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics, by name."""
        return {
            **self._counters.read(),
            'calls': len(self._calls),
            'unsettled': self._finisher.unsettled,
        }

    def _count(self, result: Answer | Refusal) -> None:
        if isinstance(result, Refusal):
            self._counters.add(f'refused_{result.code}')
        else:
            self._counters.add('answers')
