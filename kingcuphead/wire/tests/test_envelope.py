import pytest
from hypothesis import given, strategies

from kingcuphead.membership import Heartbeat, Member, MemberStatus, Notice, NoticeKind
from kingcuphead.wire import Envelope, decode_envelope, encode_envelope

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
    def test_arbitrary_bytes_are_a_fault_or_a_message(self, payload):
        result = decode_envelope(payload)
        assert result.is_ok() or result.error.message

    @given(strategies.integers(0, 300), strategies.integers(0, 255))
    def test_damaged_frames_are_a_fault_or_a_message(self, position, octet):
        payload = bytearray(
            encode_envelope(Envelope("d1", 7, Heartbeat(1, MEMBER, 9, (), (NOTICE,))))
        )
        payload[position % len(payload)] = octet
        result = decode_envelope(bytes(payload))
        assert result.is_ok() or result.error.message
