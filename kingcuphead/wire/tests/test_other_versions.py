"""Messages as a version before or after this one might send them."""

import asyncio
import contextlib
import copy
import dataclasses
import random
from collections.abc import Iterator
from typing import Any

import pytest
from thrift.Thrift import TType

from kingcuphead.datagrams import (
    DatagramError,
    decode_datagram,
    encode_datagram,
)
from kingcuphead.paths._frames import MalformedMessageError, read_message
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.wire.generated import datagram as structs
from kingcuphead.wire.tests import _samples
from kingcuphead.wire.tests._compact import Struct, read_struct, write_struct
from kingcuphead.wire.tests.test_recorded import ContentStream

#: Number of a field or of a member of a union that no version uses.
UNUSED = 99
#: A field of each type that a later version might add.
NEW_FIELDS = [
    (TType.BOOL, True),
    (TType.I64, -(2**40)),
    (TType.DOUBLE, 0.5),
    (TType.STRING, "new"),
    (TType.LIST, (TType.STRUCT, [{1: (TType.I32, 5)}, {}])),
    (TType.STRUCT, {1: (TType.STRUCT, {2: (TType.STRING, "x")})}),
]
#: Values of fields that are missing because the sender doesn't know them yet. A message
#: without any other field isn't decoded.
DEFAULTS: dict[tuple[str, str], Any] = {
    ("TargetLoad", "memory_tokens"): 0,
    ("LoadsReported", "is_cut_off"): False,
    ("CreditAsked", "extra"): 0,
    ("CreditHanded", "free"): -1,
    ("CreditHanded", "reserve"): 0,
    ("RequestIdentity", "parts"): (),
    ("TargetTerms", "requests_per_second"): None,
    ("TargetTerms", "rejections_per_second"): None,
    ("TargetTerms", "cold_requests_per_second"): None,
    ("PermitAsked", "memory_tokens"): None,
    ("PermitAsked", "memory_capacity"): None,
    ("PermitAsked", "is_doubtful"): False,
    ("RoomReported", "memory_tokens"): None,
    ("TargetStated", "started_at_ms"): 0,
    ("PermitAnswered", "is_holder"): True,
    ("PermitAnswered", "is_full"): False,
}
MESSAGES = [pytest.param(each, id=name) for name, each in _samples.DATAGRAMS.items()]


@dataclasses.dataclass(frozen=True)
class Place:
    """A struct within a message."""

    #: Number and name of each field on the way to it, and the index within a list.
    steps: tuple[tuple[int, str, int | None], ...]
    #: Generated class of the struct.
    cls: Any

    def find(self, tree: Struct) -> Struct:
        """Return the struct in an encoded datagram."""
        struct = tree
        for number, _, index in self.steps:
            value = struct[number][1]
            struct = value if index is None else value[1][index]
        return struct

    def replace(self, message: Any, name: str, value: Any) -> Any:
        """Return a copy of a message with another value of a field of the struct."""
        return _replace(message, self.steps[1:], name, value)


def _replace(message: Any, steps: Any, name: str, value: Any) -> Any:
    if not steps:
        return dataclasses.replace(message, **{name: value})
    (_, step, index), *rest = steps
    inner = getattr(message, step)
    if index is None:
        return dataclasses.replace(
            message, **{step: _replace(inner, rest, name, value)}
        )
    elements = list(inner)
    elements[index] = _replace(elements[index], rest, name, value)
    return dataclasses.replace(message, **{step: tuple(elements)})


def list_places(
    tree: Struct, cls: Any = structs.Datagram, steps: Any = ()
) -> Iterator[Place]:
    """Yield the structs of a datagram, the union itself first."""
    yield Place(steps, cls)
    for number, (kind, value) in tree.items():
        _, _, name, types, _ = cls.thrift_spec[number]
        if kind == TType.STRUCT:
            yield from list_places(value, types[0], (*steps, (number, name, None)))
        elif kind == TType.LIST and value[0] == TType.STRUCT:
            for index, element in enumerate(value[1]):
                step = (number, name, index)
                yield from list_places(element, types[1][0], (*steps, step))


def read_places(message: Any) -> tuple[Struct, list[Place]]:
    """Return an encoded message and the structs in it, without the union."""
    tree = read_struct(encode_datagram(message))
    return tree, list(list_places(tree))[1:]


def list_fields(message: Any) -> Iterator[tuple[Struct, Place, Struct, int]]:
    """Yield each field: a copy of the message, its place, its struct and its number."""
    tree, places = read_places(message)
    for place in places:
        for number in place.find(tree):
            changed = copy.deepcopy(tree)
            yield changed, place, place.find(changed), number


def find_default(place: Place, number: int) -> tuple[str, Any]:
    """Return the name of a field and the value it has when it is missing."""
    name = place.cls.thrift_spec[number][2]
    return name, DEFAULTS.get((place.cls.__name__, name), DatagramError)


