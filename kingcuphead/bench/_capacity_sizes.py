"""The sizes for which docs/CAPACITY.md reckons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """One deployment."""

    #: Name in the page.
    name: str
    #: Entry daemons.
    daemons: int
    #: Targets.
    targets: int
    #: Budgets.
    budgets: int
    #: Organisations.
    organisations: int
    #: Requests a second of the fleet at the peak.
    requests: float
    #: Generated tokens a second of the fleet at the peak.
    tokens: float
    #: Configuration changes a day.
    changes: float
    #: Seconds between two flushes of a shard.
    flush_interval: float


#: Atlas Bois Habitat and Skupna Pot today; the load is assumed, not given.
TODAY_ATLAS = FleetSize("Atlas Bois Habitat", 7, 9, 10, 10, 20, 2_000, 50, 0.1)
TODAY_SKUPNA = FleetSize("Skupna Pot", 7, 12, 10, 10, 30, 3_000, 50, 0.1)
#: The size asked for within two years.
DESIGNED = FleetSize(
    "in two years", 330, 710, 18_000, 1_400, 8_400, 3_100_000, 3_800, 4.0
)
SIZES = (TODAY_ATLAS, TODAY_SKUPNA, DESIGNED)

#: Bounds on control for each daemon.
CONTROL_PROCESSOR = 0.022
CONTROL_MEMORY_MB = 128.0
CONTROL_BYTES = 20_000.0
#: Bounds on the platform's table for the whole fleet.
TABLE_WRITES = 300.0
TABLE_READS = 1_500.0
#: Seconds between two heartbeats of a daemon.
HEARTBEAT_INTERVAL = 1.0
#: Ticks a second of the daemon's machines.
TICKS_PER_SECOND = 20.0
#: Seconds between two reads of the head row.
HEAD_INTERVAL = 1.0
#: Seconds between two reads of the instance list.
LIST_INTERVAL = 1.0
#: Load reports that a daemon asks for in one second at most.
LOAD_POLLS = 8.0
#: Seconds between two scrapes of the metrics.
SCRAPE_INTERVAL = 30.0
#: Organisations with metrics series of their own.
SERIES_ORGANISATIONS = 50
#: Bytes of a ledger message in its envelope.
LEDGER_MESSAGE_BYTES = 150.0
