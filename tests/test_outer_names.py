"""Names that other programs or operators read stay in the source when the code is renamed."""

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
LIST_FILE = Path(__file__).parent / "data" / "outer_names.txt"


def load_script() -> ModuleType:
    """Returns scripts/outer_names.py as a module; the folder is not a package."""
    spec = importlib.util.spec_from_file_location("outer_names", ROOT / "scripts/outer_names.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


SCRIPT = load_script()
LISTED_NAMES: dict[str, set[str]] = SCRIPT.read_list(LIST_FILE.read_text(encoding="utf-8"))
FOUND_NAMES: dict[str, set[str]] = SCRIPT.find_outer_names()


@pytest.mark.parametrize("section", sorted(LISTED_NAMES))
def test_each_listed_name_is_found_in_its_section(section: str) -> None:
    assert LISTED_NAMES[section] - FOUND_NAMES.get(section, set()) == set()


def test_the_list_has_each_section_of_the_script() -> None:
    assert set(FOUND_NAMES) == set(LISTED_NAMES)
    assert all(LISTED_NAMES.values())
