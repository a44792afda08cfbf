"""Tests of the metrics."""

import pytest

from slatechute import errors
from slatechute import metrics as metrics_module


@pytest.fixture
def metrics():
    return metrics_module.Metrics()


def test_each_reason_is_exported_from_the_start(metrics):
    """Guards against a series created by its first event.

    Such a series hides that event from rate().
    """
    text = metrics.export().decode()
    for reason in errors.Reason:
        assert f'slatechute_retries_total{{reason="{reason}"}} 0.0' in text
        for outcome in errors.Outcome:
            assert (
                f'slatechute_refusals_total{{outcome="{outcome}",'
                f'reason="{reason}",service="other"}} 0.0' in text
            )


def test_services_are_capped(metrics):
    """Guards against an unbounded label set from callers' service names."""
    for number in range(metrics_module.MAX_SERVICES + 20):
        metrics.count_refusal(
            errors.Reason.OVERLOAD, errors.Outcome.NOT_RUN, f"s{number}"
        )
    labels = {"reason": "overload", "outcome": "not-run"}
    assert metrics.value("refusals_total", service="other", **labels) == 20
    assert metrics.value("refusals_total", service="s63", **labels) == 1
    assert len(metrics._refusal_by_labels) == metrics_module.MAX_SERVICES


def test_unverified_services_do_not_use_the_cap(metrics):
    """Guards against unknown service names that use up the label cap."""
    for number in range(100):
        metrics.count_refusal(
            errors.Reason.UNKNOWN_SERVICE, errors.Outcome.NOT_RUN, f"x{number}"
        )
    metrics.count_refusal(errors.Reason.DEADLINE, errors.Outcome.NOT_RUN, "kit")
    labels = {"reason": "deadline", "outcome": "not-run", "service": "kit"}
    assert metrics.value("refusals_total", **labels) == 1


def test_frame_error_kinds_are_capped(metrics):
    """Guards against an unbounded label set from the data of peers."""
    for number in range(40):
        metrics.count_fault(f"k{number}")
        metrics.count_fault("k0")
    assert metrics.value("peer_frame_errors_total", kind="k0") == 41
    assert metrics.value("peer_frame_errors_total", kind="other") == 24


def test_counters_and_histograms(metrics):
    """Guards against methods that increment the wrong counter."""
    metrics.count_hedge()
    metrics.count_probe(120)
    metrics.count_platform_call()
    metrics.count_sent(1, 10)
    metrics.count_received(1, 30)
    metrics.count_duplicate()
    metrics.observe_latencies(total_s=0.020, added_s=0.0007)
    assert metrics.value("hedges_total") == 1
    assert metrics.value("probes_total") == 1
    assert metrics.value("probe_bytes_total") == 120
    assert metrics.value("platform_calls_total") == 1
    assert metrics.value("peer_frames_total", direction="sent") == 1
    assert metrics.value("peer_bytes_total", direction="received") == 30
    assert metrics.value("duplicates_refused_total") == 1
    assert metrics.value("added_latency_seconds_bucket", le="0.0008") == 1
    assert metrics.value("added_latency_seconds_bucket", le="0.0004") == 0
    assert metrics.value("total_latency_seconds_sum") == 0.020


def test_gauges_follow_their_sources(metrics):
    """Guards against gauges that are set once and never updated."""
    links = ["e1"]
    metrics.bind_gauges(links=lambda: len(links))
    links.append("e2")
    assert metrics.value("peer_links") == 2
    assert not metrics.value("configuration_age_seconds") >= 0
    metrics.set_configuration_revision(17)
    assert metrics.value("configuration_revision") == 17
    assert 0 <= metrics.value("configuration_age_seconds") < 60


def test_entries_in_one_process_do_not_share(metrics):
    """Guards against shared counters: the demo runs entries in one process."""
    metrics.count_hedge()
    assert metrics_module.Metrics().value("hedges_total") == 0
