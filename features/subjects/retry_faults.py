"""Subject: the disruptions of a fleet that retries as much as it may."""

from collections.abc import Callable

from endivesaddle.fleet.registry import Registry
from subjects.retry_plays import (
    AFTER_S,
    CALM_REFUSED,
    CALM_S,
    FAULTS_S,
    HOT,
    REFUSED,
    SETTLED_S,
    STEP_S,
    RetryFleet,
)

Fault = Callable[['RetryPlay'], None]
faults: Registry[Fault] = Registry('fault of a play of retries')
"""Each is called ten times a second, from ``CALM_S`` on."""


class RetryPlay:
    """One play of a fleet; its faults begin once all routers have their full shares."""

    def __init__(self, routers: int, seed: int = 0, former: bool = False) -> None:
        """Run the fleet in peace; with the shares that routers had before if ``former``."""
        self.fleet = RetryFleet(routers, seed, former)
        self.random = self.fleet.random
        self.step = 0
        self.half = max(1, routers // 2)
        self.fleet.play(None, CALM_S)

    def close(self) -> None:
        """End the fleet."""
        self.fleet.close()

    def play(self, *names: str) -> None:
        """Let servers refuse most requests while these faults happen, and see their end."""
        self.fleet.refused = REFUSED
        found = [faults.find(name) for name in names]

        def happen() -> None:
            for fault in found:
                fault(self)
            self.step += 1

        self.fleet.play(happen, FAULTS_S)
        self.fleet.play(None, AFTER_S)

    def granted_shares(self) -> tuple[float, float]:
        """Return the shares of granted retries in peace and while the servers refuse most."""
        traffic = self.fleet.traffic[HOT]
        return (
            traffic.granted_share(SETTLED_S, CALM_S),
            traffic.granted_share(CALM_S, CALM_S + FAULTS_S),
        )

    def every(self, seconds: float, first_s: float = 0.0) -> bool:
        """Return whether this is a step in which something that recurs happens."""
        recurs, first = round(seconds / STEP_S), round(first_s / STEP_S)
        return self.step >= first and (self.step - first) % recurs == 0

    def once(self, at_s: float) -> bool:
        """Return whether this is the step at a time since the first fault."""
        return self.step == round(at_s / STEP_S)

    def cut(self, count: int) -> None:
        """Cut the first routers off from the store."""
        for number, router in enumerate(self.fleet.routers):
            router.link.cut = number < count

    def restart(self, count: int, elsewhere: bool = False, cut: bool = False) -> None:
        """Kill that many routers, which start again."""
        running = self.fleet.routers
        for router in self.random.sample(running, min(count, len(running))):
            self.fleet.restart(router, elsewhere, cut)


@faults.add('nothing happens')
def _nothing(play: RetryPlay) -> None:
    """Let the servers refuse, with all routers alive."""


@faults.add('one router after the other is killed and starts again')
def _restart_one(play: RetryPlay) -> None:
    if play.every(1, first_s=2):
        play.restart(1)


@faults.add('a router starts again')
def _restart_once(play: RetryPlay) -> None:
    if play.once(1):
        play.restart(1)


@faults.add('half of the routers are killed and start again')
def _restart_some(play: RetryPlay) -> None:
    if play.every(3, first_s=1):
        play.restart(play.half)


@faults.add('all routers are killed and start again')
def _restart_all(play: RetryPlay) -> None:
    if play.once(4):
        play.restart(len(play.fleet.routers))


@faults.add('all routers are killed twice within a window')
def _restart_twice(play: RetryPlay) -> None:
    if play.once(2) or play.once(7):
        play.restart(len(play.fleet.routers))


@faults.add('routers are killed and start again at other addresses')
def _restart_elsewhere(play: RetryPlay) -> None:
    if play.every(3, first_s=1):
        play.restart(play.half, elsewhere=True)


@faults.add('routers stop one after the other, and others start')
def _hand_over(play: RetryPlay) -> None:
    serving = [router for router in play.fleet.routers if router.serving]
    if play.every(2) and len(serving) > 1:
        for router in serving[: max(1, len(serving) // 10)]:
            play.fleet.stop(router)
            play.fleet.start()


@faults.add('the fleet grows by half')
def _grow(play: RetryPlay) -> None:
    if play.once(3):
        for _ in range(play.half):
            play.fleet.start()


@faults.add('the fleet shrinks to a third')
def _shrink(play: RetryPlay) -> None:
    if play.once(3):
        for router in play.fleet.routers[len(play.fleet.routers) // 3 + 1 :]:
            play.fleet.stop(router)


@faults.add('routers start again and see themselves alone')
def _alone(play: RetryPlay) -> None:
    if play.once(3):
        play.restart(len(play.fleet.routers), cut=True)


@faults.add('half of the routers are cut off, and more start beside the others')
def _cut_in_two(play: RetryPlay) -> None:
    if play.once(1):
        play.cut(play.half)
    if play.every(5, first_s=2):
        for _ in range(play.half):
            play.fleet.start()


@faults.add('the lists of routers are late while routers come and go')
def _late_lists(play: RetryPlay) -> None:
    play.fleet.store.lag_s = 6.0
    if play.every(4):
        for _ in range(play.half):
            play.fleet.start()
        play.restart(play.half)


@faults.add('the traffic falls to a tenth')
def _fall(play: RetryPlay) -> None:
    play.fleet.load = 0.1 if play.step * STEP_S > 6 else 1.0


@faults.add('the traffic moves between the routers')
def _move(play: RetryPlay) -> None:
    if play.every(6):
        play.fleet.move_traffic(play.step)


@faults.add('an idle service becomes hot')
def _swap_load(play: RetryPlay) -> None:
    if play.once(5):
        play.fleet.load = play.fleet.idle_load
        play.fleet.idle_load = 1.0


@faults.add('the store is down')
def _store_down(play: RetryPlay) -> None:
    play.fleet.store.fail(3 < play.step * STEP_S < 12)


@faults.add('anything happens in any order')
def _chaos(play: RetryPlay) -> None:
    if play.every(0.5):
        play.random.choice(CHAOS)(play)


def _change_load(play: RetryPlay) -> None:
    play.fleet.load = play.random.choice((0.1, 0.3, 1.0, 2.0))


def _change_refusals(play: RetryPlay) -> None:
    play.fleet.refused = play.random.choice((CALM_REFUSED, REFUSED, 0.95))


def _change_links(play: RetryPlay) -> None:
    play.cut(play.random.choice((0, 0, 1, play.half)))


def _change_store(play: RetryPlay) -> None:
    play.fleet.store.fail(play.random.choice((True, False, False)))
    play.fleet.store.lag_s = play.random.choice((0.0, 0.0, 3.0, 6.0))


def _restart_any(play: RetryPlay) -> None:
    count = play.random.randint(1, len(play.fleet.routers) or 1)
    elsewhere, cut = play.random.choice(((True, False), (False, True), (False, False)))
    play.restart(count, elsewhere, cut)


def _stop_any(play: RetryPlay) -> None:
    serving = [router for router in play.fleet.routers if router.serving]
    if len(serving) > 1:
        play.fleet.stop(play.random.choice(serving))


def _start_any(play: RetryPlay) -> None:
    play.fleet.start()


def _move_any(play: RetryPlay) -> None:
    play.fleet.move_traffic(play.step)


CHAOS: tuple[Fault, ...] = (
    _change_load,
    _change_refusals,
    _change_links,
    _change_store,
    _restart_any,
    _restart_any,
    _stop_any,
    _start_any,
    _start_any,
    _move_any,
)
