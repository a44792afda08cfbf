"""Test of the bench program that measures peer links."""

import json
import subprocess
import sys


def test_bench_reports_figures_and_slopes():
    """Guards against a bench program that no longer works with the links."""
    result = subprocess.run(
        [
            sys.executable,
            *("-m", "slatechute.benches.control"),
            *("--sizes", "2,3", "--seconds", "0.3"),
        ],
        capture_output=True,
        timeout=60,
        check=True,
    )
    content = json.loads(result.stdout)
    assert [size["size"] for size in content["by_size"]] == [2, 3]
    for size in content["by_size"]:
        assert size["failures"] == 0
        assert size["sent_bytes_per_s"]["mean"] > 0
        assert size["cpu_s_per_s"]["mean"] > 0
    assert content["slope_per_peer"]["sent_bytes_per_s"] > 0
