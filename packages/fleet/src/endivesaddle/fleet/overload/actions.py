"""The registered actions of an overloaded router."""

from endivesaddle.fleet.events import Event
from endivesaddle.fleet.overload import events
from endivesaddle.fleet.overload.level import Level, Measured
from endivesaddle.fleet.overload.overload import Overload, overload_actions
from endivesaddle.fleet.overload.reports import MAX_PRESSURE, PERCENT
from endivesaddle.fleet.overload.rotation import FRESH_S, Others


@overload_actions.add('leave_rotation')
def leave_rotation(overload: Overload, measured: Measured) -> None:
    """Fail the readiness checks while closed, as far as the rotation rule allows.

    Load pattern: the balancer gives one router several times its share.  It chooses the router of a
    new connection by a hash of the client among the ready ones, so a ready router would get the
    same callers back.
    """
    rotation = overload.rotation
    was_out = rotation.out
    own = overload.reports.own._replace(
        level=overload.level,
        pressure=min(MAX_PRESSURE, int(PERCENT * measured.pressure)),
        out=was_out,
    )
    others = overload.reports.others(measured.now_unix_s)
    if not was_out and not overload.reports.others_have_capacity(measured.now_unix_s):
        # Callers would only make the next router's overload worse, and this one's link idle.
        own = own._replace(level=min(own.level, Level.SHEDDING))
    rotation.update(own, others, measured.now_unix_s)
    if rotation.out != was_out:
        _log(events.LEFT if rotation.out else events.RETURNED, overload, others)
    elif not rotation.out:
        _log_kept(overload, others)


def _log_kept(overload: Overload, others: Others) -> None:
    """Log once that a closed router stays ready, when it would have left if it may."""
    rotation = overload.rotation
    if overload.level is not Level.CLOSED:
        rotation.kept_logged = False
        return
    closed_s = overload.measured.now_unix_s - overload.levels.changed_unix_s
    if closed_s >= FRESH_S and not rotation.kept_logged:
        rotation.kept_logged = True
        _log(events.KEPT, overload, others)


def _log(event: Event, overload: Overload, others: Others) -> None:
    now_unix_s = overload.measured.now_unix_s
    ages_s = [now_unix_s - one.heard_unix_s for one in others.reports]
    event.log(
        router=overload.reports.own.incarnation,
        level=overload.level.name.lower(),
        pressure=overload.rotation.pressure,
        **overload.rotation.verdict._asdict(),
        oldest_report_s=round(max(ages_s, default=0), 3),
    )


@overload_actions.add('close_connections')
def close_connections(overload: Overload, measured: Measured) -> None:
    """Close the busiest connections after a response once the balancer has removed this router.

    Load pattern: callers keep their connections to a router that got several times its share; one
    caller may make all the load.
    """
    connections = overload.traffic.callers
    passed_s = overload.closing.count(connections, measured.now_unix_s)
    if overload.rotation.removed(measured.now_unix_s):
        overload.closing.mark(connections, passed_s)
    else:
        overload.closing.unmark(connections)


@overload_actions.add('reject_by_rank')
def reject_by_rank(overload: Overload, measured: Measured) -> None:
    """Adjust the rate at which requests are admitted, the most urgent first.

    Load pattern: all routers of a data centre are overloaded, or callers stay on their connections:
    what exceeds the capacity is rejected before anything is sent for it.
    """
    if overload.level is not Level.NORMAL:
        overload.bucket.adjust(measured)
