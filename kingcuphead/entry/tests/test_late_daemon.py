import asyncio
import time

import pytest

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry.tests._fleet import make_profile

TARGETS = "10.0.0.1:80", "10.0.0.2:80"
#: Seconds between two samples of the load, and for which they are taken.
SAMPLE_SECONDS, SAMPLES = 0.2, 10


def make_daemon():
    return EntryDaemon(make_profile(1, 3), "")


class TestLateDaemon:
    @pytest.mark.parametrize(("lag", "is_in_doubt"), [(0.06, False), (0.0, True)])
    def test_its_failed_connections_put_no_path_in_doubt(self, lag, is_in_doubt):
        """Guards against tunnels opened because the daemon's own loop is late."""

        async def main():
            links = make_daemon()._links
            links.capacity.apply_limits(1_000.0, True)
            now = asyncio.get_running_loop().time()
            for number in range(SAMPLES):
                links.capacity.tick(now + number * SAMPLE_SECONDS, lag, 0.0)
            for target in TARGETS:
                links.path_monitor.record_failure(target, now)
            assert links.path_monitor.is_in_doubt is is_in_doubt

        asyncio.run(main())

    def test_its_refusals_are_final_only_with_a_current_view(self):
        """Guards against a view whose age no request asks for."""

        async def main():
            daemon = make_daemon()
            is_current = daemon._forwarder._dependencies.is_configuration_current
            assert not is_current()
            daemon._view_age.confirm(time.monotonic())
            assert is_current()

        asyncio.run(main())
