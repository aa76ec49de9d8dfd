"""Take signals before the imports of a program, which take most of its start."""

from endivesaddle.daemon.received_signals import take_early

take_early()
