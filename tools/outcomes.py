"""Runs the cases of a check in parallel and reports the outcomes."""

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
        run_case: Runs one case; returns whether its outcome is as expected,
            and a line to print.
        cases: Cases to run.
        max_parallel: Largest number of cases at a time.

    Returns:
        Exit status: 0 if all outcomes are as expected, else 1.
    """
    with ThreadPoolExecutor(max_parallel) as pool:
        outcomes = list(pool.map(run_case, cases))
    for _, line in outcomes:
        sys.stdout.write(f'{line}\n')
    return 0 if all(is_expected for is_expected, _ in outcomes) else 1
