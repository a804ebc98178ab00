from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).parent.parent / "scripts" / "capacity.py"


def test_the_capacity_page_is_current():
    done = subprocess.run([sys.executable, str(SCRIPT), "--check"], check=False)
    assert done.returncode == 0
