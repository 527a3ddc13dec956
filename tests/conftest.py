"""What all tests share: the benchmarks' modules can be imported."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
