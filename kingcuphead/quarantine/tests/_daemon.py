"""One daemon's exchange without sockets, for tests."""

from kingcuphead.quarantine import (
    QuarantineExchange,
    QuarantineMessage,
    QuarantineSettings,
    RequestIdentity,
)

REQUEST = RequestIdentity("f")
SETTINGS = QuarantineSettings(min_crashed_targets=3, crash_retention=7_200.0)


class Clock:
    def __init__(self):
        self.now = 1_000.0


def ignore(message):
    """Drop a reply."""


class Daemon:
    """One exchange whose messages are recorded."""

    def __init__(self, clock, table, identity="d1/1"):
        self.sent: list[QuarantineMessage] = []
        self.is_new = True
        self.exchange = QuarantineExchange(
            identity,
            SETTINGS,
            table,
            self.sent.append,
            self.sent.append,
            lambda: clock.now,
        )

    def crash(self, target, fingerprint="f", parts=()):
        request = RequestIdentity(fingerprint, parts)
        self.exchange.record_crash(request, target, running_seconds=0.0)

    def handle(self, message):
        self.exchange.handle_message(message, ignore)

    @property
    def is_quarantined(self):
        return self.exchange.get_remaining(REQUEST) > 0
