"""One or more values of each message between daemons and each row of the store.

This module also runs with the code of earlier versions; see `_record.py`.
"""

import dataclasses
from typing import Any

import msgspec

from kingcuphead.capacity import CapacityReported
from kingcuphead.capacity._messages import Readiness
from kingcuphead.credit import CreditAsked, CreditHanded, HolderRow, ShardRow
from kingcuphead.credit._rows import make_holder_key, make_shard_key
from kingcuphead.credit._stamp import StampRow
from kingcuphead.datagrams import encode_datagram
from kingcuphead.entry._peers import DaemonRow
from kingcuphead.forwarding import TargetStated
from kingcuphead.loads import LoadsReported, PlacementAnnounced, TargetLoad
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.permits import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    ProbeAnswered,
    RoomReported,
    TargetTerms,
    TermsReported,
)
from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    FingerprintQuarantined,
    QuarantineReported,
    RequestIdentity,
)
from kingcuphead.quarantine._messages import SavedCrash, SavedQuarantine
from kingcuphead.quarantine._rows import (
    encode_crash,
    encode_quarantine,
    make_crash_key,
)
from kingcuphead.resumption import BegunStream, StreamAsked, StreamsBegan
from kingcuphead.resumption._messages import ServedVersion
from kingcuphead.resumption._rows import encode_row
from kingcuphead.storage import Put
from kingcuphead.targets import ZonesAsked, ZonesReported

#: Time of the store in milliseconds at which the rows are written and read.
STORE_TIME = 5_000_000
#: An incarnation of a daemon.
INSTANCE, INCARNATION = "d1@10.0.0.1", "0a1b2c3d4e5f"
SENDER = f"{INSTANCE}/{INCARNATION}"
TARGET = "t1@1700000000000"

#: Values of each message that is sent as a datagram. Each field of each message has a
#: value other than its default in one of them.
DATAGRAMS: dict[str, Any] = {
    "loads": LoadsReported(SENDER, 7, (TargetLoad("t1", 3, 900, 1_200),), True),
    "loads without any": LoadsReported(SENDER, 8, ()),
    "two loads": LoadsReported(
        SENDER, 9, (TargetLoad("t1", 1, 0), TargetLoad("t2", 40, 2_000_000))
    ),
    "placement": PlacementAnnounced(SENDER, TargetLoad("t1", 1, 90_000, 95_000)),
    "credit asked": CreditAsked(SENDER, 3, "atelier", 12_000, 9_000),
    "credit asked without extra": CreditAsked(SENDER, 4, "atelier", 1),
    "credit handed": CreditHanded(SENDER, 3, 12_000, 700, 30_000),
    "credit not stated": CreditHanded(SENDER, 4, 0),
    "crash": CrashReported(TARGET, RequestIdentity("9f86d081", ("part:a0", "part:b"))),
    "crash without parts": CrashReported(TARGET, RequestIdentity("9f86d081")),
    "answers": AnswersReported("part:a0", SENDER, 2),
    "quarantine": QuarantineReported(
        (
            FingerprintQuarantined("9f86d081", 3599.5),
            FingerprintQuarantined("part:a0+part:b", 12.25),
        )
    ),
    "streams": StreamsBegan(
        (BegunStream("r1", "pool", "v1.1"), BegunStream("r2", "pool", "v1.2"))
    ),
    "stream asked": StreamAsked("r1"),
    "permit asked": PermitAsked(
        4, TARGET, TargetTerms(1.5, 3, 2.5), 8, 2, 70_000, 900_000, True
    ),
    "permit asked without terms": PermitAsked(5, TARGET, TargetTerms(), 8, 2),
    "room": RoomReported(5, TARGET, 1, True, 900),
    "room without memory": RoomReported(6, TARGET, 0, False),
    "permit": PermitAnswered(4, True, 0.0),
    "permit denied": PermitAnswered(5, False, 0.25, is_holder=False, is_full=True),
    "coordinator probed": CoordinatorProbed(),
    "probe answered": ProbeAnswered(True),
    "terms": TermsReported(TARGET, TargetTerms(1.5, 3, 2.5)),
    "target stated": TargetStated("t1", True, 2.5),
    "zones asked": ZonesAsked(),
    "zones": ZonesReported(1, 7, ("z-1", "z-2")),
    **{
        f"capacity, {each}": CapacityReported(SENDER, 12, "z-1", 0.75, each)
        for each in Readiness
    },
}

#: Values of each message that opens a tunnel.
TUNNEL_MESSAGES: dict[str, Any] = {
    "tunnel asked": TunnelAsked("10.0.0.9:80"),
    **{f"tunnel {each}": TunnelAnswered(each) for each in TunnelOutcome},
}

