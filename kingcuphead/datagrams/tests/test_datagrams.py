import asyncio
import contextlib
import functools
import random
from collections import Counter
from unittest import mock

import pytest
from loguru import logger

from kingcuphead.capacity import CapacityReported
from kingcuphead.capacity._messages import Readiness
from kingcuphead.credit import CreditAsked, CreditHanded
from kingcuphead.datagrams import (
    Datagram,
    DatagramError,
    DatagramSocket,
    PeerSender,
    _socket,
    decode_datagram,
    encode_datagram,
)
from kingcuphead.datagrams._peers import MAX_RECEIVERS
from kingcuphead.forwarding import TargetStated
from kingcuphead.loads import LoadsReported, PlacementAnnounced, TargetLoad
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
from kingcuphead.resumption import BegunStream, StreamAsked, StreamsBegan
from kingcuphead.targets import ZonesAsked, ZonesReported

MESSAGES = (
    LoadsReported("a/1", 7, (TargetLoad("t1", 3, 900),)),
    LoadsReported("a/1", 7, (TargetLoad("t1", 3, 900, 1_200),)),
    PlacementAnnounced("a/1", TargetLoad("t1", 1, 900, 1_200)),
    LoadsReported("a/1", 8, ()),
    LoadsReported("a/1", 9, (), is_cut_off=True),
    TargetStated("t1", True, 2.5),
    TargetStated("t1", True, 2.5, 1_700_000_000_000),
    CreditAsked("a/1", 3, "atelier", 12_000),
    CreditAsked("a/1", 4, "atelier", 0, extra=9_000),
    CreditHanded("a/1", 3, 0),
    CreditHanded("a/1", 4, 0, free=700, reserve=30_000),
    CrashReported("t1@5", RequestIdentity("f", ("part:a0", "part:b1"))),
    AnswersReported("f", "a/1", 2),
    StreamsBegan((BegunStream("r1", "pool", "v1.1"),)),
    StreamAsked("r1"),
    PermitAsked(4, "t1@5", TargetTerms(1.5, 3), 8, 2),
    PermitAsked(5, "t1@5", TargetTerms().restrict(2.0), 8, 2, is_doubtful=True),
    RoomReported(5, "t1@5", 1, True),
    RoomReported(5, "t1@5", 1, True, memory_tokens=900),
    PermitAnswered(5, False, 0.1, is_full=True),
    PermitAnswered(4, False, 0.25),
    PermitAnswered(5, False, 0.25, is_holder=False),
    CoordinatorProbed(),
    ProbeAnswered(True),
    TermsReported("t1@5", TargetTerms()),
    ZonesAsked(),
    ZonesReported(1, 7, ("z-1", "z-2")),
    QuarantineReported((FingerprintQuarantined("f", 3599.5),)),
)


def record_message(received, message, sender):
    received.append(message)


class TestCodec:
    @pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
    def test_a_message_is_unchanged_after_encoding_and_decoding(self, message):
        assert decode_datagram(encode_datagram(message)) == message

    @pytest.mark.parametrize("datagram", [b"", b"\xff" * 40, b"\x00"])
    def test_malformed_bytes_are_an_error(self, datagram):
        with pytest.raises(DatagramError):
            decode_datagram(datagram)

    def test_malformed_bytes_do_not_affect_the_next_datagram(self):
        """Guards against a reader that keeps state of the datagram before."""
        datagram = encode_datagram(MESSAGES[0])
        for length in range(len(datagram)):
            with contextlib.suppress(DatagramError):
                decode_datagram(datagram[:length])
            assert decode_datagram(datagram) == MESSAGES[0]


class RecordingSocket(DatagramSocket):
    """Records the receivers instead of sending."""

    def __init__(self):
        self.receivers = []

    def send(self, message, *receivers):
        self.receivers.extend(receivers)


class TestPeerSender:
    PEERS = tuple((f"10.0.0.{number}", 9000) for number in range(200))

    @pytest.mark.parametrize(
        ("peers", "gossiped"), [((), 0), (PEERS[:7], 7), (PEERS, MAX_RECEIVERS)]
    )
    def test_gossip_goes_to_a_sample_of_many_daemons(self, peers, gossiped):
        socket = RecordingSocket()
        sender = PeerSender(socket, random.Random(1))
        sender.peers = peers
        sender.gossip(MESSAGES[0])
        receivers = socket.receivers
        assert len(set(receivers)) == len(receivers) == gossiped
        assert set(receivers) <= set(peers)

    @pytest.mark.parametrize("count", [0, 7, 25, 60])
    def test_messages_in_turn_reach_all_daemons_equally_often(self, count):
        socket = RecordingSocket()
        sender = PeerSender(socket, random.Random(1))
        sender.peers = self.PEERS[:count]
        for _ in range(count):
            sender.send_in_turn(MESSAGES[0])
        sent = Counter(socket.receivers)
        assert set(sent) == set(sender.peers)
        assert set(sent.values()) <= {min(count, MAX_RECEIVERS)}

    def test_messages_in_turn_follow_changes_of_the_fleet(self):
        socket = RecordingSocket()
        sender = PeerSender(socket, random.Random(1))
        for peers in (self.PEERS[:3], self.PEERS[2:5]):
            sender.peers = peers
            sender.send_in_turn(MESSAGES[0])
        assert set(socket.receivers[3:]) == set(self.PEERS[2:5])

    def test_a_broadcast_goes_to_all(self):
        socket = RecordingSocket()
        sender = PeerSender(socket, random.Random(1))
        sender.peers = self.PEERS
        sender.broadcast(MESSAGES[0])
        assert socket.receivers == list(self.PEERS)


