"""Run the checks and the features, and count what passed and what failed.

The features run in one process for each file, side by side: they share nothing.
KNOWN-RED.txt may list scenarios that fail for a known fault; they are printed.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent import futures
from functools import partial
from types import MappingProxyType
from typing import NamedTuple

BIN = pathlib.Path(sys.executable).parent
WORKERS = max(2, os.cpu_count() or 2)
PROGRESS_S = 10.0
SLOWEST = 5
"""Files and checks that are named with the time that they took."""
KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
CHECKS = MappingProxyType(
    {
        'format': ('ruff', 'format', '--check', '--quiet', '.'),
        'imports': ('ruff', 'check', '--quiet', '.'),
        'lint': ('flake8', 'packages', 'platform', 'features', 'tools'),
        'types': ('mypy', '--no-error-summary', 'packages'),
    }
)


class Outcome(NamedTuple):
    """What one check or scenario came to."""

    name: str
    passed: bool
    detail: str


def check(name: str) -> Outcome:
    """Run one of the static checks."""
    words = CHECKS[name]
    done = subprocess.run([BIN / words[0], *words[1:]], capture_output=True, text=True, check=False)
    return Outcome(f'check {name}', done.returncode == 0, done.stdout + done.stderr)


def feature(path: pathlib.Path) -> list[Outcome]:
    """Run one feature file and return an outcome for each scenario."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [
            BIN / 'behave',
            '--no-color',
            '-f',
            'json',
            '-o',
            report.name,
            '-f',
            'plain',
            path,
        ]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        text = pathlib.Path(report.name).read_text()
    try:
        features = json.loads(text)
    except json.JSONDecodeError:
        return [Outcome(str(path), False, done.stdout + done.stderr)]
    outcomes = [
        Outcome(
            f'{path.name}: {scenario["name"].strip()}',
            scenario.get('status') == 'passed',
            done.stdout,
        )
        for found in features
        for scenario in found.get('elements', ())
        if scenario['type'] != 'background'
    ]
    if done.returncode and all(outcome.passed for outcome in outcomes):
        outcomes.append(Outcome(f'{path.name}: hooks', False, done.stdout + done.stderr))
    return outcomes


def report(outcomes: list[Outcome]) -> int:
    """Print what failed and the count; return 1 if any is not known red."""
    red = [outcome for outcome in outcomes if not outcome.passed]
    # Whole lines: the first example of an outline has a name that begins the tenth's.
    known = set(KNOWN_RED.read_text().splitlines()) if KNOWN_RED.exists() else set()
    for detail in dict.fromkeys(outcome.detail for outcome in red):
        print(detail)
    failed = [outcome.name for outcome in red if outcome.name not in known]
    for outcome in red:
        print('FAILED' if outcome.name in failed else 'KNOWN RED', outcome.name)
    print(f'{len(outcomes) - len(red)} passed, {len(failed)} failed')
    return 1 if failed else 0


class Run(NamedTuple):
    """One check or feature file: what it came to, and how long it took."""

    name: str
    took_s: float
    outcomes: list[Outcome]


def run(name: str, make: Callable[[], list[Outcome]]) -> Run:
    """Make one check, or run one feature file."""
    began_s = time.monotonic()
    outcomes = make()
    return Run(name, time.monotonic() - began_s, outcomes)


class Progress:
    """Says every few seconds how far the runs are."""

    def __init__(self, count: int) -> None:
        """Say so of ``count`` files and checks."""
        self._count = count
        self._told_s = time.monotonic()

    def tell(self, ended: int, outcomes: list[Outcome]) -> None:
        """Print a line, unless the last one was just now."""
        now_s = time.monotonic()
        if now_s - self._told_s < PROGRESS_S:
            return
        self._told_s = now_s
        failed = sum(not outcome.passed for outcome in outcomes)
        results = f'{len(outcomes)} results, {failed} failed'
        print(f'{ended} of {self._count} files and checks, {results}', flush=True)


def collect(runs: list[futures.Future[Run]]) -> list[Outcome]:
    """Wait for all runs, saying meanwhile how far they are; name the slowest."""
    ended: list[Run] = []
    outcomes: list[Outcome] = []
    progress = Progress(len(runs))
    waiting = set(runs)
    while waiting:
        done, waiting = futures.wait(waiting, PROGRESS_S, futures.FIRST_COMPLETED)
        for one in done:
            ended.append(one.result())
            outcomes.extend(one.result().outcomes)
        progress.tell(len(runs) - len(waiting), outcomes)
    for slow in sorted(ended, key=_took_s, reverse=True)[:SLOWEST]:
        print(f'{slow.took_s:.0f} s: {slow.name}')
    return sorted(outcomes, key=_name)


def main() -> int:
    """Run everything; return 1 if anything failed that is not known red."""
    # Large files first: one that begins last would run alone at the end.
    paths = sorted(pathlib.Path('features').glob('*.feature'), key=_bytes, reverse=True)
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        runs = [pool.submit(run, f'check {name}', partial(_checked, name)) for name in CHECKS]
        runs.extend(pool.submit(run, path.name, partial(feature, path)) for path in paths)
        outcomes = collect(runs)
    return report(outcomes)


def _name(outcome: Outcome) -> str:
    return outcome.name


def _took_s(one: Run) -> float:
    return one.took_s


def _checked(name: str) -> list[Outcome]:
    return [check(name)]


def _bytes(path: pathlib.Path) -> int:
    return path.stat().st_size


if __name__ == '__main__':
    sys.exit(main())
