"""Play servers and callers that behave at random, and print each promise that was broken.

    tools/fuzz_promises.py [--first SEED] [--seeds N]

Servers on loopback sockets keep the truth of what they began to run.  A request that may run once
only must not run twice, and must not have run if its caller was told so; a success comes with the
whole body that a server sent for that request.  A play lasts about a second.  Ends with 1 if a
promise was broken.
"""

import argparse
import pathlib
import sys
import time

from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from subjects.random_exchanges import RandomPlays  # noqa: E402


def main() -> int:
    """Play the seeds, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=50)
    options = parser.parse_args()
    logger.remove()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        began_s = time.monotonic()
        plays = RandomPlays((seed,))
        plays.play()
        broken += len(plays.broken)
        took_s = time.monotonic() - began_s
        print(
            f'seed {seed}: {plays.requests} requests, {plays.odd} played at random, '
            f'{len(plays.broken)} promises broken, {took_s:.1f} s',
            flush=True,
        )
        for text in plays.broken:
            print(f'  {text}')
    print(f'{options.seeds} seeds, {broken} promises broken')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