class TestDatagramSocket:
    def test_messages_are_received_by_the_addressed_daemon_only(self):
        async def run():
            received: tuple[list[Datagram], list[Datagram]] = ([], [])
            addresses = [(f"127.0.0.{10 + number}", 21_719) for number in range(2)]
            sockets = [
                DatagramSocket(functools.partial(record_message, each))
                for each in received
            ]
            for each, address in zip(sockets, addresses, strict=True):
                await each.open(address)
            for message in MESSAGES:
                sockets[0].send(message, addresses[1])
            async with asyncio.timeout(5):
                while len(received[1]) < len(MESSAGES):
                    await asyncio.sleep(0.01)
            for each in sockets:
                each.close()
            assert sorted(received[1], key=repr) == sorted(MESSAGES, key=repr)
            assert received[0] == []

        asyncio.run(run())

    def test_a_message_to_several_daemons_is_encoded_once(self, monkeypatch):
        encoded: list[Datagram] = []

        def encode(message):
            encoded.append(message)
            return b"datagram"

        monkeypatch.setattr(_socket, "encode_datagram", encode)
        socket = DatagramSocket(lambda message, sender: None)
        socket._transport = mock.Mock(is_closing=lambda: False)
        socket.send(MESSAGES[0], ("127.0.0.1", 1), ("127.0.0.2", 1))
        assert encoded == [MESSAGES[0]]
        assert socket._transport.sendto.call_count == 2

    @pytest.mark.parametrize("number", [2**63, -(2**63) - 1, 2**64, 10**400])
    def test_a_message_that_cannot_be_encoded_counts_as_lost(self, number):
        """Guards against one number that ends the task which sends it."""
        unsent: list[str] = []
        socket = DatagramSocket(lambda message, sender: None)
        socket.report_unsent = unsent.append
        socket._transport = mock.Mock(is_closing=lambda: False)
        load = TargetLoad("t1", 3, number)
        for message in (LoadsReported("a/1", 7, (load,)), MESSAGES[0]):
            socket.send(message, ("127.0.0.1", 1))
        assert unsent == ["LoadsReported"]
        assert socket._transport.sendto.call_count == 1

    def test_malformed_datagrams_are_dropped(self):
        received = []
        socket = DatagramSocket(lambda message, sender: received.append(message))
        socket.datagram_received(b"\xff" * 9, ("127.0.0.1", 1))
        socket.datagram_received(encode_datagram(MESSAGES[2]), ("127.0.0.1", 1))
        assert received == [MESSAGES[2]]


class TestLogOfMalformedDatagrams:
    """Guards against a log that another version fills with messages new to this one."""

    @pytest.fixture
    def lines(self):
        lines: list[str] = []
        sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
        yield lines
        logger.remove(sink)

    def test_a_line_has_a_bounded_length(self, lines):
        readiness = b"x" * 50_000
        report = CapacityReported("a/1", 1, "z", 0.5, Readiness.UNREADY)
        # Compact protocol: a length of 7 is one byte, one of 50,000 three.
        datagram = encode_datagram(report).replace(
            b"\x07unready", b"\xd0\x86\x03" + readiness
        )
        socket = DatagramSocket(lambda message, sender: None)
        socket.datagram_received(datagram, ("127.0.0.1", 1))
        (line,) = lines
        assert "readiness" in line.lower()
        assert len(line) <= 300

    def test_a_daemon_causes_one_line_a_minute(self, lines):
        socket = DatagramSocket(lambda message, sender: None)
        for number in range(1_000):
            socket.datagram_received(b"\xff" * (1 + number % 9), ("127.0.0.1", 1))
        assert len(lines) == 1
        socket.datagram_received(b"\xff", ("127.0.0.2", 1))
        assert len(lines) == 2

    def test_unknown_addresses_cause_a_bounded_number_of_lines(self, lines):
        socket = DatagramSocket(lambda message, sender: None)
        for number in range(10_000):
            sender = (f"10.1.{number // 250}.{number % 250}", 1)
            socket.datagram_received(b"\xff", sender)
        assert len(lines) <= 512
