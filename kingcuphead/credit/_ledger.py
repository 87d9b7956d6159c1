"""The credit of all organisations in one daemon."""

from collections.abc import Callable, Iterable, Iterator

from kingcuphead.credit._contact import StoreContact
from kingcuphead.credit._messages import CreditSettings, CreditState, Hold
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._stamp import ReserveStamp
from kingcuphead.invariants import ensure
from kingcuphead.routing import Organisation

#: Seconds for which a request may have to wait at its first event until the release of
#: reserves covers it, while the store doesn't answer.
MAX_RELEASE_WAIT = 1.0


class CreditLedger:
    """Holds, settlements and transfers of one daemon incarnation; performs no I/O.

    The rows of each organisation are in a part of the store's table of their own, and
    its ledger commits transactions independently of the others.

    Parameters
    ----------
    instance
        Identity of the daemon, of which one incarnation runs at a time.
    incarnation
        Identity of this incarnation, never used again.
    settings
        How much credit the daemon keeps.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        settings: CreditSettings = CreditSettings(),  # noqa: B008
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._settings = settings
        self._ledgers: dict[str, OrganisationLedger] = {}
        #: Number of daemons in the fleet; includes this one.
        self.daemons = 1
        self._contact = StoreContact()
        #: Keeps the reserves of all organisations reclaimable.
        self.stamp = ReserveStamp(instance, incarnation, self._contact)
        #: Called with an organisation of which another daemon needs the reserve.
        self.report_reserve_requested: Callable[[str], None] | None = None

    @property
    def is_empty(self) -> bool:
        """Whether all credit is returned and settled, with no transaction in doubt."""
        return all(ledger.is_empty for ledger in self._ledgers.values())

    @property
    def has_unrecorded_release(self) -> bool:
        """Whether a holder row contains tokens that left their reserve since."""
        return any(each.has_unrecorded_release for each in self._ledgers.values())

    def list_unrecorded_releases(self) -> Iterator[str]:
        """Yield the organisations whose holder rows contain released tokens."""
        for name, ledger in self._ledgers.items():
            if ledger.has_unrecorded_release:
                yield name

    def list_organisations(self) -> Iterator[str]:
        """Yield the names of the organisations that have a ledger."""
        yield from tuple(self._ledgers)

    def get_organisation(self, name: str) -> OrganisationLedger:
        """Return the ledger of one organisation, which is created if needed."""
        ledger = self._ledgers.get(name)
        if ledger is None:
            ledger = OrganisationLedger(
                self._instance,
                self._incarnation,
                self._settings,
                self._contact,
                self.stamp,
            )
            ledger.account.daemons = self.daemons
            self._ledgers[name] = ledger
        return ledger

    def apply_limits(self, organisations: Iterable[Organisation], version: int) -> None:
        """Apply the prepaid tokens of a configuration version, unless it is older."""
        for organisation in organisations:
            if organisation.prepaid_tokens is not None:
                ledger = self.get_organisation(organisation.name)
                ledger.apply_limit(organisation.prepaid_tokens, version)

    def apply_fleet_size(self, daemons: int) -> None:
        """Apply the number of daemons in the fleet; it includes this one."""
        self.daemons = daemons
        for ledger in self._ledgers.values():
            ledger.account.daemons = daemons

    def record_demand(self, organisation: str, tokens: int, now: float) -> None:
        """Record the demand of a new request, from which desired credit is derived."""
        self.get_organisation(organisation).account.record_demand(tokens, now)

    def retract_demand(
        self, organisation: str, tokens: int, requested_at: float, now: float
    ) -> None:
        """Subtract the demand of a refused request, which the caller may retry."""
        account = self.get_organisation(organisation).account
        account.correct_demand(tokens, requested_at, now)

    def hold(self, organisation: str, tokens: int, now: float) -> Hold | None:
        """Hold a request's maximum cost, or return None if too little is free."""
        ledger = self.get_organisation(organisation)
        ledger.account.release_reserve(tokens, ledger.get_released_share(now))
        if ledger.account.hold(tokens):
            return Hold(organisation, tokens, now)
        return None

    def pledge(self, organisation: str, tokens: int, now: float) -> Hold | None:
        """Hold a request's maximum cost by credit that it needs only later.

        A small one is held by free credit, a larger one stays in the outage reserve
        until `activate`. While the store doesn't answer, free credit is used for both,
        and only what the release of reserves covers soon is pledged.

        Returns
        -------
        Hold or None
            The hold; None if there is too little credit.
        """
        ledger = self.get_organisation(organisation)
        account = ledger.account
        is_silent = self.is_store_silent(now)
        if is_silent or tokens <= account.compute_desired_free(now):
            hold = self.hold(organisation, tokens, now)
            if hold is not None:
                return hold
        if is_silent and ledger.get_release_wait(tokens, now) > MAX_RELEASE_WAIT:
            return None
        if not account.pledge(tokens):
            return None
        return Hold(organisation, tokens, now, pledged=tokens)

    def activate(self, hold: Hold, now: float) -> bool:
        """Make a hold spendable; return False while a transaction has to precede."""
        if not hold.pledged:
            return True
        ledger = self.get_organisation(hold.organisation)
        account = ledger.account
        if not hold.is_activating:
            hold.is_activating = True
            account.activating += hold.pledged
        account.release_pledged(ledger.get_released_share(now))
        if not account.activate(hold.pledged):
            return False
        account.activating -= hold.pledged
        hold.pledged = 0
        return True

    def add_waiting(
        self, organisation: str, tokens: int, may_pledge: bool = False
    ) -> None:
        """Add a waiting request's tokens to what the next transaction allocates."""
        account = self.get_organisation(organisation).account
        account.waiting_tokens += tokens
        account.waiting_pledges += tokens if may_pledge else 0

    def remove_waiting(
        self, organisation: str, tokens: int, may_pledge: bool = False
    ) -> None:
        """Remove the tokens of a request that no longer waits."""
        account = self.get_organisation(organisation).account
        account.waiting_tokens -= tokens
        account.waiting_pledges -= tokens if may_pledge else 0

    def settle(self, hold: Hold, spent: int, now: float) -> None:
        """End a hold with the tokens that the request spent."""
        ensure(not hold.is_settled, "a hold must not be settled twice")
        active = hold.tokens - hold.pledged
        ensure(0 <= spent <= active, "spent tokens must not exceed the active hold")
        hold.is_settled = True
        account = self.get_organisation(hold.organisation).account
        if hold.is_activating:
            account.activating -= hold.pledged
        account.unpledge(hold.pledged)
        account.settle(active, spent)
        account.correct_demand(hold.tokens - spent, hold.held_at, now)

    def get_free_tokens(self, organisation: str) -> int:
        """Return the free tokens of an organisation."""
        return self.get_organisation(organisation).account.free

    def count_available(self, organisation: str, may_pledge: bool, now: float) -> int:
        """Return the tokens of this daemon that a new request may hold at once."""
        account = self.get_organisation(organisation).account
        if may_pledge and not self.is_store_silent(now):
            return account.pledgeable
        return account.free - account.claimed_free

    def transfer_out(self, organisation: str, tokens: int, now: float) -> int:
        """Deduct at most `tokens` for another daemon and return the amount deducted."""
        ledger = self.get_organisation(organisation)
        account = ledger.account
        needed = tokens + account.waiting_tokens
        account.release_reserve(needed, ledger.get_released_share(now))
        return account.transfer_out(tokens)

    def transfer_surplus(self, organisation: str, tokens: int, now: float) -> int:
        """Deduct at most `tokens` of what the demand here doesn't need."""
        account = self.get_organisation(organisation).account
        return account.transfer_out(min(tokens, account.count_surplus(now)))

    def count_transferable(self, organisation: str, now: float) -> int:
        """Return the tokens that could be transferred at once."""
        ledger = self.get_organisation(organisation)
        released = ledger.account.count_releasable(ledger.get_released_share(now))
        return ledger.account.count_transferable() + released

    def count_lacking(self, organisation: str, now: float) -> int:
        """Return what the free credit lacks for the demand until the next transfer."""
        return self.get_organisation(organisation).account.count_lacking(now)

    def is_store_silent(self, now: float) -> bool:
        """Whether a call to the store has waited for its answer for long."""
        return self._contact.is_silent(now)

    def count_movable_reserve(self, organisation: str, now: float) -> int:
        """Return the tokens of the reserve that a transaction can make free.

        There are none while the store doesn't answer this daemon.
        """
        ledger = self.get_organisation(organisation)
        if not ledger.can_move_reserve(now):
            return 0
        return ledger.account.unpledged

    def request_reserve(self, organisation: str, tokens: int, now: float) -> None:
        """Move tokens from the reserve to the free credit by the next transaction."""
        if not self.count_movable_reserve(organisation, now):
            return
        self.get_organisation(organisation).account.request_reserve(tokens, now)
        if self.report_reserve_requested is not None:
            self.report_reserve_requested(organisation)

    def transfer_in(self, organisation: str, tokens: int) -> None:
        """Add tokens received from another daemon."""
        self.get_organisation(organisation).account.transfer_in(tokens)

    def describe(self, organisation: str, now: float) -> CreditState:
        """Return the state of an organisation's credit for a log line."""
        return self.get_organisation(organisation).account.describe(now)

    def close(self) -> None:
        """Return all free credit and reserves from the next transactions on."""
        for ledger in self._ledgers.values():
            ledger.close()
