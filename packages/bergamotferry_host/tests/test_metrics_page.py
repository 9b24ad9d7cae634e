"""Tests of the metrics that a collector reads."""

import asyncio
import time

import aiohttp

from bergamotferry.fleet_metrics import (
    Histogram,
    MetricFamily,
    observe,
    single_value_family,
)
from bergamotferry_host.fleet_settings import FleetSettings, check_settings
from bergamotferry_host.metrics_page import (
    measure_loop_delays,
    render_metrics,
    serve_metrics,
)

SETTINGS = FleetSettings(
    name="127.0.0.1",
    label="h",
    data_centre="a",
    region="north",
    regions={"a": "north"},
    peer_port=1,
    seeds=("127.0.0.1",),
    caller_address="127.0.0.1:2",
)


def test_counters_gauges_and_histograms_are_rendered_as_text():
    delays = Histogram()
    for delay_ms in (0.5, 1.5, 99_000):
        observe(delays, delay_ms)
    answers = {("safe", "0"): 4.0, ('q"', "1"): 1.0}
    text = render_metrics(
        [
            MetricFamily("requests", "Answers.", "counter", ("kind", "code"), answers),
            single_value_family("in_flight", "Now.", "gauge", 3),
            MetricFamily("request_seconds", "Time.", "histogram", (), {(): delays}),
        ]
    ).decode()
    lines = text.splitlines()
    assert 'bergamotferry_requests_total{code="0",kind="safe"} 4.0' in lines
    assert 'bergamotferry_requests_total{code="1",kind="q\\""} 1.0' in lines
    assert "bergamotferry_in_flight 3.0" in lines
    assert 'bergamotferry_request_seconds_bucket{le="0.001"} 1.0' in lines
    assert 'bergamotferry_request_seconds_bucket{le="0.002"} 2.0' in lines
    assert 'bergamotferry_request_seconds_bucket{le="+Inf"} 3.0' in lines
    assert "bergamotferry_request_seconds_count 3.0" in lines


async def _serve_and_read():
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = SETTINGS._replace(metrics_port=port)
    failed_runner = await serve_metrics(settings, list)
    server.close()
    await server.wait_closed()
    runner = await serve_metrics(
        settings, lambda: [single_value_family("x", "X.", "gauge", 1)]
    )
    try:
        async with aiohttp.ClientSession() as http:
            async with http.get(f"http://127.0.0.1:{port}/metrics") as answer:
                return failed_runner, answer.status, await answer.text()
    finally:
        await runner.cleanup()


def test_address_in_use_prevents_only_the_metrics():
    failed_runner, status, text = asyncio.run(_serve_and_read())
    assert failed_runner is None
    assert (status, "bergamotferry_x 1.0" in text) == (200, True)
    assert asyncio.run(serve_metrics(SETTINGS, list)) is None


def test_invalid_metrics_port_is_reported():
    assert check_settings(SETTINGS._replace(metrics_port=9464)) == []
    assert check_settings(SETTINGS._replace(metrics_port=70_000)) == [
        "70000 is no port for metrics"
    ]


def test_delay_of_the_event_loop_is_recorded(monkeypatch):
    monkeypatch.setattr("bergamotferry_host.metrics_page.LOOP_PROBE_INTERVAL_S", 0.01)
    delays = Histogram()

    async def block_loop():
        task = asyncio.create_task(measure_loop_delays(delays))
        await asyncio.sleep(0)
        time.sleep(0.2)  # noqa: ASYNC251 blocks the loop on purpose
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(block_loop())
    assert delays.sum_ms >= 150
