from typing import Any

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.wire import find_codec, make_struct
from kingcuphead.wire.generated import datagram

FACTORY = TCompactProtocolAcceleratedFactory()


class TestTunnelMessages:
    """Guards against a message that can't be written outside of a datagram."""

    @pytest.mark.parametrize(
        "message",
        [TunnelAsked("10.0.0.1:80"), *map(TunnelAnswered, TunnelOutcome)],
    )
    def test_a_message_is_unchanged_after_encoding_and_decoding(self, message):
        struct = make_struct(message, datagram)
        received = deserialize(type(struct)(), serialize(struct, FACTORY), FACTORY)
        cls: Any = type(message)
        assert find_codec(cls, datagram).decode(received) == message
