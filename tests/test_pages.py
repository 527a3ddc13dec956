"""Names and links of the pages point at something: files, modules and what they define."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("burlloom", "tests", "benchmarks", "docs", "deploy", "scripts", "examples")
# CHANGELOG.md's old entries and incidents stay as they were written.
PAGES = sorted(
    [path for path in ROOT.glob("*.md") if path.name != "CHANGELOG.md"]
    + list((ROOT / "docs").glob("*.md"))
)
# Packages that docs/ROADMAP.md plans.
PLANNED = {
    "burlloom/capture/",
    "burlloom/cells/",
    "burlloom/dependencies/",
    "burlloom/uwsgi/",
}
LINK = re.compile(r"\]\(([^)\s]+)\)")
PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(FOLDERS)})/[\w./*-]*[\w/*]")
MODULE_FILE = re.compile(r"`([\w/]+\.py)`")
DOTTED = re.compile(r"\bburlloom(?:\.\w+)+")
RACES = ROOT / "docs" / "races.md"
TEST_NAME = re.compile(r"`([a-z]+(?:_[a-z0-9]+)+)`")


def defines(module: Path, name: str) -> bool:
    """Whether a module's file defines or imports that name at its top level."""
    file = module / "__init__.py" if module.is_dir() else module.with_suffix(".py")
    names: set[str] = set()
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Import | ast.ImportFrom):
            names.update(alias.asname or alias.name for alias in node.names)
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            names.update(one.id for one in ast.walk(node) if isinstance(one, ast.Name))
    return name in names


def is_module(path: Path) -> bool:
    """Whether a package or a module stands there."""
    return path.is_dir() or path.with_suffix(".py").is_file()


def names_something(dotted: str) -> bool:
    """Whether `burlloom.a.b` is a module, a package, or a name that a module has."""
    *parents, last = dotted.split(".")
    module = ROOT.joinpath(*parents)
    return is_module(module / last) or (is_module(module) and defines(module, last))


def module_exists(file: str) -> bool:
    """Whether `x/y.py` stands in the repository, or below one of its folders."""
    places = (ROOT, *(ROOT / folder for folder in ("burlloom", "tests", "benchmarks")))
    return any((place / file).exists() for place in places) or (
        "/" not in file and any((ROOT / "burlloom").rglob(file))
    )


def text_of(page: Path) -> str:
    return page.read_text(encoding="utf-8")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page: Path) -> None:
    links = [link for link in LINK.findall(text_of(page)) if "://" not in link]
    lost = [link for link in links if not (page.parent / link.split("#")[0]).exists()]
    assert lost == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_exist(page: Path) -> None:
    lost = {path for path in PATH.findall(text_of(page)) if not list(ROOT.glob(path))}
    assert lost - (PLANNED if page.name == "ROADMAP.md" else set()) == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_modules_named_by_their_file_exist(page: Path) -> None:
    lost = {file for file in MODULE_FILE.findall(text_of(page)) if not module_exists(file)}
    assert lost == set()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_dotted_names_exist(page: Path) -> None:
    lost = {name for name in DOTTED.findall(text_of(page)) if not names_something(name)}
    assert lost == set()


def test_races_name_tests_that_exist() -> None:
    """The last column has names of tests, without `test_` and as far as they tell them apart."""
    rows = [line for line in text_of(RACES).splitlines() if line.startswith("|")]
    named = {name for row in rows for name in TEST_NAME.findall(row.rsplit("|", 2)[1])}
    code = "".join(text_of(path) for path in (ROOT / "tests").glob("*.py"))
    assert {name for name in named if f"def test_{name}" not in code} == set()
    assert named != set()
