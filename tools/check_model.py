"""Checks with spin that the claim protocol holds and that every mutant of it fails.

Each case is compiled and searched exhaustively. A case that should hold must
end without an error and without reaching the depth limit; a case that should
fail must end with a violated assertion.
"""

import re
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from outcomes import run_cases

SPECIFICATION = Path(__file__).resolve().parent.parent / 'model' / 'claim.pml'
MEMORY_LIMIT_MB = 6000
MAX_SEARCH_DEPTH = 1_000_000
HASH_TABLE_BITS = 25
PARALLEL_CASES = 2
SMALL_MODEL_MACROS = ('MAX_COPY_AGE_TICKS=1', 'CLAIM_TIMEOUT_TICKS=1')


@dataclass(frozen=True, slots=True)
class SearchCase:
    """One exhaustive search of the model.

    Attributes:
        macros: Macros of the specification to define.
        should_hold: Whether the search must find no violated assertion.
    """

    name: str
    macros: tuple[str, ...]
    should_hold: bool


CASES = (
    SearchCase('run at most once, not run means not run', (), should_hold=True),
    SearchCase(
        'idempotent: not run means not run', ('IDEMPOTENT', *SMALL_MODEL_MACROS), should_hold=True
    ),
    SearchCase('reachable: a request runs', ('ASSERT_NEVER_RUNS',), should_hold=False),
    SearchCase(
        'reachable: an idempotent request runs',
        ('IDEMPOTENT', 'ASSERT_NEVER_RUNS', *SMALL_MODEL_MACROS),
        should_hold=False,
    ),
    SearchCase('mutant: one grant is enough', ('ONE_GRANT',), should_hold=False),
    SearchCase('mutant: no abstention after a restart', ('NO_ABSTENTION',), should_hold=False),
    SearchCase(
        'mutant: old list retired by time alone', ('RETIRE_OLD_LIST_BY_TIME',), should_hold=False
    ),
    SearchCase('mutant: no quorum in the old list', ('SKIP_OLD_LIST',), should_hold=False),
    SearchCase('mutant: witness accepts an older list', ('ACCEPT_OLDER_LIST',), should_hold=False),
    SearchCase(
        'mutant: restarted claimant inherits grants', ('REUSE_INCARNATION',), should_hold=False
    ),
    SearchCase('mutant: grants expire early', ('SHORT_GRANT_LIFETIME',), should_hold=False),
    SearchCase(
        'mutant: idempotent, a majority departed',
        ('IDEMPOTENT', 'MAJORITY_DEPARTED', *SMALL_MODEL_MACROS),
        should_hold=False,
    ),
)


def run_case(case: SearchCase) -> tuple[bool, str]:
    """Searches one case.

    Args:
        case: The case to search.

    Returns:
        Whether the outcome is as expected, and a line that reports it.
    """
    with tempfile.TemporaryDirectory() as folder:
        macro_options = [f'-D{macro}' for macro in case.macros]
        _run_command(['spin', *macro_options, '-a', str(SPECIFICATION)], folder)
        options = ['-O2', '-DSAFETY', '-DCOLLAPSE', f'-DMEMLIM={MEMORY_LIMIT_MB}']
        _run_command(['gcc', *options, '-o', 'pan', 'pan.c'], folder)
        output = _run_command(
            ['./pan', '-E', f'-m{MAX_SEARCH_DEPTH}', f'-w{HASH_TABLE_BITS}'], folder
        )
    is_complete = 'max search depth' not in output and 'pan: out of memory' not in output
    errors = int(_search_output(r'errors: (\d+)', output))
    is_violated = 'assertion violated' in output
    is_as_expected = errors == 0 and is_complete if case.should_hold else is_violated
    states = _search_output(r'(\d+) states, stored', output)
    outcome = 'violated' if is_violated else f'{errors} errors'
    verdict = 'ok' if is_as_expected else 'FAILED'
    return is_as_expected, f'{verdict}: {case.name}: {outcome}, {states} states'


def _run_command(command: list[str], folder: str) -> str:
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    if completed.returncode and command[0] != './pan':
        sys.exit(f'{command[0]} failed:\n{completed.stdout}{completed.stderr}')
    return completed.stdout


def _search_output(pattern: str, output: str) -> str:
    match = re.search(pattern, output)
    if match is None:
        sys.exit(f'the search printed no result:\n{output[-2000:]}')
    return match.group(1)


if __name__ == '__main__':
    sys.exit(run_cases(run_case, CASES, PARALLEL_CASES))
