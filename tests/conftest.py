"""Makes the modules of the benchmarks importable in all tests."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
