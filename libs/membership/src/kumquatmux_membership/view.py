"""The view as last told, and the losses to be told with the next one."""

from __future__ import annotations

from collections.abc import Iterable

from kumquatmux_core import decisions
from kumquatmux_core.identity import Vm, VmId
from kumquatmux_membership.events import ViewChanged
from kumquatmux_membership.peer import Peer


class View:
    """Works out the view again when a peer turned.

    Attributes:
        latest: The view as last told.
        lost: VMs that went ungracefully since then.
        stale: Whether a peer has turned since then.
    """

    def __init__(self) -> None:
        self.latest: tuple[Vm, ...] = ()
        self.lost: set[VmId] = set()
        self.dirty = False

    def record_loss(self, peer: Peer) -> None:
        """Note that a peer went, unless it had said so before."""
        self.dirty = True
        if not peer.left:
            self.lost.add(peer.vm.vm)

    def update(
        self, local_vm: Vm, peers: Iterable[Peer], *, force: bool
    ) -> ViewChanged | None:
        """Return the view if it is not what it was.

        Args:
            me: This VM.
            peers: All its peers.
            due: Whether it is to be told even if it did not change.
        """
        if not (force or self.dirty or self.lost):
            return None
        self.dirty = False
        view = tuple(sorted([local_vm, *(peer.vm for peer in peers if peer.in_view)]))
        if view == self.latest and not (force or self.lost):
            return None
        self._log_change(view)
        lost = tuple(sorted(self.lost))
        self.latest = view
        self.lost = set()
        return ViewChanged(view, lost)

    def _log_change(self, view: tuple[Vm, ...]) -> None:
        previous_ids = {vm.vm for vm in self.latest}
        current_ids = {vm.vm for vm in view}
        decisions.log(
            "view-changed",
            live=len(view),
            joined=",".join(sorted(current_ids - previous_ids)),
            gone=",".join(sorted(previous_ids - current_ids)),
            lost=",".join(sorted(self.lost)),
        )
