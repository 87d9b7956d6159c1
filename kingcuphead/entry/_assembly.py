"""Components of an entry daemon that depend on the settings of the platform."""

import random

from kingcuphead.admission import AdmissionGate, QueueBounds, bound_memory
from kingcuphead.dispatch import Dispatcher, DispatchSettings, RetryAllowance
from kingcuphead.entry._metrics import DaemonMetrics
from kingcuphead.forwarding import RequestMemory, get_account_limit
from kingcuphead.loads import PeerLoads
from kingcuphead.platform import Profile


def make_dispatcher(
    profile: Profile, peer_loads: PeerLoads, rng: random.Random
) -> Dispatcher:
    """Return the dispatcher, which chooses targets.

    Parameters
    ----------
    profile
        Settings of the process.
    peer_loads
        Loads that other daemons report.
    rng
        Chooses among targets that are equally suitable.
    """
    settings = DispatchSettings(
        profile.zone,
        spreads_load=profile.has_scarce_capacity,
        has_contended_engines=profile.is_constrained,
        bounds_engine_memory=profile.engines_crash_when_full,
    )
    return Dispatcher(settings, peer_loads, rng)


def make_admission(profile: Profile, dispatcher: Dispatcher) -> AdmissionGate | None:
    """Return the gate that holds requests back; None if none have to wait.

    Parameters
    ----------
    profile
        Settings of the process.
    dispatcher
        Knows whether targets have room.
    """
    if not profile.has_scarce_capacity:
        return None
    bounds = QueueBounds(body_bytes=bound_memory(profile.limits.memory_bytes))
    return AdmissionGate(dispatcher, bounds)


def make_request_memory(profile: Profile, metrics: DaemonMetrics) -> RequestMemory:
    """Return the account of the bytes held for requests.

    Parameters
    ----------
    profile
        Settings of the process.
    metrics
        Exposes the bytes, and counts the requests that are ended.
    """
    if not profile.is_constrained:
        return RequestMemory()
    account = RequestMemory(
        get_account_limit(profile.limits.memory_bytes),
        covers_requests=True,
        report_end=metrics.record_memory_end,
    )
    metrics.watch_memory(lambda: account.used)
    return account


def make_retries(profile: Profile) -> RetryAllowance:
    """Return the daemon's part of the retry budget of the settings."""
    retries = profile.retries
    return RetryAllowance(retries.ratio, retries.burst, retries.window)
