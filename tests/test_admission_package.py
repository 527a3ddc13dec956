"""Checks on the admission package as a whole: its imports, and its list in the deploy file."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MODULES = sorted((ROOT / "burlloom" / "admission").glob("*.py"))
MODULES_WITH_IO = {"asyncio", "io", "logging", "os", "socket", "subprocess", "sys", "time"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_modules_import_only_the_package_and_the_errors_and_do_no_io(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            module = node.module or ""
            assert node.level < 2 or module == "errors"
            assert node.level > 0 or module.split(".")[0] not in {"burlloom", *MODULES_WITH_IO}
        elif isinstance(node, ast.Import):
            for alias in node.names:
                assert alias.name.split(".")[0] not in {"burlloom", *MODULES_WITH_IO}


def test_deploy_file_lists_every_module_as_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == [str(path.relative_to(ROOT)) for path in MODULES]
