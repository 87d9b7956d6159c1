"""Follows the configuration in a thread, in which new versions take effect."""

from collections.abc import Callable, Iterable

from kingcuphead.entry._poll_pacing import PollPacing
from kingcuphead.entry._store_watches import CONFIGURATION_POLICY
from kingcuphead.entry._table_listeners import ConfigurationListener
from kingcuphead.entry._table_watch import (
    ListenerGroup,
    Position,
    TableListener,
    TableWatch,
)
from kingcuphead.entry._threaded_watch import Post, ThreadedWatch
from kingcuphead.entry._view_age import ViewAge
from kingcuphead.platform import CONFIGURATION_TABLE, Change, Store
from kingcuphead.routing import RoutingTable
from kingcuphead.storage import Row


class PostedListener:
    """Passes the contents of a table to a listener on the daemon's event loop.

    Parameters
    ----------
    post
        Calls functions there.
    listener
        The listener.
    """

    def __init__(self, post: Post, listener: TableListener) -> None:
        self._post = post
        self._listener = listener

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Apply the complete contents of the table."""
        self._post(self._listener.apply_snapshot, tuple(rows))

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in the order in which they were committed."""
        self._post(self._listener.apply_changes, tuple(changes))


class ConfigurationWatch(ThreadedWatch):
    """Follows the configuration's table.

    Parameters
    ----------
    address
        Address of the store.
    evacuations
        Receives the rows on the daemon's event loop.
    apply_routes
        Called in the thread with the routes and keys of each version, which take effect
        for requests that the daemon reads from then on.
    apply
        Called with each version on the daemon's event loop, later.
    report_failure
        Called there after each failed call to the store, with the call's start time.
    pacing
        Delays polls after changes.
    view_age
        Records when the version in force was confirmed.
    """

    def __init__(
        self,
        address: str,
        evacuations: TableListener,
        apply_routes: Callable[[RoutingTable], None],
        apply: Callable[[RoutingTable], None],
        report_failure: Callable[[float], None],
        pacing: PollPacing,
        view_age: ViewAge,
    ) -> None:
        super().__init__(self._make_watch)
        self._address = address
        self._evacuations = evacuations
        self._apply_routes = apply_routes
        self._apply = apply
        self._report_failure = report_failure
        self._pacing = pacing
        self._view_age = view_age
        self._store: Store | None = None

    def change_address(self, address: str) -> None:
        """Send further calls to another address."""
        self._address = address
        self.call(self._change_address)

    def _change_address(self) -> None:
        if self._store is not None:
            self._store.change_address(self._address)

    def _make_watch(
        self, post: Post, report_read: Callable[[Position], None]
    ) -> TableWatch:
        """Return the watch; called in the thread."""

        def apply(table: RoutingTable) -> None:
            self._apply_routes(table)
            post(self._apply, table)

        versions = ConfigurationListener(
            lambda configuration: apply(RoutingTable(configuration))
        )
        self._store = Store(self._address)
        return TableWatch(
            self._store,
            CONFIGURATION_TABLE,
            # Evacuations are applied first, because the configuration makes the daemon
            # ready for callers.
            ListenerGroup((PostedListener(post, self._evacuations), versions)),
            lambda started_at: post(self._report_failure, started_at),
            self._pacing,
            CONFIGURATION_POLICY,
            self._view_age.confirm,
            report_read,
        )
