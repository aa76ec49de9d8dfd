"""Events of the processes themselves (8000 and up)."""

from endivesaddle.fleet.events import event

STARTED = event(8001, 'INFO', 'process_started', 'The process listens on both addresses.')
LEAVING = event(8002, 'INFO', 'process_leaving', 'Told to stop: refuses new work, tells peers.')
DRAINED = event(8003, 'INFO', 'process_drained', 'The last request has ended before the stop.')
CUT = event(8004, 'ERROR', 'stop_deadline_passed', 'The stop deadline passed with work left.')
STOPPED = event(8005, 'INFO', 'process_stopped', 'The process ends.')
TASK_FAILED = event(
    8006, 'ERROR', 'task_failed', 'A background task broke off and is started again.'
)
DUMPED = event(8007, 'INFO', 'state_dumped', 'A state dump was written to standard output.')
FLOORS_UNREAD = event(
    8008, 'WARNING', 'floors_unread', 'A sidecar can not read the sealed epochs yet: no runs.'
)
LEFT_OUT = event(
    8010, 'WARNING', 'log_lines_left_out', 'Lines were left out, by event: too many, or no reader.'
)
FULL = event(
    8011,
    'WARNING',
    'connections_full',
    'New connections of callers are closed before they are read.',
)
SIGNAL = event(8012, 'INFO', 'signal_received', 'The process received a signal; with its effect.')
FAILED = event(8013, 'ERROR', 'process_failed', 'An error ended the process.')
