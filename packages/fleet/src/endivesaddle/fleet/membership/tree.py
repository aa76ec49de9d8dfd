"""The tree of a data centre: to whom an instance beats.

All routers of a data centre have an order by rendezvous hashing.  The first two
are its collectors; each other router beats to one that comes before it, so
there is no cycle but the one that is wanted: the first two watch each other.
"""

from typing import NamedTuple

from endivesaddle.fleet.configuration import rendezvous


def ordered(data_centre: str, routers: list[str]) -> list[str]:
    """Return the routers of a data centre in the order of its tree."""
    return rendezvous(f'collectors/{data_centre}', routers)


class Candidates(NamedTuple):
    """To whom an instance may beat, the best first.

    ``proper`` are those with whom it may stay; ``others`` serve while none of
    the proper ones answers.
    """

    proper: list[str]
    others: list[str]


def above_router(order: list[str], own: str, fan_out: int) -> Candidates:
    """Return to whom a router may beat.

    The chain of routers above it in the tree goes first, then the others before
    it; those after it serve a part that is cut off from all others.  As each
    stays only with one before it, all beats lead to the first router, and none
    go round in a circle apart from the rest.
    """
    place = order.index(own) if own in order else len(order)
    chain = []
    step = place
    while step > 0:
        step = (step - 1) // fan_out
        chain.append(order[step])
    before = [name for name in order[:place] if name not in chain]
    after = order[place + 1 :]
    return Candidates(chain + before, after) if place else Candidates(after, [])


def above_sidecar(routers: list[str], own: str) -> Candidates:
    """Return to whom a sidecar may beat: it is spread over all routers."""
    return Candidates(rendezvous(f'sidecars/{own}', routers), [])
