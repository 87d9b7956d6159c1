"""Fleet sizes and bounds for the predictions of docs/CAPACITY.md."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Size and peak load of a deployment."""

    #: Column heading in the page.
    name: str
    #: Number of entry daemons.
    daemons: int
    #: Number of targets.
    targets: int
    #: Number of budgets.
    budgets: int
    #: Number of organisations.
    organisations: int
    #: Requests per second of the fleet at the peak.
    requests: float
    #: Generated tokens per second of the fleet at the peak.
    tokens: float
    #: Configuration changes per day.
    changes: float
    #: Seconds between two flushes of a shard.
    flush_interval: float


#: Current deployments of Atlas Bois Habitat and Skupna Pot, with an assumed load.
TODAY_ATLAS = FleetSize("Atlas Bois Habitat", 7, 9, 10, 10, 20, 2_000, 50, 0.1)
TODAY_SKUPNA = FleetSize("Skupna Pot", 7, 12, 10, 10, 30, 3_000, 50, 0.1)
#: Design size, required within two years.
DESIGNED = FleetSize(
    "in two years", 330, 710, 18_000, 1_400, 8_400, 3_100_000, 3_800, 4.0
)
SIZES = (TODAY_ATLAS, TODAY_SKUPNA, DESIGNED)

#: Bounds on the work of a daemon besides requests: processor cores, memory in MB,
#: and bytes per second.
CONTROL_CPU_CORES = 0.022
CONTROL_MEMORY_MB = 128.0
CONTROL_BYTES_PER_SECOND = 20_000.0
#: Bounds on the commits and reads of the platform's table per second, whole fleet.
TABLE_WRITES_PER_SECOND = 300.0
TABLE_READS_PER_SECOND = 1_500.0
#: Seconds between two heartbeats of a daemon.
HEARTBEAT_SECONDS = 1.0
#: Ticks of the scheduler per second.
TICKS_PER_SECOND = 5.0
#: Seconds between two reads of the head row.
HEAD_POLL_SECONDS = 1.0
#: Seconds between two reads of the instance list.
INSTANCE_LIST_POLL_SECONDS = 1.0
#: Maximum number of load reports that a daemon requests per second.
MAX_LOAD_POLLS_PER_SECOND = 8.0
#: Seconds between two scrapes of the metrics.
SCRAPE_SECONDS = 30.0
#: Number of organisations that have their own metrics series.
SERIES_ORGANISATIONS = 50
#: Size of a ledger message with its envelope, in bytes.
LEDGER_MESSAGE_BYTES = 150.0