def read_tunnel_message(cls: Any, content: bytes) -> Any:
    stream: Any = ContentStream(len(content).to_bytes(2) + content)
    return asyncio.run(read_message(stream, cls))


class TestLaterVersions:
    """Guards against messages of a later version that a daemon takes wrongly."""

    @pytest.mark.parametrize("message", MESSAGES)
    def test_a_new_field_is_ignored_in_each_struct(self, message):
        tree, places = read_places(message)
        for place in places:
            for field in NEW_FIELDS:
                changed = copy.deepcopy(tree)
                place.find(changed)[UNUSED] = field
                assert decode_datagram(write_struct(changed)) == message, place

    @pytest.mark.parametrize("number", [4, 5, 22, UNUSED])
    def test_an_unknown_member_of_the_union_is_no_message(self, number):
        for field in ({}, {1: (TType.STRING, "x"), 2: (TType.I64, 1)}):
            with pytest.raises(DatagramError):
                decode_datagram(write_struct({number: (TType.STRUCT, field)}))

    def test_a_report_with_an_unknown_readiness_is_no_message(self):
        message = _samples.DATAGRAMS["capacity, ready"]
        tree, (place,) = read_places(message)
        place.find(tree)[5] = (TType.STRING, "resting")
        with pytest.raises(DatagramError):
            decode_datagram(write_struct(tree))

    @pytest.mark.parametrize("message", MESSAGES)
    def test_a_field_of_another_type_counts_as_missing(self, message):
        for changed, place, struct, number in list_fields(message):
            kind = struct[number][0]
            struct[number] = next(each for each in NEW_FIELDS if each[0] != kind)
            name, default = find_default(place, number)
            self.check(changed, message, place, name, default)

    def test_an_unknown_outcome_opens_no_tunnel(self):
        content = write_struct({1: (TType.STRING, "postponed")})
        with pytest.raises(MalformedMessageError):
            read_tunnel_message(TunnelAnswered, content)

    def test_new_fields_of_tunnel_messages_are_ignored(self):
        for field in NEW_FIELDS:
            for known, message in (
                ("10.0.0.1:80", TunnelAsked("10.0.0.1:80")),
                ("opened", TunnelAnswered(TunnelOutcome.OPENED)),
            ):
                content = write_struct({1: (TType.STRING, known), UNUSED: field})
                assert read_tunnel_message(type(message), content) == message

    @staticmethod
    def check(changed, message, place, name, default):
        """Check what becomes of a message without a field."""
        content = write_struct(changed)
        if default is DatagramError:
            with pytest.raises(DatagramError):
                decode_datagram(content)
        else:
            expected = place.replace(message, name, default)
            assert decode_datagram(content) == expected, (place, name)


class TestEarlierVersions:
    """Guards against a field of which an earlier version knows nothing."""

    @pytest.mark.parametrize("message", MESSAGES)
    def test_only_fields_with_a_default_may_be_missing(self, message):
        for changed, place, struct, number in list_fields(message):
            del struct[number]
            name, default = find_default(place, number)
            TestLaterVersions.check(changed, message, place, name, default)

    @pytest.mark.parametrize("cls", [TunnelAsked, TunnelAnswered])
    def test_tunnel_messages_without_their_field_are_malformed(self, cls):
        with pytest.raises(MalformedMessageError):
            read_tunnel_message(cls, write_struct({}))


class TestUndecodableMessages:
    """Guards against bytes that end a daemon, fill its log or become a message."""

    @pytest.mark.parametrize(
        "content",
        [b"", b"\xff" * 40, write_struct({1: (TType.STRING, "x" * 1_000)})],
    )
    def test_undecodable_tunnel_messages_have_short_errors(self, content):
        with pytest.raises(MalformedMessageError) as raised:
            read_tunnel_message(TunnelAnswered, content)
        assert len(str(raised.value)) <= 200

    @pytest.mark.parametrize("message", MESSAGES)
    def test_a_part_of_a_datagram_is_no_message(self, message):
        content = encode_datagram(message)
        for length in range(len(content)):
            with pytest.raises(DatagramError):
                decode_datagram(content[:length])

    def test_changed_bytes_raise_nothing_but_the_error(self):
        rng = random.Random(3)
        contents = [encode_datagram(each) for each in _samples.DATAGRAMS.values()]
        for _ in range(20_000):
            content = bytearray(rng.choice(contents))
            for _ in range(rng.randint(1, 4)):
                content[rng.randrange(len(content))] = rng.randrange(256)
            with contextlib.suppress(DatagramError):
                decode_datagram(bytes(content))

    @pytest.mark.parametrize("lead", [b"\x9c", b"\xec", b"\x99\x19"])
    def test_deeply_nested_bytes_are_an_error(self, lead):
        with pytest.raises(DatagramError):
            decode_datagram(lead + b"\x1c" * 60_000)
