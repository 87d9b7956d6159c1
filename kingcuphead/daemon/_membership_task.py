"""The task that owns the membership machine."""

from collections.abc import Callable

from loguru import logger

from kingcuphead import membership
from kingcuphead.daemon._machine_task import MachineTask


class MembershipTask:
    """Keeps the view of the peers and passes short facts on.

    Parameters
    ----------
    machine
        The membership machine; the task owns it.
    send
        Sends a message to a peer by address.
    announce
        Receives changes of the view, new notices and peers' revisions.
    """

    def __init__(
        self,
        machine: membership.Membership,
        send: Callable[
            [str, membership.Heartbeat | membership.HeartbeatAcknowledged], None
        ],
        announce: Callable[[membership.Effect], None],
    ) -> None:
        self._task: MachineTask[membership.Input, membership.Effect] = MachineTask(
            "membership", machine, self._execute
        )
        self._send = send
        self._announce = announce
        self._names: tuple[str, ...] = ()

    async def run(self) -> None:
        """Own the machine until cancelled."""
        await self._task.run()

    def post(self, message: membership.Input) -> None:
        """Hand a message to the machine."""
        self._task.post(message)

    def _execute(self, effect: membership.Effect) -> None:
        match effect:
            case membership.SendToAddress(address, message):
                self._send(address, message)
            case membership.ViewChanged(members):
                self._log_view(tuple(member.name for member in members))
                self._announce(effect)
            case membership.NoticeLearnt() | membership.PeerRevisionSeen():
                self._announce(effect)

    def _log_view(self, names: tuple[str, ...]) -> None:
        if names != self._names:
            self._names = names
            logger.info("daemons in view: {}", " ".join(names))
