import asyncio
import math
import traceback

import pytest
from loguru import logger
from thrift.Thrift import TType

from kingcuphead.entry.tests._fleet import INTERNAL_PORT, NETWORK, Fleet
from kingcuphead.entry.tests._target import CrashingTarget
from kingcuphead.wire.tests import _samples
from kingcuphead.wire.tests._compact import write_struct
from kingcuphead.wire.tests.test_other_versions import list_fields

#: Values of each type that no daemon of this version sends.
STRANGE = {
    TType.I32: (-1, 0, 2**31 - 1, -(2**31)),
    TType.I64: (-1, 0, 2**63 - 1, -(2**63)),
    TType.DOUBLE: (-1.0, 0.0, math.inf, -math.inf, math.nan, 1e308),
    TType.STRING: ("", "\0", "x" * 5_000, "@", "/", "+"),
    TType.BOOL: (True, False),
    TType.LIST: (),
    TType.STRUCT: (),
}
#: Names of a target of the fleet in place of those of the samples.
NAMES = {_samples.TARGET: "t0-1@1", "t1": "t0-1", "t2": "t1-1"}
#: Seconds in which periodic tasks use what the messages said.
SETTLING_SECONDS = 2.5


def rename_targets(value, names):
    """Return a value with the names of targets that the daemon knows."""
    match value:
        case dict():
            return {
                number: rename_targets(each, names) for number, each in value.items()
            }
        case tuple():
            return tuple(rename_targets(each, names) for each in value)
        case list():
            return [rename_targets(each, names) for each in value]
        case str():
            return names.get(value, value)
    return value


def list_datagrams(names):
    for message in _samples.DATAGRAMS.values():
        for changed, _, struct, number in list_fields(message):
            kind = struct[number][0]
            for value in STRANGE[kind]:
                struct[number] = (kind, value)
                yield write_struct(rename_targets(changed, names))


def daemon_targets(fleet):
    daemon, _ = fleet.daemons[1]
    return daemon._directory.list_all()


class TestStrangeDatagrams:
    """Guards against values of another version that end a daemon or its tasks."""

    @pytest.mark.parametrize("names", [{}, NAMES], ids=["unknown", "known"])
    def test_a_daemon_serves_after_all_of_them(self, names):
        errors: list[str] = []

        async def main():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                lambda _, context: errors.append(
                    "".join(traceback.format_exception(context.get("exception")))
                )
            )
            async with asyncio.timeout(25), Fleet(make_targets) as fleet:
                transport, _ = await loop.create_datagram_endpoint(
                    asyncio.DatagramProtocol, local_addr=(f"{NETWORK}.9", 0)
                )
                for datagram in list_datagrams(names):
                    transport.sendto(datagram, (f"{NETWORK}.1", INTERNAL_PORT))
                    await asyncio.sleep(0)
                await asyncio.sleep(SETTLING_SECONDS)
                transport.close()
                known = [each.name for each in daemon_targets(fleet)]
                assert "t0-1" in known
                for daemon, task in fleet.daemons.values():
                    assert daemon._failure is None
                    assert not task.done()
                statuses = [await fleet.send(1, b"%d" % n) for n in range(20)]
                assert statuses.count(200) >= 15

        sink = logger.add(
            lambda line: errors.append(str(line)), format="{message}", level="ERROR"
        )
        try:
            asyncio.run(main())
        finally:
            logger.remove(sink)
        # The daemons of these tests have no file with settings.
        assert [each for each in errors if "invalid settings" not in each] == []


def make_targets(register):
    return [CrashingTarget(f"t{number}", "v1", register) for number in range(3)]
