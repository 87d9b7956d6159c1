"""Measures one cost of an entry daemon; run by `entry_cost` in each of two checkouts.

It uses only what both versions have, and prints seconds of processor time.
"""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from loguru import logger

from kingcuphead.datagrams import decode_datagram, encode_datagram
from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry._peers import POLL_INTERVAL
from kingcuphead.entry._table_listeners import ConfigurationListener
from kingcuphead.entry.tests import _fleet
from kingcuphead.entry.tests._fleet import (
    CALLER_PORT,
    NETWORK,
    Fleet,
    make_profile,
)
from kingcuphead.entry.tests._target import CrashingTarget
from kingcuphead.loads import LoadsReported, TargetLoad
from kingcuphead.logs import BoundedStream, _setup, set_up_logs
from kingcuphead.platform.tests._documents import encode_entry
from kingcuphead.storage import Row

# Test helpers have no type annotations.
make_fleet: Any = Fleet
make_target: Any = CrashingTarget
make_daemon_profile: Any = make_profile
encode_target: Any = encode_entry
# The two versions export it from different packages.
make_log_settings: Any = vars(_setup)["LogSettings"]

#: Seconds for which the daemons of the fleet idle before and during the measurement.
SETTLING_SECONDS, IDLE_SECONDS = 2.0, 10.0
#: Reports encoded or decoded in one measurement.
REPORTS = 2_000
REPORT = LoadsReported(
    "d17@10.0.0.17/abcdefabcdef",
    7_123,
    tuple(TargetLoad(f"engine-{n}@12{n}", n % 5 + 1, 1_200 * n) for n in range(12)),
)
#: Script that plays the callers and the targets of a daemon.
LOAD = Path(__file__).with_name("_entry_cost_load.py")
#: Requests before and during the measurement of a daemon under load.
WARMING_REQUESTS, REQUESTS = 200, 800
#: Events of a short stream, by which a request is measured, and of a long one.
SHORT_STREAM, LONG_STREAM = 1, 41


async def measure_idle_second() -> float:
    """Return the processor time of a second of one of three daemons without requests.

    A third of their store and target is included. Daemons poll the list of their peers
    at the interval of production, which is longer than that of tests.
    """
    _fleet.PEER_POLL_INTERVAL = POLL_INTERVAL
    async with make_fleet(lambda register: [make_target("t1", "v1", register)]):
        await asyncio.sleep(SETTLING_SECONDS)
        started_at = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        spent = time.process_time() - started_at
    return spent / IDLE_SECONDS / Fleet.SIZE


async def measure_request() -> float:
    """Return the processor time of a request for a stream of one event.

    It includes the idle time of the daemon and its store meanwhile.
    """
    return await _measure_requests(SHORT_STREAM)


async def measure_event() -> float:
    """Return the processor time of one more event of a stream."""
    short = await _measure_requests(SHORT_STREAM)
    long = await _measure_requests(LONG_STREAM)
    return (long - short) / (LONG_STREAM - SHORT_STREAM)


async def _measure_requests(events: int) -> float:
    async with run_loaded_daemon(events) as send:
        await send(WARMING_REQUESTS)
        started_at = time.process_time()
        await send(REQUESTS)
        return (time.process_time() - started_at) / REQUESTS


@contextlib.asynccontextmanager
async def run_loaded_daemon(
    events: int,
) -> AsyncIterator[Callable[[int], Awaitable[None]]]:
    """Run a daemon; yield a function that has callers send it requests.

    Parameters
    ----------
    events
        Number of events of each answer.
    """
    descriptor = os.open(os.devnull, os.O_WRONLY)
    set_up_logs(make_log_settings(), "d1", BoundedStream(descriptor, 10**9))
    load = await asyncio.create_subprocess_exec(
        *(sys.executable, str(LOAD), f"{NETWORK}.1:{CALLER_PORT}", str(events)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(LOAD.parents[2])},
    )
    assert load.stdin is not None
    assert load.stdout is not None
    stdin, stdout = load.stdin, load.stdout

    async def send(count: int) -> None:
        stdin.write(b"%d\n" % count)
        if not await stdout.readline():
            raise RuntimeError("the callers have failed")

    fleet = make_fleet(lambda register: [], "streaming")
    for number, port in enumerate(json.loads(await stdout.readline())):
        entry = encode_target(f"127.0.0.1:{port}", "v1")
        fleet.store.put("servers", "", f"t{number}", entry)
    fleet.start_daemons = _do_nothing
    async with fleet:
        fleet._start_daemon(1)
        await asyncio.sleep(SETTLING_SECONDS)
        yield send
        stdin.close()
        await load.wait()
    os.close(descriptor)


async def _do_nothing() -> None:
    pass


async def measure_encoding() -> float:
    """Return the processor time of encoding a load report."""
    return _measure(REPORTS, lambda number: encode_datagram(REPORT))


async def measure_decoding() -> float:
    """Return the processor time of decoding a load report."""
    datagram = encode_datagram(REPORT)
    return _measure(REPORTS, lambda number: decode_datagram(datagram))


async def measure_configuration(path: str) -> float:
    """Return the processor time of applying one of the versions in a file's lines.

    The time of the first version isn't included.
    """
    daemon = EntryDaemon(make_daemon_profile(1, 1), "")
    listener = ConfigurationListener(daemon._apply_configuration)
    first, *rows = (
        Row("config", number, content)
        for number, content in enumerate(Path(path).read_bytes().splitlines())
    )
    listener.apply_snapshot([first])
    return _measure(len(rows), lambda number: listener.apply_snapshot([rows[number]]))


def _measure(count: int, run: Callable[[int], object]) -> float:
    started_at = time.process_time()
    for number in range(count):
        run(number)
    return (time.process_time() - started_at) / count


#: Functions that measure a cost, by its name on the command line.
MEASUREMENTS: dict[str, Callable[..., Coroutine[Any, Any, float]]] = {
    "idle_second": measure_idle_second,
    "request": measure_request,
    "event": measure_event,
    "encoding": measure_encoding,
    "decoding": measure_decoding,
    "configuration": measure_configuration,
}


def main(cost: str, *arguments: str) -> None:
    """Measure the cost of this name and print it."""
    logger.remove()
    print(asyncio.run(MEASUREMENTS[cost](*arguments)))


if __name__ == "__main__":
    main(*sys.argv[1:])
