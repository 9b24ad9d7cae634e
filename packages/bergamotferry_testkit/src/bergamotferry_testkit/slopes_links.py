"""Slopes of control messages and log lines, with the real functions in this process.

`answer_renewal` answers many fake hosts from the tables of a real leader. Every message
is encoded and decoded, but passes through no socket.
"""

import asyncio
import logging
import os
import secrets
import time
from pathlib import Path
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from bergamotferry.commands import OpenSession
from bergamotferry.messages import RenewLeases, RenewLeasesReply
from bergamotferry.records import HostAddress, ShardId
from bergamotferry_host.bootstrap import data_centre_group
from bergamotferry_host.codec import decode, encode
from bergamotferry_host.daemon import build_host
from bergamotferry_host.group_commit import commit
from bergamotferry_host.group_members import run_group
from bergamotferry_host.host_state import HostState
from bergamotferry_host.leader_duties import answer_renewal, leader_state
from bergamotferry_host.settings import Settings

from .slope_fit import Slope, fit_slope
from .slopes_tables import time_us

DATA_CENTRE = "ishikari-a"
HOST_COUNTS = (50, 200, 800)
SESSION_COUNTS = (4, 16, 64)
LINE_COUNTS = (500, 1000, 2000)
LEADER_TIMEOUT_S = 5.0
POLL_S = 0.02


async def measure_link_slopes(folder: Path) -> list[Slope]:
    """Measure all slopes of this module."""
    state = _build_leader(folder / f"leader-{time.time_ns()}")
    group = state.groups[data_centre_group(DATA_CENTRE)]
    task = asyncio.create_task(run_group(group))
    try:
        await _wait_leader(state)
        names = [f"testlog-{number:04d}" for number in range(SESSION_COUNTS[-1])]
        for number, name in enumerate(names):
            address = f"10.0.0.1:{number + 1}"
            await commit(group, OpenSession(name, "testlog", address, 1, 2, 130, True))
        return [
            _renewal_slope_per_host(state),
            _renewal_slope_per_session(state, names),
            _log_line_slope(),
        ]
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _renewal_slope_per_host(state: HostState) -> Slope:
    points: list[tuple[float, float]] = []
    for n_hosts in HOST_COUNTS:
        requests = [encode(_make_renewal(number, ())) for number in range(n_hosts)]

        def answer_all(encoded_requests: list[bytes] = requests) -> None:
            for encoded_request in encoded_requests:
                _answer_encoded(state, encoded_request)

        points.append((n_hosts, time_us(answer_all)))
    return fit_slope(
        "renewal_cpu_per_host",
        "µs",
        "renewal of a host",
        "codec, answer_renewal, codec; one renewal each of many fake hosts, no socket",
        points,
    )


def _renewal_slope_per_session(state: HostState, names: list[str]) -> Slope:
    points: list[tuple[float, float]] = []
    for n_sessions in SESSION_COUNTS:
        sessions = tuple((name, 1) for name in names[:n_sessions])
        request = encode(_make_renewal(0, sessions))
        reply = _answer_encoded(state, request)
        if not reply.is_leader or reply.lost_sessions:
            raise RuntimeError("the leader did not renew the sessions")

        def answer(encoded_request: bytes = request) -> None:
            _answer_encoded(state, encoded_request)

        points.append((n_sessions, time_us(answer, 100)))
    return fit_slope(
        "renewal_cpu_per_session",
        "µs",
        "renewal of a session, within its host's message",
        "codec, answer_renewal, codec; one host, no socket",
        points,
    )


def _log_line_slope() -> Slope:
    """Measure the writing of a decision line with the host's log formatter."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"host": "ishikari-a-1", "data_centre": DATA_CENTRE},
    )
    handler = logging.FileHandler(os.devnull)
    handler.setFormatter(formatter)
    logger = logging.getLogger("bergamotferry_testkit.slopes")
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    fields: dict[str, Any] = {
        "request_id": secrets.token_hex(8),
        "code": 0,
        "took_ms": 3.25,
        "to_data_centre": DATA_CENTRE,
        "shard": 117,
        "route": "testlog/lookup",
    }
    points: list[tuple[float, float]] = []
    for n_lines in LINE_COUNTS:

        def write_lines(count: int = n_lines) -> None:
            for _ in range(count):
                logger.info("routed", extra=fields)

        points.append((n_lines, time_us(write_lines)))
    logger.removeHandler(handler)
    handler.close()
    return fit_slope(
        "log_line_cpu",
        "µs",
        "decision line",
        "JsonFormatter over the fields of a routed request, written to the null device",
        points,
    )


def _make_renewal(number: int, sessions: tuple[tuple[str, int], ...]) -> RenewLeases:
    host = _make_address(f"{DATA_CENTRE}-{number + 1}", False)
    released: tuple[tuple[ShardId, int], ...] = ()
    return RenewLeases(host, "1", DATA_CENTRE, False, sessions, (), released)


def _answer_encoded(state: HostState, request: bytes) -> RenewLeasesReply:
    reply = answer_renewal(state, decode(request))
    decoded: RenewLeasesReply = decode(encode(reply))
    return decoded


def _build_leader(folder: Path) -> HostState:
    own_address = _make_address(f"{DATA_CENTRE}-1", True)
    token = "peer-token-of-slopes"
    settings = Settings(
        host=own_address,
        seeds=(own_address,),
        caller_address="127.0.0.1:1",
        control_address="127.0.0.1:2",
        peer_address=own_address.peer_address,
        data_dir=folder,
        is_bootstrap=True,
        operator_token=token,
        upstream_token=token,
        peer_token=token,
        statsd_address="",
        log_level="warning",
        stop_grace_s=0.0,
        request_policies_off=frozenset(),
        link_mbit_per_s=0.0,
    )
    # No code under measurement sends HTTP, so the client session is never used.
    return build_host(settings, None)  # type: ignore[arg-type]


def _make_address(name: str, is_durable: bool) -> HostAddress:
    return HostAddress(name, DATA_CENTRE, "ishikari", "127.0.0.1:3", is_durable)


async def _wait_leader(state: HostState) -> None:
    group = state.groups[data_centre_group(DATA_CENTRE)]
    for _ in range(int(LEADER_TIMEOUT_S / POLL_S)):
        if leader_state(state, group) is not None:
            return
        await asyncio.sleep(POLL_S)
    raise RuntimeError("the group elected no leader in time")
