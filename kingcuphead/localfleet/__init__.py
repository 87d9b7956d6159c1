"""Fleet of local processes for the demo, behave scenarios and benchmarks.

All processes listen on the loopback address. This is development code; the product
itself starts no process.
"""

from kingcuphead.localfleet._audit import Evidence, Exchange, Finding, audit
from kingcuphead.localfleet._audit_records import (
    BudgetSnapshot,
    Dispatch,
    Execution,
    read_budgets,
    read_dispatches,
    read_executions,
)
from kingcuphead.localfleet._callers import (
    ChatCall,
    ChatResult,
    place_order,
    send_chat,
)
from kingcuphead.localfleet._client import LocalClient, Reply
from kingcuphead.localfleet._command_line import (
    CommandError,
    CommandResult,
    check_settings,
    require_command,
    run_command,
)
from kingcuphead.localfleet._fleet import PLAIN_SERVICE, LocalFleet
from kingcuphead.localfleet._plan import (
    LOOPBACK,
    OPERATOR_TOKEN,
    DaemonPlan,
    EnginePlan,
    FleetPlan,
    ServicePlan,
    make_plan,
)
from kingcuphead.localfleet._process import LocalProcess, ProcessError
from kingcuphead.localfleet._records import LocalOrganisation, list_records
from kingcuphead.localfleet._seed import SeedError, create_budget, seed_fleet

__all__ = [
    "LOOPBACK",
    "OPERATOR_TOKEN",
    "PLAIN_SERVICE",
    "BudgetSnapshot",
    "CommandError",
    "CommandResult",
    "ChatCall",
    "ChatResult",
    "Dispatch",
    "Evidence",
    "Exchange",
    "Finding",
    "audit",
    "check_settings",
    "Execution",
    "place_order",
    "read_budgets",
    "read_dispatches",
    "read_executions",
    "send_chat",
    "DaemonPlan",
    "EnginePlan",
    "FleetPlan",
    "LocalClient",
    "LocalFleet",
    "LocalOrganisation",
    "LocalProcess",
    "ProcessError",
    "Reply",
    "SeedError",
    "ServicePlan",
    "create_budget",
    "list_records",
    "make_plan",
    "require_command",
    "run_command",
    "seed_fleet",
]
