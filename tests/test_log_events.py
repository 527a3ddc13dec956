"""docs/on-call.md explains each log event and close reason once; no page names unknown events."""

import re
from collections import Counter
from pathlib import Path

import pytest

from burlloom.sockets import CloseReason

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "on-call.md"
# Operators do not read the logs of the lab's servers and of the tests' fakes.
EXCLUDED_PACKAGES = ("lab", "fakes")
EVENT = re.compile(r"\bevent=([A-Za-z0-9_-]+)")
ROW_NAME = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


def find_events(folder: Path) -> set[str]:
    """Returns the events in the modules of a package."""
    modules = [
        path
        for path in folder.rglob("*.py")
        if path.relative_to(folder).parts[0] not in EXCLUDED_PACKAGES
    ]
    return {event for path in modules for event in EVENT.findall(path.read_text(encoding="utf-8"))}


def find_row_names(page: str, heading: str) -> list[str]:
    """Returns the first column of the tables in a section.

    Args:
        page: Text of the page.
        heading: Heading of the section, of the second level.
    """
    _, _, following = page.partition(f"\n## {heading}\n")
    return ROW_NAME.findall(following.partition("\n## ")[0])


@pytest.fixture(scope="module")
def page() -> str:
    return PAGE.read_text(encoding="utf-8")


def test_each_event_in_the_code_is_explained(page: str) -> None:
    assert find_events(ROOT / "burlloom") - set(find_row_names(page, "Events")) == set()


def test_each_explained_event_is_in_the_code(page: str) -> None:
    assert set(find_row_names(page, "Events")) - find_events(ROOT / "burlloom") == set()


@pytest.mark.parametrize("path", sorted((ROOT / "docs").glob("*.md")), ids=lambda path: path.name)
def test_pages_name_only_events_that_the_code_logs(path: Path) -> None:
    named = set(EVENT.findall(path.read_text(encoding="utf-8")))
    assert named - find_events(ROOT / "burlloom") == set()


def test_no_event_is_explained_twice(page: str) -> None:
    counts = Counter(find_row_names(page, "Events"))
    assert [name for name, count in counts.items() if count > 1] == []


def test_each_close_reason_is_explained_once(page: str) -> None:
    explained = sorted(find_row_names(page, "Closed connections"))
    assert explained == sorted(reason.value for reason in CloseReason)
