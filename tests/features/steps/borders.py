import ast
import importlib
from pathlib import Path

from behave import then


def imported(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


@then('no module of "{package}" imports "{module}"')
def step_border(context, package, module):
    folder = Path(importlib.import_module(package).__file__).parent
    files = list(folder.rglob('*.py'))
    assert files
    for file in files:
        for name in imported(ast.parse(file.read_text())):
            assert name.split('.')[0] != module, (file, name)
