"""Replay the recorded traces and print what each came to, for docs/design/traces.md.

``NAME ...`` replays only these.  Traces share nothing and run side by side.
"""

import argparse
import pathlib
import sys
from concurrent import futures

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from loguru import logger  # noqa: E402 (the features folder has to be on the path first)

from subjects import trace_verdict  # noqa: E402
from subjects.trace_lines import FOLDER  # noqa: E402
from subjects.trace_replay import play  # noqa: E402


def main() -> int:
    """Replay and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', default=sorted(p.stem for p in FOLDER.glob('*.jsonl')))
    parser.add_argument('--workers', type=int, default=2, help='processes side by side')
    options = parser.parse_args()
    with futures.ProcessPoolExecutor(options.workers, initializer=logger.remove) as pool:
        found = list(pool.map(run, options.names))
    for name, (figures, broken) in zip(options.names, found, strict=True):
        print(f'{name}: answered {figures.answered_share:.3f}, {figures}')
        for text in broken:
            print(f'  {text}')
    return int(any(missed for _, missed in found))


def run(name: str) -> tuple[trace_verdict.Figures, list[str]]:
    """Replay one trace."""
    played = play(name)
    return trace_verdict.figures(played), trace_verdict.broken(played)


if __name__ == '__main__':
    sys.exit(main())
