from loguru import logger

from kingcuphead.capacity import LinkTraffic
from kingcuphead.capacity._link_log import LinkLog


class TestLinkLog:
    def test_a_full_link_shows_what_fills_it(self):
        """Guards against a full link whose traffic no log tells apart."""
        traffic = LinkTraffic()
        log = LinkLog(traffic, 0.0)
        lines = []
        sink = logger.add(lambda line: lines.append(line.record["extra"]))
        try:
            for second in range(1, 9):
                traffic.store.record_received(25_000)
                traffic.callers.record_sent(600_000)
                log.step(second > 2, float(second))
        finally:
            logger.remove(sink)
        assert len(lines) == 2
        rates = lines[0]["traffic"].split()
        assert "store_received=25000" in rates
        assert "callers_sent=600000" in rates
        assert "targets_sent=0" in rates
