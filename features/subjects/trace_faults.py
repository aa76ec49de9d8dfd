"""The faults that a trace may have, by name, and their healing."""

from collections.abc import Callable

from endivesaddle.fleet.registry import Registry
from subjects.trace_firm import World

Fault = Callable[[World, list[str]], None]
faults: Registry[Fault] = Registry('fault of a trace')


@faults.add('instances die')
def instances_die(world: World, names: list[str]) -> None:
    """Kill instances."""
    for name in names:
        world.fleet.kill(name)


@faults.add('instances return')
def instances_return(world: World, names: list[str]) -> None:
    """Start killed instances again."""
    for name in names:
        world.fleet.restart(name)


@faults.add('instances pause')
def instances_pause(world: World, names: list[str]) -> None:
    """Freeze instances."""
    for name in names:
        world.fleet.pause(name)


@faults.add('instances wake')
def instances_wake(world: World, names: list[str]) -> None:
    """Let frozen instances go on where they were."""
    for name in names:
        world.fleet.wake(name)


@faults.add('data centres part')
def data_centres_part(world: World, names: list[str]) -> None:
    """Part each of these data centres from all others; all still reach the store."""
    for name in names:
        here = world.fleet.addresses(name)
        everyone = {running.address for running in world.fleet.running.values()}
        world.fleet.net.part(here, everyone - here)


@faults.add('data centres lose the store')
def data_centres_lose_store(world: World, names: list[str]) -> None:
    """Cut these data centres off from the store."""
    for name in names:
        world.fleet.cut_off |= world.fleet.addresses(name)


@faults.add('links heal')
def links_heal(world: World, names: list[str]) -> None:
    """Heal all links, also those to the store."""
    world.fleet.net.heal()
    world.fleet.cut_off.clear()


@faults.add('store fails')
def store_fails(world: World, names: list[str]) -> None:
    """Take the store down."""
    world.fleet.store.fail(down=True)


@faults.add('store returns')
def store_returns(world: World, names: list[str]) -> None:
    """Bring the store back."""
    world.fleet.store.fail(down=False)


@faults.add('store loses answers')
def store_loses_answers(world: World, names: list[str]) -> None:
    """Let the next writes take effect and lose their answers; ``names`` has how many."""
    world.fleet.store.lose_answers = int(names[0])


@faults.add('backend servers die')
def servers_die(world: World, names: list[str]) -> None:
    """Let the engines beside these sidecars die, with what runs on them."""
    for name in names:
        world.engines[name].switches.unreachable = True
        world.engines[name].switches.die_after_tokens = 2


@faults.add('backend servers return')
def servers_return(world: World, names: list[str]) -> None:
    """Bring the engines beside these sidecars back."""
    for name in names:
        world.engines[name].switches.unreachable = False
        world.engines[name].switches.die_after_tokens = -1
