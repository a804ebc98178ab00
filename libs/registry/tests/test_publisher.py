from __future__ import annotations

import pytest

from kumquatmux_core.codec import registry
from kumquatmux_core.identity import Endpoint
from kumquatmux_registry.feed import MESSAGE_TYPES
from kumquatmux_registry.follower import Follower, FollowerSettings
from kumquatmux_registry.leases import Leases
from kumquatmux_registry.publisher import Document, Publisher, PublisherSettings
from kumquatmux_registry.records import (
    LARGEST_COUNT,
    LARGEST_SLOTS,
    TEXT_BYTES,
    Lifetime,
    Phase,
    Report,
    ServerRecord,
)
from kumquatmux_registry.settings import RegistrySettings

CODEC = registry(MESSAGE_TYPES)


def feed():
    settings = RegistrySettings()
    publisher = Publisher(PublisherSettings("c1", "a", 7), Leases(settings, "c1"))
    return publisher, Follower(FollowerSettings("e1", "a", False, ("c1",)))


def poll(publisher, follower, now):
    """Poll once, with both messages encoded and decoded."""
    [(_, question)] = follower.polls(now)
    question = CODEC.decode(CODEC.encode(question)).ok
    answer = CODEC.decode(CODEC.encode(publisher.answer(question, now))).ok
    follower.take(answer, now)
    return answer


# Guards against a document that entry VMs never get for its long number.
@pytest.mark.parametrize("number", [2**64 - 1, 2**64, 20261204090000123456789])
def test_a_document_under_a_long_number_comes_into_force_once(number):
    publisher, follower = feed()
    publisher.document = Document(number - 1, b"former")
    poll(publisher, follower, 0.0)
    publisher.document = Document(number, b"content")
    poll(publisher, follower, 1.0)
    assert follower.document == Document(number, b"content")
    assert poll(publisher, follower, 2.0).content == b""


PAGE_BYTES = 80_000


# Guards against a page of the feed that is longer than a message may be.
def test_a_page_of_the_longest_records_is_short():
    publisher, follower = feed()
    text = "x" * TEXT_BYTES
    for number in range(200):
        name = f"{number:03}".rjust(TEXT_BYTES, "x")
        place = Endpoint("255.255.255.254", number + 1)
        lifetime = Lifetime(name, LARGEST_COUNT)
        report = Report(
            lifetime,
            LARGEST_COUNT,
            text,
            place,
            text,
            text,
            LARGEST_SLOTS,
            Phase.READY,
            0.1,
        )
        assert publisher.leases.merge(ServerRecord(report, "c2"), 0.0)
    answer = poll(publisher, follower, 0.0)
    assert len(answer.records) == 64
    assert len(CODEC.encode(answer)) < PAGE_BYTES
