"""Command line: the daemon and read-only commands for operators."""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from absl import logging
from result import Err

from berylstair import VERSION
from berylstair.catalogue import LogEvent
from berylstair.client import AdminClient, wait_for_rollout
from berylstair.daemon import serve as serve_instance
from berylstair.errors import ConfigurationError, Problem
from berylstair.log import write_event
from berylstair.schema import load_text, parse_record
from berylstair.settings import load_settings

__all__ = ['app', 'main']

EXIT_INVALID_INPUT = 1
EXIT_UNREACHABLE = 3
EXIT_LAGGING = 4

app = typer.Typer(
    name='berylstair',
    help='Layer-4 load balancer: serve packets, check records, look at instances.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

JsonOption = Annotated[bool, typer.Option('--json', help='Print JSON.')]
AdminOption = Annotated[
    str,
    typer.Option(
        '--admin',
        envvar='BERYLSTAIR_ADMIN',
        help='Admin endpoint IP:PORT of any instance.',
    ),
]


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help='Settings file, JSON with comments.')],
) -> None:
    """Run an entry instance until SIGTERM."""
    _log_to_stderr()
    try:
        loaded = load_settings(settings)
    except ConfigurationError as error:
        for problem in error.problems:
            write_event(LogEvent.SETTINGS_REFUSED, str(problem))
        raise typer.Exit(EXIT_INVALID_INPUT) from error
    serve_instance(loaded)


@app.command()
def check(
    files: Annotated[list[Path], typer.Argument(help='Record or settings files.')],
    as_json: JsonOption = False,
) -> None:
    """Check records and settings before they are published."""
    problems: list[Problem] = []
    for file in files:
        problems.extend(_check_file(file))
    problem_rows = [
        {'place': problem.place, 'key': problem.key, 'fault': problem.fault} for problem in problems
    ]
    text = '\n'.join(str(problem) for problem in problems) or f'{len(files)} files are valid'
    _print_result(as_json, {'valid': not problems, 'problems': problem_rows}, text)
    if problems:
        raise typer.Exit(EXIT_INVALID_INPUT)


@app.command()
def status(admin: AdminOption, as_json: JsonOption = False) -> None:
    """Show what an instance has in force, its peers and its counters."""
    document = _unwrap_or_exit(AdminClient(admin).status(), as_json)
    _print_result(as_json, document, _format_status(document))


@app.command()
def rollout(
    version: Annotated[int, typer.Argument(help='Record version.')],
    key: Annotated[str, typer.Option(help='service/NAME or instances.')],
    admin: AdminOption,
    wait: Annotated[float, typer.Option(help='Longest wait in seconds.')] = 0,
    as_json: JsonOption = False,
) -> None:
    """Tell whether a record version is in force on every instance."""
    rollout_result = wait_for_rollout(AdminClient(admin), key, version, wait)
    if isinstance(rollout_result, Err):
        lagging = [
            {'instance': row.instance, 'reason': row.reason} for row in rollout_result.err_value
        ]
        text = '\n'.join(f'{row.instance}: {row.reason}' for row in rollout_result.err_value)
        _print_result(as_json, {'in_force': False, 'lagging': lagging}, text)
        raise typer.Exit(EXIT_LAGGING)
    text = f'{key} version {version} is in force on {rollout_result.ok_value} instances'
    _print_result(as_json, {'in_force': True, 'instances': rollout_result.ok_value}, text)


@app.command()
def explain(
    address: Annotated[str, typer.Argument(help='Service address IP:PORT.')],
    caller: Annotated[str, typer.Argument(help='Caller address IP:PORT.')],
    admin: AdminOption,
    as_json: JsonOption = False,
) -> None:
    """Tell where a caller's packet would go, and why."""
    document = _unwrap_or_exit(AdminClient(admin).explain(address, caller), as_json)
    _print_result(
        as_json, document, '\n'.join(f'{key}: {value}' for key, value in document.items())
    )


@app.command()
def version(as_json: JsonOption = False) -> None:
    """Print the version."""
    _print_result(as_json, {'version': VERSION}, VERSION)


def main() -> None:
    """Entry point of the command line."""
    app()


def _check_file(file: Path) -> list[Problem]:
    try:
        text = file.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return [Problem(str(file), 'file', f'cannot be read: {error}')]
    loaded = load_text(str(file), text)
    if isinstance(loaded, Err):
        return loaded.err_value
    if 'instance' in loaded.ok_value and 'kind' not in loaded.ok_value:
        return _check_settings(file)
    parsed = parse_record(str(file), text)
    return parsed.err_value if isinstance(parsed, Err) else []


def _check_settings(file: Path) -> list[Problem]:
    try:
        load_settings(file)
    except ConfigurationError as error:
        return error.problems
    return []


def _unwrap_or_exit(response: Any, as_json: bool) -> dict[str, Any]:
    if isinstance(response, Err):
        _print_result(
            as_json, {'error': response.err_value}, f'cannot be reached: {response.err_value}'
        )
        raise typer.Exit(EXIT_UNREACHABLE)
    return response.ok_value


def _print_result(as_json: bool, structured: Any, text: str) -> None:
    typer.echo(json.dumps(structured) if as_json else text)


def _format_status(document: dict[str, Any]) -> str:
    lines = [
        (
            f'instance {document["instance"]} in {document["zone"]}, '
            f'list version {document["list_version"]}'
        ),
        f'ready: {document["is_ready"]}, leaving: {document["is_leaving"]}',
        f'open flows: {document["open_flows"]}, requests: {document["requests_in_progress"]}',
        f'peers reachable: {", ".join(document["peers_reachable"]) or "none"}',
    ]
    lines.extend(_format_section('records', document['records'], _format_record))
    lines.extend(_format_section('backend servers', document['backend_servers'], _format_backend))
    for name in ('refusals', 'retries'):
        counts = [f'{key} {count}' for key, count in sorted(document[name].items())]
        shown = ', '.join(counts) or 'none'
        lines.append(f'{name}: {shown}')
    return '\n'.join(lines)


def _format_section(
    title: str,
    rows: list[dict[str, Any]],
    format_row: Callable[[dict[str, Any]], str],
) -> list[str]:
    return [f'{title}:', *(f'  {format_row(row)}' for row in rows)]


def _format_record(row: dict[str, Any]) -> str:
    conflict = ', CONFLICT' if row['has_conflict'] else ''
    return f'{row["key"]} version {row["version"]} schema {row["schema"]}{conflict}'


def _format_backend(row: dict[str, Any]) -> str:
    load = f'{row["requests"]}+{row["requests_elsewhere"]} of {row["slots"]} slots'
    return f'{row["service"]} {row["backend"]} {row["state"]} {load}, {row["flows"]} flows'


def _log_to_stderr() -> None:
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().python_handler.stream = sys.stderr
