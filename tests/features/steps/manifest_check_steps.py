"""Steps for the check of a manifest file."""

import json
import re
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

from behave import given, then, when
from typer.testing import CliRunner
from yaml import safe_dump, safe_load

from hornbeamstair_operators.command_line.main import app

MANIFEST = """
version: 1
document: ''
queues:
- queue: stops
  host: h
  path_prefix: /stops/
  service: grinding
  call_timeout: 3
  priority: 0
  max_attempts: 3
  stretch: 2
  target_seconds: 1
services:
- {service: grinding, guards_room: false, is_standby: false}
- {service: spare, guards_room: false, is_standby: true}
workspaces:
- {workspace: north, key_digests: [aa], weight: 2, max_cpu: 0}
- {workspace: south, key_digests: [bb], weight: 1, max_cpu: 8000}
"""


@given('a manifest file')
def make_manifest(context: Any) -> None:
    """Take the example manifest."""
    context.fields = safe_load(MANIFEST)


@when('the field {path} is set to {text}')
def set_field(context: Any, path: str, text: str) -> None:
    """Replace or add one field."""
    *parents, last = re.findall(r'[a-z_]+|\d+', path)
    entry = context.fields
    for step in parents:
        entry = entry[int(step) if step.isdigit() else step]
    if last.isdigit():
        entry.append(safe_load(text))
    else:
        entry[last] = safe_load(text)


@when('the file is checked')
def check_file(context: Any) -> None:
    """Check the file with the command line."""
    _check(context)


@when('the file is checked against the one before')
def check_against(context: Any) -> None:
    """Check the file against the example."""
    before = Path(mkdtemp()) / 'before.yaml'
    before.write_text(MANIFEST)
    _check(context, '--against', str(before))


@when('a missing file is checked')
def check_missing(context: Any) -> None:
    """Check a file that does not exist."""
    context.outcome = CliRunner().invoke(app, ['manifest', 'check', 'none'])


@then('the command ends with {code:d}')
def check_exit(context: Any, code: int) -> None:
    """Check the exit code."""
    assert context.outcome.exit_code == code, context.outcome.output


@then('it finds {severity} at {path} in the line of that field')
def check_finding(context: Any, severity: str, path: str) -> None:
    """Check the finding and that its line holds the field."""
    row = next(found for found in _get_rows(context) if found['path'] == path)
    assert row['severity'] == severity, row
    line = context.file.read_text().splitlines()[row['line'] - 1]
    last = re.findall('[a-z_]+', path)[-1]
    # An entry of a list begins with its dash, a field with its name.
    if path.endswith(']'):
        assert line.startswith('- '), (row, line)
    else:
        text = line.strip().removeprefix('- ')
        assert text.startswith(f'{last}:'), (row, line)


@then('the output does not show the digest')
def check_secret(context: Any) -> None:
    """Check that no reason shows a key."""
    reasons = [row['reason'] for row in _get_rows(context)]
    assert not any('aa' in reason for reason in reasons), reasons


@then('the first difference is {severity} at {path}')
def check_difference(context: Any, severity: str, path: str) -> None:
    """Check the worst difference."""
    differences = [
        found
        for found in _get_rows(context)
        if found['severity'] in {'loss', 'change'}
    ]
    first = differences[0]
    assert (first['severity'], first['path']) == (severity, path), differences


def _check(context: Any, *options: str) -> None:
    context.file = Path(mkdtemp()) / 'manifest.yaml'
    context.file.write_text(safe_dump(context.fields, sort_keys=False))
    context.outcome = CliRunner().invoke(
        app,
        ['--output', 'json', 'manifest', 'check', *options, str(context.file)],
    )


def _get_rows(context: Any) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = json.loads(context.outcome.output)
    return rows
