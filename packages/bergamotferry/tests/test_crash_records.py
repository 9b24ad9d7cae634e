"""How a request is identified by its content."""

import pytest

from bergamotferry.crash_records import request_fingerprint


@pytest.mark.parametrize(
    "changed", ["method", "host_name", "target", "credentials", "body"]
)
def test_fingerprint_depends_on_each_part_of_the_content(changed):
    parts = {
        "method": "GET",
        "host_name": "a.example",
        "target": "/x?y=1",
        "credentials": "Bearer a",
        "body": b"content",
    }
    other = {**parts, changed: b"z" if changed == "body" else "z"}
    assert request_fingerprint(**parts) == request_fingerprint(**parts)
    assert request_fingerprint(**parts) != request_fingerprint(**other)
