"""The page for those on call has all log events and close reasons; no page names others."""

import re
from collections import Counter
from pathlib import Path

import pytest

from burlloom.sockets import CloseReason

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "on-call.md"
# The lab's servers and the fakes of the tests log nothing that an operator reads.
LEFT_OUT = ("lab", "fakes")
EVENT = re.compile(r"\bevent=([A-Za-z0-9_-]+)")
ROW_NAME = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


def events_in(folder: Path) -> set[str]:
    """Returns the events that the modules of a package name."""
    modules = [
        path for path in folder.rglob("*.py") if path.relative_to(folder).parts[0] not in LEFT_OUT
    ]
    return {event for path in modules for event in EVENT.findall(path.read_text(encoding="utf-8"))}


def names_under(page: str, heading: str) -> list[str]:
    """Returns the first column of the tables under a heading, to the next of its rank."""
    _, _, rest = page.partition(f"\n## {heading}\n")
    return ROW_NAME.findall(rest.partition("\n## ")[0])


@pytest.fixture(scope="module")
def page() -> str:
    return PAGE.read_text(encoding="utf-8")


def test_each_event_of_the_code_is_explained(page: str) -> None:
    assert events_in(ROOT / "burlloom") - set(names_under(page, "Events")) == set()


def test_no_event_is_explained_that_the_code_does_not_log(page: str) -> None:
    assert set(names_under(page, "Events")) - events_in(ROOT / "burlloom") == set()


@pytest.mark.parametrize("path", sorted((ROOT / "docs").glob("*.md")), ids=lambda path: path.name)
def test_pages_name_events_that_the_code_logs(path: Path) -> None:
    named = set(EVENT.findall(path.read_text(encoding="utf-8")))
    assert named - events_in(ROOT / "burlloom") == set()


def test_no_event_is_explained_twice(page: str) -> None:
    counts = Counter(names_under(page, "Events"))
    assert [name for name, count in counts.items() if count > 1] == []


def test_close_reasons_are_explained_each_once(page: str) -> None:
    explained = sorted(names_under(page, "Closed connections"))
    assert explained == sorted(reason.value for reason in CloseReason)
