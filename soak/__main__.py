"""Command line of the soak."""

import asyncio
import json
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import typer

from soak.run import DEFAULT_INSTANCE_COUNT, FAULT_INJECTION_S, RunResult, RunSize, run_seed

_MAX_SEED = 1_000_000
_SECONDS_PER_MINUTE = 60

application = typer.Typer(add_completion=False, help=__doc__)
JobsOption = Annotated[int, typer.Option(help='Runs at a time.')]
InstancesOption = Annotated[int, typer.Option(help='Entry instances of a run.')]
SecondsOption = Annotated[float, typer.Option(help='How long new faults begin.')]
KeepOption = Annotated[Path, typer.Option(help='Folder for the logs of runs with findings.')]
_DEFAULT_LOG_FOLDER = Path('/tmp/berylstair-soak')


def _run_seed(seed: int, size: RunSize) -> RunResult:
    return asyncio.run(run_seed(seed, size))


def _print_result(result: RunResult, log_folder: Path) -> bool:
    """Prints a result, saves the logs if there are findings, returns True if there are none."""
    label = 'FOUND' if result.findings else 'ok'
    typer.echo(f'seed={result.seed} {label} {json.dumps(result.outcome_counts)}')
    for finding in result.findings:
        typer.echo(f'  {finding}')
    if result.findings:
        folder = log_folder / str(result.seed)
        folder.mkdir(parents=True, exist_ok=True)
        summary = [*result.disruptions, *map(str, result.findings)]
        (folder / 'summary.txt').write_text('\n'.join(summary), encoding='utf-8')
        for name, text in result.logs.items():
            (folder / f'{name}.log').write_text(text, encoding='utf-8')
    return not result.findings


@application.command()
def seeds(
    first: Annotated[int, typer.Argument(help='First seed.')],
    count: Annotated[int, typer.Argument(help='Number of seeds.')] = 1,
    jobs: JobsOption = 1,
    instances: InstancesOption = DEFAULT_INSTANCE_COUNT,
    seconds: SecondsOption = FAULT_INJECTION_S,
    keep: KeepOption = _DEFAULT_LOG_FOLDER,
) -> None:
    """Plays seeds in order."""
    size = RunSize(instances, seconds)
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(_run_seed, range(first, first + count), repeat(size))
        clean = sum(_print_result(result, keep) for result in results)
    typer.echo(f'{clean} passed, {count - clean} failed')
    raise typer.Exit(int(clean < count))


@application.command()
def fresh(
    minutes: Annotated[float, typer.Argument(help='How long new runs begin.')],
    jobs: JobsOption = 1,
    instances: InstancesOption = DEFAULT_INSTANCE_COUNT,
    keep: KeepOption = _DEFAULT_LOG_FOLDER,
) -> None:
    """Plays seeds that were never played."""
    until = time.monotonic() + minutes * _SECONDS_PER_MINUTE
    size = RunSize(instances)
    clean = 0
    count = 0
    with ProcessPoolExecutor(jobs) as pool:
        while time.monotonic() < until:
            chosen_seeds = SystemRandom().sample(range(_MAX_SEED), jobs)
            for result in pool.map(_run_seed, chosen_seeds, repeat(size)):
                clean += _print_result(result, keep)
                count += 1
    typer.echo(f'{clean} passed, {count - clean} failed')
    raise typer.Exit(int(clean < count))


if __name__ == '__main__':
    application()