SHARD = ShardRow(900, 400, 7, 50_000, 2, 1_234, 4_000_000)
HOLDER = HolderRow(17, 3, 5_000, 4_000, 4_999_000, 600, True)
STAMP = StampRow(3, 4_999_500)
DAEMON = DaemonRow("10.0.0.1", 7_340)
QUARANTINED = SavedQuarantine("9f86d081", 3_599.5)
CRASH = SavedCrash(TARGET, RequestIdentity("9f86d081", ("part:a0", "part:b")), 2.5)
VERSION = ServedVersion("pool", "v1.1")


def make_tunnel_frame(message: Any) -> bytes:
    """Return what is written to the connection."""
    # Imported here, because nothing else needs the event loop.
    import asyncio

    from kingcuphead.paths._frames import write_message

    stream: Any = RecordingStream()
    asyncio.run(write_message(stream, message))
    return bytes(stream.content)


class RecordingStream:
    """Keeps what is written to it."""

    def __init__(self) -> None:
        self.content = b""

    async def write(self, data: bytes) -> None:
        self.content += data


def make_rows() -> dict[str, Put]:
    """Return the write of a row of each kind."""
    encode = msgspec.json.encode
    return {
        "shard": Put(make_shard_key(3, 7), encode(SHARD)),
        "shard without allocations": Put(make_shard_key(0, 23), encode(ShardRow())),
        "holder": Put(make_holder_key(INSTANCE, INCARNATION, 3), encode(HOLDER)),
        "stamp": Put(SENDER, encode(STAMP)),
        "daemon": Put("10.0.0.1", encode(DAEMON)),
        "quarantine": Put(
            QUARANTINED.fingerprint,
            encode_quarantine(QUARANTINED.remaining, STORE_TIME),
        ),
        "crash": Put(make_crash_key(CRASH), encode_crash(CRASH, STORE_TIME)),
        "version": encode_row(VERSION),
    }


def make_record() -> dict[str, Any]:
    """Return what this version writes, and the rules that daemons share."""
    rows = make_rows()
    return {
        "datagrams": {
            name: encode_datagram(message).hex() for name, message in DATAGRAMS.items()
        },
        "tunnel_messages": {
            name: make_tunnel_frame(message).hex()
            for name, message in TUNNEL_MESSAGES.items()
        },
        "rows": {name: [put.key, put.value.decode()] for name, put in rows.items()},
        "agreements": make_agreements(),
    }


def make_agreements() -> dict[str, Any]:
    """Return results that all daemons have to compute alike, without any message."""
    from tornado.httputil import HTTPHeaders

    from kingcuphead.credit import CreditSettings
    from kingcuphead.credit._budget import SHARD_COUNT, Limit
    from kingcuphead.dispatch._rankings import _score as score_target
    from kingcuphead.entry import _fleet_links
    from kingcuphead.entry._peers import DAEMONS_PART, DAEMONS_TABLE
    from kingcuphead.permits._ranking import CoordinatorRanking
    from kingcuphead.quarantine import name_parts
    from kingcuphead.quarantine._subjects import join_subjects, split_key

    ranking = CoordinatorRanking(("10.0.0.1", 7_340), lambda address: None)
    ranking.apply_peers([(f"10.0.0.{number}", 7_340) for number in range(2, 7)], 0.0)
    parts = name_parts(["a0", "a part with spaces", "x" * 25])
    settings = CreditSettings()
    return {
        "coordinators": [
            [host for host, _ in ranking.list_owners(target, 6)]
            for target in (TARGET, "t2@5")
        ],
        "preferred targets": [score_target("k", f"t{n}").hex() for n in range(3)],
        "parts": list(parts),
        "key of parts": join_subjects(parts),
        "subjects of a key": sorted(split_key("b+a")),
        "fingerprint": _fingerprint(HTTPHeaders()),
        "shares of a budget": [
            Limit(1_000_003, 1).get_share(index) for index in range(SHARD_COUNT)
        ],
        "release": [settings.get_released_share(age / 2) for age in range(25)],
        "restore": [settings.restore_delay, settings.restore_margin],
        "tables": [
            _fleet_links.CREDIT_TABLE,
            _fleet_links.STAMPS_TABLE,
            _fleet_links.STAMPS_PART,
            _fleet_links.QUARANTINE_TABLE,
            _fleet_links.QUARANTINE_PART,
            _fleet_links.VERSIONS_TABLE,
            _fleet_links.VERSIONS_PART,
            DAEMONS_TABLE,
            DAEMONS_PART,
        ],
    }


def _fingerprint(headers: Any) -> str:
    from kingcuphead.forwarding import CallerRequest
    from kingcuphead.forwarding._fingerprint import fingerprint_request

    known = {
        "method": "POST",
        "host": "h.example",
        "uri": "/v1/chat?x=1",
        "body": b"prompt",
        "headers": headers,
    }
    fields = dataclasses.fields(CallerRequest)
    required = [each for each in fields if each.default is dataclasses.MISSING]
    values = {each.name: known.get(each.name) for each in required}
    make_request: Any = CallerRequest
    return fingerprint_request(make_request(**values), "atelier")
