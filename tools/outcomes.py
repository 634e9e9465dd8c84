"""Runs the cases of a check side by side and reports them."""

import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

Case = TypeVar('Case')


def run_cases(
    run_case: Callable[[Case], tuple[bool, str]], cases: Sequence[Case], max_parallel: int
) -> int:
    """Runs all cases and prints a line for each.

    Args:
        run: Runs one case; returns whether it came out as expected, and a line.
        cases: What to run.
        workers: How many at a time.

    Returns:
        Exit status, 1 where a case came out otherwise.
    """
    with ThreadPoolExecutor(max_parallel) as pool:
        outcomes = list(pool.map(run_case, cases))
    for _, line in outcomes:
        sys.stdout.write(f'{line}\n')
    return 0 if all(is_expected for is_expected, _ in outcomes) else 1
