"""Plot first tokens by policy and fault from the runs of tools/bench_routing.py.

tools/plot_routing.py FILE.jsonl docs/plots/routing.png
"""

import pathlib
import sys

import matplotlib as mpl
import msgspec
from matplotlib import pyplot

from endivesaddle.stand_ins.batching_tally import Figures

GOAL_S = 0.81
WIDTH = 0.2
P95 = 1
POLICIES = ('earliest_first_token', 'prefix_hash', 'round_robin', 'least_outstanding')


def draw(axes: pyplot.Axes, firm: str, runs: list[Figures]) -> None:
    """Draw one firm: a group of bars for each fault, one bar for each policy."""
    faults = sorted({each.run.fault for each in runs})
    for place, policy in enumerate(POLICIES):
        found = {
            each.run.fault: each.first_token_s[P95] for each in runs if each.run.policy == policy
        }
        across = [number + WIDTH * place for number in range(len(faults))]
        axes.bar(across, [found.get(fault, 0) for fault in faults], WIDTH, label=policy)
    axes.axhline(GOAL_S, color='black', linewidth=1, linestyle='--', label='goal')
    axes.set_xticks([number + WIDTH for number in range(len(faults))], faults, rotation=20)
    axes.set_ylabel('first token p95, s')
    axes.set_title(f'{firm} at full capacity')


def main() -> None:
    """Plot both firms, one above the other."""
    mpl.use('Agg')
    source, target = sys.argv[1:]
    decode = msgspec.json.Decoder(Figures).decode
    runs = [decode(raw) for raw in pathlib.Path(source).read_bytes().splitlines()]
    firms = sorted({each.run.firm for each in runs})
    figure, all_axes = pyplot.subplots(len(firms), figsize=(10, 8), layout='constrained')
    for axes, firm in zip(all_axes, firms, strict=True):
        draw(axes, firm, [each for each in runs if each.run.firm == firm])
    figure.legend(*all_axes[0].get_legend_handles_labels(), loc='outside lower center', ncols=5)
    figure.savefig(target, dpi=80, metadata={'Software': None})


if __name__ == '__main__':
    main()
