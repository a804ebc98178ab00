from __future__ import annotations

import json
import zlib

from hypothesis import example, given
from hypothesis import strategies as st

from kumquatmux_platform.calls import MAX_MANIFEST_BYTES, pack, unpack
from kumquatmux_platform.entry import PlatformPackets

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "timeout-ms": 2000,
            "backend": "entries",
        }
    ],
    "backends": [{"name": "entries"}],
}
PACKED = pack(json.dumps(MANIFEST).encode())


# Guards against: zlib.error, which ended each entry VM that took such a document.
@given(st.binary(max_size=200))
@example(b"")
@example(PACKED[:-1])
@example(PACKED[:-3] + b"abc")
@example(pack(b""))
@example(pack(b"\xff\xfe{}"))
def test_any_document_gives_routes_or_a_problem(content):
    assert PlatformPackets().read_routes(content).is_error()


def test_a_sound_document_gives_its_routes():
    assert PlatformPackets().read_routes(PACKED).ok.document_number == 7


# Guards against: a small document that fills the memory once it is unpacked.
def test_a_document_that_unpacks_to_too_much_is_refused():
    packer = zlib.compressobj()
    blank = bytes(1 << 20)
    parts = [packer.compress(blank) for _ in range(MAX_MANIFEST_BYTES // len(blank))]
    content = b"".join([*parts, packer.compress(b"1"), packer.flush()])
    assert len(content) < 100_000
    assert unpack(content).error.code == "manifest-unread"
