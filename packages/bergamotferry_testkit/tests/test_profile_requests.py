"""Checks how the time of a profile is attributed to parts of the code."""

import pstats

import pytest

from bergamotferry_testkit.profile_requests import part_of_file, time_by_part

LIBRARY = "/somewhere/lib/python3.11"
CODEC = "/src/bergamotferry_host/src/bergamotferry_host/codec.py"
AIOHTTP = f"{LIBRARY}/site-packages/aiohttp/web_protocol.py"


@pytest.mark.parametrize(
    ("path", "part"),
    [
        (CODEC, "bergamotferry_host.codec"),
        (AIOHTTP, "aiohttp"),
        (f"{LIBRARY}/asyncio/events.py", "asyncio"),
        ("<frozen importlib>", "interpreter"),
    ],
)
def test_part_is_named_after_the_module_or_library(path, part):
    assert part_of_file(path) == part


def test_time_of_built_ins_counts_for_the_caller_and_waits_are_left_out():
    encode = (CODEC, 1, "encode")
    serve = (AIOHTTP, 2, "serve")
    stats = pstats.Stats()
    stats.stats = {
        encode: (1, 1, 0.5, 0.75, {serve: (1, 1, 0.5, 0.75)}),
        serve: (1, 1, 1.0, 2.0, {}),
        ("~", 0, "<built-in method dumps>"): (
            2,
            2,
            0.375,
            0.375,
            {encode: (1, 1, 0.25, 0.25), serve: (1, 1, 0.125, 0.125)},
        ),
        ("~", 0, "<method 'poll' of 'select.epoll' objects>"): (
            1,
            1,
            9.0,
            9.0,
            {serve: (1, 1, 9.0, 9.0)},
        ),
    }
    expected = {"bergamotferry_host.codec": 0.75, "aiohttp": 1.125}
    assert dict(time_by_part(stats)) == expected
