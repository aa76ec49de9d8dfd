"""Set up loguru: one line for each event, as text or as JSON."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

from endivesaddle.daemon.bounded_log import BoundedLog
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.fleet.clock import MonotonicClock

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {extra[event]} {message}'
"""Line of a text log; the number is the event's, from docs/EVENTS.md."""


def set_up(settings: LogSettings, instance: str) -> None:
    """Send logs where the format asks for: JSON lines to standard output, text to standard error.

    JSON lines are bounded and never wait for their reader.
    """
    logger.remove()
    logger.configure(extra={'event': 0, 'instance': instance})
    if settings.log_format == 'json':
        log = BoundedLog(sys.stdout.fileno(), MonotonicClock())
        logger.add(lambda message: _write_json(log, message), level=settings.log_level)
        return
    logger.add(sys.stderr, level=settings.log_level, format=TEXT_FORMAT)


def _write_json(log: BoundedLog, message: 'Message') -> None:
    record = message.record
    extra = record['extra']
    name = extra.get('name', record['message'])
    line = {
        'at_unix_s': record['time'].timestamp(),
        'level': record['level'].name,
        'instance': extra.get('instance', ''),
        'event': extra.get('event', 0),
        'name': name,
        **extra.get('fields', {}),
    }
    log.write(name, record['level'].name, line)
