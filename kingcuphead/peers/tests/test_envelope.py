import dataclasses

import pytest
from hypothesis import given, strategies

from kingcuphead.membership import Heartbeat, Member, MemberStatus, Notice, NoticeKind
from kingcuphead.peers import (
    MESSAGE_TYPES,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from kingcuphead.wire import find_codec
from kingcuphead.wire.generated import peer

MEMBER = Member("d1", "127.0.0.1:7001", "lj-a", "ljubljana", 7, 2, MemberStatus.ALIVE)
NOTICE = Notice(NoticeKind.TARGET_LEAVING, "runner-1", "", "d1/7", 4)


class TestEnvelope:
    @pytest.mark.parametrize(
        "message",
        [
            Heartbeat(1, MEMBER, 9, (), ()),
            Heartbeat(2**40, MEMBER, 0, (MEMBER, MEMBER), (NOTICE,)),
        ],
    )
    def test_round_trip(self, message):
        envelope = Envelope("d1", 7, message)
        assert decode_envelope(encode_envelope(envelope)).ok == envelope

    @given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_decode_to_an_envelope_or_a_fault(self, payload):
        result = decode_envelope(payload)
        assert result.is_ok() or result.error.message

    @given(strategies.integers(0, 300), strategies.integers(0, 255))
    def test_corrupt_payload_decodes_to_an_envelope_or_a_fault(self, position, octet):
        payload = bytearray(
            encode_envelope(Envelope("d1", 7, Heartbeat(1, MEMBER, 9, (), (NOTICE,))))
        )
        payload[position % len(payload)] = octet
        result = decode_envelope(bytes(payload))
        assert result.is_ok() or result.error.message


class TestMessageTypes:
    @pytest.mark.parametrize("cls", MESSAGE_TYPES)
    def test_every_message_has_a_struct_with_the_same_fields(self, cls):
        struct = getattr(peer, cls.__name__)()
        names = {field.name for field in dataclasses.fields(cls)}
        assert set(struct.__slots__) == names
        assert find_codec(cls, peer)
