"""No name that other programs or operators read is lost when the code is renamed."""

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
KEPT = Path(__file__).parent / "data" / "outer_names.txt"


def load_script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("outer_names", ROOT / "scripts/outer_names.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


SCRIPT = load_script()
KEPT_NAMES: dict[str, set[str]] = SCRIPT.read_list(KEPT.read_text(encoding="utf-8"))
FOUND_NAMES: dict[str, set[str]] = SCRIPT.outer_names()


@pytest.mark.parametrize("section", sorted(KEPT_NAMES))
def test_each_kept_name_is_found_in_its_section(section: str) -> None:
    assert KEPT_NAMES[section] - FOUND_NAMES.get(section, set()) == set()


def test_each_section_of_the_script_is_kept() -> None:
    assert set(FOUND_NAMES) == set(KEPT_NAMES)
    assert all(KEPT_NAMES.values())
