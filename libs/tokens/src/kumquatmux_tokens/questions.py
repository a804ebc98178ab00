"""Messages about the server of a flow, between the entry VMs of a zone."""

from __future__ import annotations

from typing import NamedTuple

from kumquatmux_core.identity import VmId


class FlowQuestion(NamedTuple):
    """Asks at which server a flow is open.

    A VM that knows nothing of the flow sends no answer.

    Attributes:
        sender: The asking VM.
        flow_key: 12-byte flow key.
        sequence_number: Sequence number of one of the flow's packets, which tells it
            from a flow that the caller had before on the same port.
    """

    sender: VmId
    flow_key: bytes
    sequence_number: int


class FlowAnswer(NamedTuple):
    """Answer with what a VM knows of a flow.

    Attributes:
        sender: The answering VM.
        flow_key: Flow key from the question.
        confirmed_token: Token of the server at which it saw the flow open, 0 for none.
        tokens: Tokens of the servers at which the flow may be open.
        seen_token: Token of the server that its packets went to by way of the VM, 0 if
            none did.
    """

    sender: VmId
    flow_key: bytes
    confirmed_token: int
    tokens: tuple[int, ...]
    seen_token: int = 0


class FlowOpened(NamedTuple):
    """Tells where a flow opened whose SYN may have gone to several servers.

    Attributes:
        sender: The VM that saw it open.
        flow_key: 12-byte flow key.
        sequence_number: Sequence number of one of the flow's packets.
        token: Token of the server that it is open at.
    """

    sender: VmId
    flow_key: bytes
    sequence_number: int
    token: int


class FlowNewsQuestion(NamedTuple):
    """Asks for the latest news, by a VM that has just started or was out of touch."""

    sender: VmId
