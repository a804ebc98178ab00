"""The last reported view, and the losses to report with the next one."""

from __future__ import annotations

from collections.abc import Iterable

from kumquatmux_core import decisions
from kumquatmux_core.identity import Vm, VmId
from kumquatmux_membership.events import ViewChanged
from kumquatmux_membership.peer import Peer


class View:
    """Recomputes the view when a peer enters or leaves it.

    Attributes:
        latest: The view as last reported to the caller.
        lost: VMs lost without a graceful shutdown since then.
        dirty: Whether a peer may have entered or left the view since then.
    """

    def __init__(self) -> None:
        self.latest: tuple[Vm, ...] = ()
        self.lost: set[VmId] = set()
        self.dirty = False

    def record_loss(self, peer: Peer) -> None:
        """Record that a peer left the view, as lost unless it announced a shutdown."""
        self.dirty = True
        if not peer.left:
            self.lost.add(peer.vm.vm)

    def update(
        self, local_vm: Vm, peers: Iterable[Peer], *, force: bool
    ) -> ViewChanged | None:
        """Return the view if it changed, a VM was lost or a report is forced.

        Args:
            local_vm: This VM.
            peers: All peers of this VM.
            force: Whether to report the view even if it did not change.
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
