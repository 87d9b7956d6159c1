import asyncio
import itertools

from kingcuphead.entry.tests._busy_daemon import REQUEST_SECONDS, BusyDaemon

#: Seconds within which a version is in force at every daemon.
APPLY_SECONDS = 2.0
#: Seconds after which the platform counts a readiness check as missed.
CHECK_SECONDS = 1.0
#: Share of the requests that get an answer before their callers leave.
ANSWERED_SHARE = 0.9
#: Share of what the daemon can serve that it serves beside refusals.
SERVED_SHARE = 1 / 3


class TestDaemonBeyondItsCapacity:
    def test_a_version_is_in_force_in_time(self):
        """Guards against polls of the store that wait behind callers' requests."""

        async def scenario(daemon):
            await asyncio.sleep(2.0)
            for version in itertools.count(2):
                written_at = await daemon.write_version(version)
                assert await daemon.wait_for_version(version, APPLY_SECONDS)
                assert daemon.applied_at[version] - written_at <= APPLY_SECONDS
                if version == 4:
                    return

        BusyDaemon().play(scenario)

    def test_callers_that_cannot_be_served_are_refused_at_once(self):
        """Guards against requests that are read too late, so that callers leave."""

        async def scenario(daemon):
            await asyncio.sleep(4.0)

        daemon = BusyDaemon()
        daemon.play(scenario)
        assert set(daemon.answers) == {503}
        assert len(daemon.answers[503]) >= ANSWERED_SHARE * daemon.requests

    def test_as_many_are_served_as_the_daemon_can(self):
        """Guards against an overload in which all callers are refused."""

        async def scenario(daemon):
            await asyncio.sleep(4.0)

        daemon = BusyDaemon()
        daemon.play(scenario)
        assert daemon.served >= SERVED_SHARE * 4.0 / REQUEST_SECONDS

    def test_readiness_checks_are_answered_in_time(self):
        """Guards against a busy daemon that the platform takes for a lost one."""

        async def scenario(daemon):
            await asyncio.sleep(2.0)
            for _ in range(3):
                assert await daemon.check_readiness() <= CHECK_SECONDS

        BusyDaemon().play(scenario)
