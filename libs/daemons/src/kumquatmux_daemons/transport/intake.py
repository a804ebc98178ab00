"""What is taken of a message of another VM: the part that names and bounds allow.

A message whose own fields are odd is refused. One odd entry of a list is left out and
logged, so that it does not hide its neighbours.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from expression import Error, Ok, Result

from kumquatmux_agreement.entries import Configuration
from kumquatmux_agreement.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    SnapshotChunk,
    SnapshotReply,
    StandNow,
    VoteReply,
    VoteRequest,
)
from kumquatmux_agreement.messages import Message as ReplicaMessage
from kumquatmux_core.addresses import is_ip_number, is_sendable
from kumquatmux_core.decisions import log as log_decision
from kumquatmux_core.identity import VmId
from kumquatmux_core.problems import Problem
from kumquatmux_registry.endings import LeaveNotice
from kumquatmux_registry.feed import FeedAnswer, FeedPoll
from kumquatmux_registry.lookup import TokenAnswer, TokenQuestion
from kumquatmux_registry.records import ServerRecord, problem_of
from kumquatmux_tokens.link_occupancy import LinkOccupancy
from kumquatmux_tokens.placers import PlaceAnswer, PlaceQuestion
from kumquatmux_tokens.questions import FlowAnswer, FlowOpened, FlowQuestion
from kumquatmux_tokens.server_pace import PacedAnswers, PaceReport
from kumquatmux_tokens.work import LoadShare, ServerLoad

MAX_TEXT_CHARACTERS = 512
"""Longest name or version in a message."""

MAX_LOGGED_CHARACTERS = 64
"""Longest name that is repeated in a log line."""

NUMBER_LIMIT = 1 << 63
"""Least number that is refused; smaller ones can be counted on and encoded again."""

TOKEN_LIMIT = 1 << 32
FLOW_KEY_BYTES = 12
MAX_TRIED_TOKENS = 64
MAX_SERVER_LOADS = 100_000
MAX_COUNT = 1 << 32
"""Largest number of requests or flows that one VM reports of a server."""

MAX_VMS = 4096
"""Most VMs in one list."""

MAX_EVACUATED_ZONES = 1024
"""Most evacuated zones in one message; part of a longer list would be another one."""

MAX_MEMBER_TEXTS = 1024
"""Most names in a configuration of the replicated log."""

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
OUT_OF_BOUNDS = "a field is out of bounds"
ElectionMessage = (
    VoteRequest | VoteReply | AppendReply | SnapshotReply | JoinRequest | StandNow
)
"""Messages between replicas that carry no entries and no snapshot."""


def take_in(source_ip: str, message: Any) -> Result[Any, Problem]:
    """Return what may be used of a message.

    Args:
        source_ip: IP number that the message came from, which names the VM.
        message: The decoded message.

    Errors:
        ``message-refused`` if it names another sender, or a field is out of bounds.
    """
    sender = getattr(message.sender, "vm", message.sender)
    if sender != source_ip:
        shown = str(sender)[:MAX_LOGGED_CHARACTERS]
        return _refused(f"it names {shown!r} as its sender")
    return _take_in(message)


@singledispatch
def _take_in(message: Any) -> Result[Any, Problem]:
    """Take all of a message that its reader checks by itself."""
    return Ok(message)


@_take_in.register
def _(message: FeedPoll) -> Result[Any, Problem]:
    return Ok(message) if _is_feed_bounded(message) else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: FeedAnswer) -> Result[Any, Problem]:
    revision, zones = message.evacuation_revision, message.evacuated_zones
    if not _is_feed_bounded(message, message.since, revision):
        return _refused(OUT_OF_BOUNDS)
    if len(zones) > MAX_EVACUATED_ZONES or not _are_texts(zones):
        return _refused(OUT_OF_BOUNDS)
    return Ok(
        message._replace(
            records=tuple(filter(_is_taken, message.records)),
            control=_named_vms(message.control),
            entries=_named_vms(message.entries),
        )
    )


@_take_in.register
def _(message: TokenQuestion) -> Result[Any, Problem]:
    return Ok(message) if _are_tokens((message.token,)) else _refused("no such token")


@_take_in.register
def _(message: TokenAnswer) -> Result[Any, Problem]:
    problem = record_problem(message.record)
    return _refused(problem) if problem else Ok(message)


@_take_in.register
def _(message: LeaveNotice) -> Result[Any, Problem]:
    return Ok(message) if _are_texts((message.name,)) else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: LoadShare) -> Result[Any, Problem]:
    if not _are_numbers((message.number, message.included_reservation)):
        return _refused("a number is out of bounds")
    if len(message.server_loads) > MAX_SERVER_LOADS:
        return _refused("too many servers")
    loads = tuple(load for load in message.server_loads if _is_load(load))
    return Ok(message._replace(server_loads=loads))


@_take_in.register
def _(message: PaceReport) -> Result[Any, Problem]:
    if len(message.servers) > MAX_SERVER_LOADS:
        return _refused("too many servers")
    servers = tuple(one for one in message.servers if _is_paced_answers(one))
    return Ok(message._replace(servers=servers))


@_take_in.register
def _(message: PlaceQuestion) -> Result[Any, Problem]:
    is_sound = (
        len(message.flow_key) == FLOW_KEY_BYTES
        and _are_texts((message.service,))
        and len(message.tried_tokens) <= MAX_TRIED_TOKENS
        and _are_tokens((message.sequence_number, *message.tried_tokens))
        and _are_numbers((message.priority,))
        and _are_numbers((message.wait_left_ms, message.target_latency_ms))
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: PlaceAnswer) -> Result[Any, Problem]:
    is_sound = (
        len(message.flow_key) == FLOW_KEY_BYTES
        and _are_tokens((message.token,))
        and _are_numbers((message.reservation_number, message.queue_position))
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: FlowQuestion) -> Result[Any, Problem]:
    is_sound = len(message.flow_key) == FLOW_KEY_BYTES and _are_tokens(
        (message.sequence_number,)
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: FlowAnswer) -> Result[Any, Problem]:
    is_sound = (
        len(message.flow_key) == FLOW_KEY_BYTES
        and len(message.tokens) <= MAX_TRIED_TOKENS
        and _are_tokens((message.confirmed_token, message.seen_token, *message.tokens))
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: FlowOpened) -> Result[Any, Problem]:
    is_sound = len(message.flow_key) == FLOW_KEY_BYTES and _are_tokens(
        (message.sequence_number, message.token)
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: LinkOccupancy) -> Result[Any, Problem]:
    is_sound = _are_numbers((message.waiting, message.wait_ms))
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: ElectionMessage) -> Result[Any, Problem]:
    return Ok(message) if _are_fields_bounded(message) else _refused(OUT_OF_BOUNDS)


@_take_in.register
def _(message: AppendRequest) -> Result[Any, Problem]:
    if not _are_fields_bounded(message):
        return _refused(OUT_OF_BOUNDS)
    last_term = message.previous_term
    for log_index, entry in enumerate(message.entries, message.previous_index + 1):
        if entry.log_index != log_index or not last_term <= entry.term <= message.term:
            return _refused("its entries do not follow one another")
        last_term = entry.term
    configurations = [entry.configuration for entry in message.entries]
    if not all(one is None or _is_configuration(one) for one in configurations):
        return _refused("it has too many members")
    return Ok(message)


@_take_in.register
def _(message: SnapshotChunk) -> Result[Any, Problem]:
    end = message.offset + len(message.data)
    is_sound = (
        _are_fields_bounded(message)
        and end <= message.total_bytes <= MAX_SNAPSHOT_BYTES
        and message.log_term <= message.term
        and _is_configuration(message.configuration)
    )
    return Ok(message) if is_sound else _refused(OUT_OF_BOUNDS)


def record_problem(record: ServerRecord) -> str:
    """Return what makes a server's record unusable, an empty string if nothing does."""
    problem = problem_of(record)
    if problem:
        return problem
    return "" if is_sendable(record.report.endpoint) else "endpoint is no address"


