"""Lists the names in the source that leave the process.

Messages, stored data, settings, flags, environment variables, metrics and log lines are read by
other programs and by operators, so their names must not change when the code is renamed. The list
is stored in tests/data/outer_names.txt; tests/test_outer_names.py fails if one of its names is no
longer found in the modules of its section.

    python scripts/outer_names.py > tests/data/outer_names.txt
"""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "burlloom"
NAME = re.compile(r"[A-Za-z_][\w.:/-]{0,59}")
SQL = re.compile(
    r"\b(CREATE TABLE|CREATE INDEX|SELECT|INSERT INTO|UPDATE|DELETE FROM|PRAGMA|ALTER TABLE)\b"
)
SQL_WORD = re.compile(r"\b[a-z][a-z0-9_]*\b")
EVENT = re.compile(r"\bevent=([A-Za-z0-9_-]+)")
LOG_KEY = re.compile(r"(?:^|[\s(])([a-z_]+)=(?=[%{'\s\"]|$|[\w-])")
METRIC = re.compile(r"\bburlloom_[a-z0-9_]+")
ENVIRONMENT = re.compile(r"\b(?:EDGE|BURLLOOM)_[A-Z0-9_]+\b")

# Short strings that are no outer names: encodings, Python's own names, type names.
NOT_NAMES = {"utf-8", "latin-1", "ascii", "__main__", "_", "Result", "Model"}

# By section: modules whose short strings are the names.
MODULES_BY_SECTION = {
    "messages to callers": ["rpc/*.py"],
    "messages to the executor": ["executor/*.py"],
    "messages to downstream dependencies": ["downstream/*.py"],
    "messages to the name service": ["discovery/*.py"],
    "messages between servers": ["fleet/messages.py", "fleet/member.py"],
    "messages of control machines": [
        "distribution/messages.py",
        "distribution/changes.py",
        "distribution/codec.py",
        "distribution/change_log.py",
        "distribution/config_query.py",
        "distribution/counters.py",
        "distribution/leaves.py",
        "distribution/status_report.py",
        "distribution/tenant_shares.py",
        "distribution/control_node.py",
        "distribution/follower.py",
    ],
    "settings": ["settings/*.py"],
    "configuration file": ["server/configuration.py", "server/configuration_schema.py"],
    "operator's file": ["operator/*.py"],
    "stored by servers": [
        "server/configured_*.py",
        "server/followed_configuration.py",
        "server/level_pin.py",
        "recovery/snapshot.py",
        "levels/plan.py",
        "levels/signals.py",
    ],
    "stored by the record": ["record/*.py"],
    "stored by rollouts": ["rollout/*.py", "rollout/stores/*.py"],
    "stored by distribution": ["distribution/stores/*.py"],
    "events and actions of the simulator's adapter": ["bench_adapter/*.py"],
    "metrics and labels": [
        "metrics/*.py",
        "server/metrics_exposition.py",
        "server/subsystems.py",
        "server/operator_subsystems.py",
        "server/outcomes.py",
    ],
}
# By section: modules, and a pattern of the classes whose members or fields are written out under
# their own names.
CLASSES_BY_SECTION = {
    "messages between servers": [("fleet/*.py", "Member*State"), ("fleet/*.py", "*Counters")],
    "messages of control machines": [
        ("distribution/*.py", "Counts"),
        ("distribution/*.py", "*Counters"),
        ("distribution/*.py", "*State"),
    ],
    "operator's file": [("operator/*.py", "*")],
    "stored by servers": [
        ("recovery/*.py", "*State"),
        ("recovery/*.py", "*Validity"),
        ("recovery/*.py", "*Event"),
        ("levels/*.py", "*Phase"),
    ],
    "stored by the record": [
        ("record/*.py", "*State"),
        ("record/*.py", "*Kind"),
        ("record/*.py", "*Outcome"),
        ("record/*.py", "*Counters"),
        ("record/*.py", "*Summary"),
    ],
    "stored by rollouts": [
        ("rollout/*.py", "*Phase"),
        ("rollout/*.py", "*State"),
        ("rollout/*.py", "*Input"),
    ],
    "metrics and labels": [
        ("metrics/*.py", "*Counters"),
        ("dispatcher/*.py", "*Counters"),
        ("server/*.py", "*Counters"),
    ],
}
SQL_SECTIONS = {"stored by the record", "stored by rollouts", "stored by distribution"}


def parse_modules(patterns: list[str]) -> Iterator[ast.Module]:
    """Yields the syntax trees of the modules that the patterns match, relative to the package."""
    for pattern in patterns:
        for path in sorted(PACKAGE.glob(pattern)):
            yield ast.parse(path.read_text(encoding="utf-8"))


