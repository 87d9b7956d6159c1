"""Task that owns the membership state machine."""

from collections.abc import Callable

from loguru import logger

from kingcuphead import membership
from kingcuphead.daemon._state_machine_task import StateMachineTask


class MembershipTask:
    """Runs the membership state machine, which detects failures and spreads notices.

    Parameters
    ----------
    state_machine
        State machine; only this task may call it.
    send
        Sends a message to a peer, given its address `IP:PORT`.
    notify
        Callback for changes of the membership view, notices and revisions of peers.
    """

    def __init__(
        self,
        state_machine: membership.Membership,
        send: Callable[
            [str, membership.Heartbeat | membership.HeartbeatAcknowledged], None
        ],
        notify: Callable[[membership.Effect], None],
    ) -> None:
        self._task: StateMachineTask[membership.Input, membership.Effect] = (
            StateMachineTask("membership", state_machine, self._execute)
        )
        self._send = send
        self._notify = notify
        self._logged_names: tuple[str, ...] = ()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await self._task.run()

    def post(self, message: membership.Input) -> None:
        """Queue a message for the state machine."""
        self._task.post(message)

    def _execute(self, effect: membership.Effect) -> None:
        match effect:
            case membership.SendToAddress(address, message):
                self._send(address, message)
            case membership.ViewChanged(members):
                self._log_view(tuple(member.name for member in members))
                self._notify(effect)
            case membership.NoticeReceived() | membership.PeerRevisionSeen():
                self._notify(effect)

    def _log_view(self, names: tuple[str, ...]) -> None:
        if names != self._logged_names:
            self._logged_names = names
            logger.info("daemons in the membership view: {}", " ".join(names))
