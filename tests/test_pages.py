"""Links, paths and names of code in the pages refer to files, modules and names that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("burlloom", "tests", "benchmarks", "docs", "deploy", "scripts", "examples")
# CHANGELOG.md is left out: its old entries and incidents name code as it was at their time.
PAGES = sorted(
    [path for path in ROOT.glob("*.md") if path.name != "CHANGELOG.md"]
    + list((ROOT / "docs").glob("*.md"))
)
# Packages that docs/ROADMAP.md plans and that do not exist yet.
PLANNED_PACKAGES = {
    "burlloom/capture/",
    "burlloom/cells/",
    "burlloom/dependencies/",
    "burlloom/uwsgi/",
}
LINK = re.compile(r"\]\(([^)\s]+)\)")
PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(FOLDERS)})/[\w./*-]*[\w/*]")
MODULE_FILE = re.compile(r"`([\w/]+\.py)`")
DOTTED_NAME = re.compile(r"\bburlloom(?:\.\w+)+")
RACES_PAGE = ROOT / "docs" / "races.md"
TEST_NAME = re.compile(r"`([a-z]+(?:_[a-z0-9]+)+)`")


def defines(module: Path, name: str) -> bool:
    """Returns whether a module defines or imports a name at its top level."""
    file = module / "__init__.py" if module.is_dir() else module.with_suffix(".py")
    names: set[str] = set()
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Import | ast.ImportFrom):
            names.update(alias.asname or alias.name for alias in node.names)
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            names.update(part.id for part in ast.walk(node) if isinstance(part, ast.Name))
    return name in names


def is_module(path: Path) -> bool:
    """Returns whether a path, without ending, is that of a package or a module."""
    return path.is_dir() or path.with_suffix(".py").is_file()


def dotted_name_exists(dotted: str) -> bool:
    """Returns whether `burlloom.a.b` is a module, a package, or a name in a module."""
    *parents, last = dotted.split(".")
    module = ROOT.joinpath(*parents)
    return is_module(module / last) or (is_module(module) and defines(module, last))


def module_exists(file: str) -> bool:
    """Returns whether `x/y.py` exists in the repository or in one of its folders of code.

    A name without a folder may be anywhere in the package.
    """
    folders = (ROOT, *(ROOT / folder for folder in ("burlloom", "tests", "benchmarks")))
    return any((folder / file).exists() for folder in folders) or (
        "/" not in file and any((ROOT / "burlloom").rglob(file))
    )


def read_text(page: Path) -> str:
    """Returns the text of a file."""
    return page.read_text(encoding="utf-8")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page: Path) -> None:
    links = [link for link in LINK.findall(read_text(page)) if "://" not in link]
    missing = [link for link in links if not (page.parent / link.split("#")[0]).exists()]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_exist(page: Path) -> None:
    missing = {path for path in PATH.findall(read_text(page)) if not list(ROOT.glob(path))}
    assert missing - (PLANNED_PACKAGES if page.name == "ROADMAP.md" else set()) == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_modules_named_by_their_file_exist(page: Path) -> None:
    missing = {file for file in MODULE_FILE.findall(read_text(page)) if not module_exists(file)}
    assert missing == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_dotted_names_exist(page: Path) -> None:
    missing = {
        name for name in DOTTED_NAME.findall(read_text(page)) if not dotted_name_exists(name)
    }
    assert missing == set()


def test_the_tests_named_on_the_page_of_races_exist() -> None:
    """The last column contains the beginnings of test names, without `test_`."""
    rows = [line for line in read_text(RACES_PAGE).splitlines() if line.startswith("|")]
    named = {name for row in rows for name in TEST_NAME.findall(row.rsplit("|", 2)[1])}
    code = "".join(read_text(path) for path in (ROOT / "tests").glob("*.py"))
    assert {name for name in named if f"def test_{name}" not in code} == set()
    assert named != set()