def _is_feed_bounded(message: FeedPoll | FeedAnswer, *others: int) -> bool:
    """Return whether what both messages of the feed hold is in bounds."""
    numbers = (message.incarnation, message.position, message.members, *others)
    is_bounded = message.document >= 0 and _are_numbers(numbers)
    return is_bounded and _are_texts((message.zone,))


def _is_taken(record: ServerRecord) -> bool:
    problem = record_problem(record)
    if problem:
        name = record.report.lifetime.name[:MAX_LOGGED_CHARACTERS]
        log_decision("record-refused", server=name, problem=problem)
    return not problem


def _named_vms(vms: tuple[VmId, ...]) -> tuple[VmId, ...]:
    return tuple(vm for vm in vms[:MAX_VMS] if is_ip_number(vm))


def _is_load(load: ServerLoad) -> bool:
    counts = (load.active_requests, load.open_flows)
    is_bounded = all(0 <= count <= MAX_COUNT for count in counts)
    return is_bounded and _are_tokens((load.token,))


def _is_paced_answers(seen: PacedAnswers) -> bool:
    is_bounded = all(0 <= count <= MAX_COUNT for count in (seen.answers, seen.faults))
    return is_bounded and _are_tokens((seen.token,))


def _are_numbers(numbers: Iterable[int]) -> bool:
    return all(0 <= number < NUMBER_LIMIT for number in numbers)


def _are_tokens(tokens: Iterable[int]) -> bool:
    return all(0 <= token < TOKEN_LIMIT for token in tokens)


def _are_texts(texts: Iterable[str]) -> bool:
    return all(len(text) <= MAX_TEXT_CHARACTERS for text in texts)


def _are_fields_bounded(message: ReplicaMessage) -> bool:
    """Return whether the numbers and the names of a replica's message are in bounds.

    A term is counted on from, so that one next to the limit must not get in.
    """
    numbers = [value for value in message if isinstance(value, int)]
    return _are_numbers(numbers) and _are_texts((message.cluster, *message.sender))


def _is_configuration(configuration: Configuration) -> bool:
    texts = [text for member in configuration.members for text in member]
    texts += [configuration.origin, *configuration.wanted_vms]
    return len(texts) <= MAX_MEMBER_TEXTS and _are_texts(texts)


def _refused(detail: str) -> Result[Any, Problem]:
    return Error(Problem("message-refused", detail))
