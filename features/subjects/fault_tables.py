"""The two tables of the fault matrix: the steps of a request, and the faults.

A step names the message at which a fault is injected. A fault is a function of the scene,
registered by its name.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import rpcs

if TYPE_CHECKING:
    from subjects.fault_scene import Scene


class Step(NamedTuple):
    """A step of a request, identified by a message between two instances.

    ``nth`` is the number of the message among those of its kind. ``unrepeatable_only`` steps
    exist only for requests that may not be repeated, ``streamed_only`` ones only for streamed
    answers.
    """

    phase: str
    path: str
    nth: int = 1
    unrepeatable_only: bool = False
    streamed_only: bool = False

    def exists(self, unrepeatable: bool, stream: bool) -> bool:
        """Tell whether a kind of request has this step."""
        return (unrepeatable or not self.unrepeatable_only) and (stream or not self.streamed_only)


STEPS: Mapping[str, Step] = MappingProxyType(
    {
        'claim is asked': Step('asked', rpcs.CLAIM.path),
        'claim is granted': Step('answered', rpcs.CLAIM.path),
        'copy is asked': Step('asked', rpcs.COPY.path, unrepeatable_only=True),
        'copy is kept': Step('answered', rpcs.COPY.path, unrepeatable_only=True),
        'dispatch is asked': Step('asked', rpcs.NOTE.path),
        'dispatch is written': Step('answered', rpcs.NOTE.path),
        'start is asked': Step('asked', rpcs.START.path),
        'run has started': Step('answered', rpcs.START.path),
        'answer begins': Step('chunk', rpcs.FOLLOW.path),
        'answer is half sent': Step('chunk', rpcs.FOLLOW.path, nth=4, streamed_only=True),
        'settlement is asked': Step('asked', rpcs.SETTLE.path),
        'request is settled': Step('answered', rpcs.SETTLE.path),
    }
)
"""All steps of a request without a retry, in order."""

Injection = Callable[['Scene'], None]
faults: Registry[Injection] = Registry('fault')


@faults.add('router dies')
def router_dies(scene: 'Scene') -> None:
    """Kill the router that serves the caller."""
    scene.fleet.kill(scene.entry)


@faults.add('holder dies')
def holder_dies(scene: 'Scene') -> None:
    """Kill the holder of the account in the caller's data centre."""
    scene.fleet.kill(scene.holder)


@faults.add('sidecar dies')
def sidecar_dies(scene: 'Scene') -> None:
    """Kill the sidecar of the run; the engine stops when its connection closes."""
    scene.fleet.kill(scene.sidecar)


@faults.add('backend server dies')
def server_dies(scene: 'Scene') -> None:
    """Kill the engine: its run breaks off, and new requests don't reach it."""
    switches = scene.engines[scene.sidecar].switches
    switches.unreachable = True
    switches.die_after_tokens = 2


@faults.add('router pauses')
def router_pauses(scene: 'Scene') -> None:
    """Pause the router; it resumes later in the state that it had."""
    scene.fleet.pause(scene.entry)


@faults.add('holder pauses')
def holder_pauses(scene: 'Scene') -> None:
    """Pause the holder; when it resumes, it assumes that it still holds its shards."""
    scene.fleet.pause(scene.holder)


@faults.add('sidecar pauses')
def sidecar_pauses(scene: 'Scene') -> None:
    """Pause the sidecar; it resumes later in the state that it had."""
    scene.fleet.pause(scene.sidecar)


@faults.add('router and sidecar part')
def router_sidecar_part(scene: 'Scene') -> None:
    """Partition the router and the sidecar, without an error to either of them."""
    scene.partition(scene.entry, scene.sidecar)


@faults.add('router and holder part')
def router_holder_part(scene: 'Scene') -> None:
    """Partition the router and the holder."""
    scene.partition(scene.entry, scene.holder)


@faults.add('holder and sidecar part')
def holder_sidecar_part(scene: 'Scene') -> None:
    """Partition the holder and the sidecar."""
    scene.partition(scene.holder, scene.sidecar)


@faults.add('data centres part')
def data_centres_part(scene: 'Scene') -> None:
    """Partition the two data centres."""
    near = scene.fleet.addresses(scene.near)
    scene.fleet.net.part(near, scene.fleet.addresses(scene.far))


@faults.add('sidecar falls silent to router')
def silent_back(scene: 'Scene') -> None:
    """Lose all messages from the sidecar to the router, in this direction only."""
    scene.one_way(scene.sidecar, scene.entry, Fault.SILENT)


@faults.add('router falls silent to sidecar')
def silent_forth(scene: 'Scene') -> None:
    """Lose all messages from the router to the sidecar, in this direction only."""
    scene.one_way(scene.entry, scene.sidecar, Fault.SILENT)


@faults.add('replies to router are lost')
def replies_lost(scene: 'Scene') -> None:
    """Deliver the router's messages and lose the replies."""
    scene.from_router(Fault.LOST_REPLY)


@faults.add('messages of router come twice')
def twice(scene: 'Scene') -> None:
    """Deliver each message of the router twice."""
    scene.from_router(Fault.DUPLICATE)


@faults.add('messages of router come late')
def late(scene: 'Scene') -> None:
    """Deliver each message of the router seconds after its call timed out."""
    scene.from_router(Fault.LATE)


@faults.add('messages of router come again late')
def again_late(scene: 'Scene') -> None:
    """Deliver each message of the router at once, and again seconds later."""
    scene.from_router(Fault.LATE_COPY)


@faults.add('chunks of sidecar come twice')
def chunks_twice(scene: 'Scene') -> None:
    """Deliver each chunk of the answer twice."""
    scene.one_way(scene.sidecar, scene.entry, Fault.DUPLICATE)


@faults.add('store is down')
def store_down(scene: 'Scene') -> None:
    """Make the store unavailable."""
    scene.fleet.store.fail(down=True)


@faults.add('store loses answers')
def store_loses_answers(scene: 'Scene') -> None:
    """Let the next writes take effect and lose their replies."""
    scene.fleet.store.lose_answers = 20


@faults.add('caller retries elsewhere')
def retries_elsewhere(scene: 'Scene') -> None:
    """Have the caller retry at a router of the other data centre at the same time."""
    scene.retry_concurrently()


@faults.add('first attempt is held up, caller retries elsewhere')
def held_up(scene: 'Scene') -> None:
    """Slow the router down so that its messages overlap with those of the retry."""
    scene.from_router(Fault.SLOW)
    scene.retry_concurrently()


@faults.add('router is told to stop')
def router_stops(scene: 'Scene') -> None:
    """Stop the router gracefully."""
    scene.stop(scene.entry)


@faults.add('sidecar is told to stop')
def sidecar_stops(scene: 'Scene') -> None:
    """Stop the sidecar gracefully."""
    scene.stop(scene.sidecar)
