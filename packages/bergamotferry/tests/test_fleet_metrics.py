"""Requests, sends and durations are counted under the labels of their metrics."""

from bergamotferry.fleet_metrics import (
    BUCKET_BOUNDS_MS,
    Histogram,
    RequestMetrics,
    count_answer,
    count_family,
    observe,
    record_payload,
    record_placement_time,
    record_send,
    request_families,
)


def test_duration_is_counted_in_the_first_bucket_that_covers_it():
    for position, bound_ms in enumerate(BUCKET_BOUNDS_MS):
        histogram = Histogram()
        observe(histogram, bound_ms)
        assert histogram.counts.index(1) == position
    histogram = Histogram()
    observe(histogram, BUCKET_BOUNDS_MS[-1] + 1)
    assert histogram.counts[-1] == 1


def test_requests_are_counted_by_kind_code_and_data_centre():
    metrics = RequestMetrics()
    record_placement_time(metrics, "safe", 3.0)
    record_send(metrics, "a", "not_run", 1.0)
    record_send(metrics, "b", "answered", 120.0)
    count_answer(metrics, "safe", 0, 130.0)
    count_answer(metrics, "safe", 1202, 2.0)
    families = {family.name: family for family in request_families(metrics)}
    assert families["requests"].rows == {("safe", "0"): 1, ("safe", "1202"): 1}
    assert families["sends"].rows == {("a", "not_run"): 1, ("b", "answered"): 1}
    assert families["request_seconds"].rows[("safe",)].sum_ms == 132.0
    assert families["placing_seconds"].rows[("safe",)].sum_ms == 3.0
    assert families["send_seconds"].rows[("b",)].sum_ms == 120.0


def test_bytes_and_probes_are_counted_by_distance():
    metrics = RequestMetrics()
    record_payload(metrics, "far", 300, 5_000)
    record_payload(metrics, "far", 0, 400)
    record_payload(metrics, "here", 10, 0)
    metrics.probes["near",] += 1
    families = {family.name: family for family in request_families(metrics)}
    assert families["payload_bytes"].rows == {
        ("far", "request"): 300,
        ("far", "answer"): 5_400,
        ("here", "request"): 10,
        ("here", "answer"): 0,
    }
    assert families["load_probes"].rows == {("near",): 1}


def test_values_are_counted_by_label():
    family = count_family("upstreams", "Known.", "phase", ["ready", "gone", "ready"])
    assert family.rows == {("ready",): 2.0, ("gone",): 1.0}