def find_parts_without_names(node: ast.AST) -> list[ast.AST | None]:
    """Returns the parts of a node whose strings are no names: errors, annotations and exports."""
    if isinstance(node, ast.Raise):
        return [node.exc]
    if isinstance(node, ast.AnnAssign | ast.arg):
        return [node.annotation]
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
        return [node.returns]
    if isinstance(node, ast.Assign) and "__all__" in map(ast.unparse, node.targets):
        return [node.value]
    return []


def iter_strings(tree: ast.Module, with_messages: bool = True) -> Iterator[str]:
    """Yields the string and bytes constants of a module without its docstrings.

    Args:
        tree: The module.
        with_messages: False leaves out texts of raised errors, type annotations and `__all__`.
    """
    excluded_ids: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            excluded_ids.add(id(node.value))
        if not with_messages:
            for part in find_parts_without_names(node):
                excluded_ids.update(map(id, ast.walk(part) if part is not None else ()))
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in excluded_ids:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def iter_class_members(tree: ast.Module, pattern: str) -> Iterator[str]:
    """Yields the fields and enum members of the classes whose names match a shell pattern."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef) and Path(node.name).match(pattern):
            for part in node.body:
                if isinstance(part, ast.AnnAssign) and isinstance(part.target, ast.Name):
                    yield part.target.id
                elif isinstance(part, ast.Assign):
                    yield from (
                        target.id for target in part.targets if isinstance(target, ast.Name)
                    )


def list_function_names(tree: ast.Module) -> set[str]:
    """Returns the methods and functions of a module that a transition table may name."""
    defined = {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
    return {name for name in defined if "_" in name}


CLICK_CALLS = {"option", "argument", "command", "group", "Choice"}
COMMAND_WORD = re.compile(r"-{0,2}[A-Za-z][\w/-]*")


def iter_command_names(tree: ast.Module) -> Iterator[str]:
    """Yields the flags, subcommands and arguments of a click module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and getattr(node.func, "attr", "") in CLICK_CALLS:
            constants = [part.value for part in ast.walk(node) if isinstance(part, ast.Constant)]
            yield from (
                value
                for value in constants
                if isinstance(value, str) and COMMAND_WORD.fullmatch(value)
            )
        if isinstance(node, ast.FunctionDef) and any(
            re.search(r"\.(command|group)\b", ast.unparse(decorator))
            for decorator in node.decorator_list
        ):
            yield node.name.strip("_").replace("_", "-")


def find_outer_names() -> dict[str, set[str]]:
    """Returns the names that leave the process, by section."""
    names: dict[str, set[str]] = {}
    for section, patterns in MODULES_BY_SECTION.items():
        found = names.setdefault(section, set())
        trees = list(parse_modules(patterns))
        function_names = set().union(*map(list_function_names, trees))
        for tree in trees:
            for text in iter_strings(tree, with_messages=False):
                if text in function_names or text in NOT_NAMES:
                    continue
                if NAME.fullmatch(text) and "event=" not in text:
                    found.add(text)
                elif section in SQL_SECTIONS and SQL.search(text):
                    found.update(SQL_WORD.findall(text))
        for pattern, class_pattern in CLASSES_BY_SECTION.get(section, ()):
            for tree in parse_modules([pattern]):
                found.update(iter_class_members(tree, class_pattern))
    all_strings = [text for tree in parse_modules(["**/*.py"]) for text in iter_strings(tree)]
    names["metrics and labels"].update(
        name for text in all_strings for name in METRIC.findall(text)
    )
    names["environment variables"] = {
        name for text in all_strings for name in ENVIRONMENT.findall(text)
    }
    log_formats = [text for text in all_strings if "event=" in text]
    names["log events"] = {name for text in log_formats for name in EVENT.findall(text)}
    names["keys of log lines"] = {name for text in log_formats for name in LOG_KEY.findall(text)}
    names["flags and subcommands"] = {
        name for tree in parse_modules(["command/*.py"]) for name in iter_command_names(tree)
    }
    return names


def read_list(text: str) -> dict[str, set[str]]:
    """Returns the sections of a list that `main` printed."""
    sections: dict[str, set[str]] = {}
    for line in text.splitlines():
        if line.startswith("# "):
            names = sections.setdefault(line[2:], set())
        elif line:
            names.add(line)
    return sections


def main() -> None:
    """Prints the list: a heading for each section, then one name per line."""
    for section, names in sorted(find_outer_names().items()):
        print(f"# {section}", *sorted(names), "", sep="\n")


if __name__ == "__main__":
    main()
