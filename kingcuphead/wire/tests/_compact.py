"""Reads and writes Thrift's compact protocol without knowing any struct.

Thus a test can add, remove and replace fields as another version might.
"""

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

#: A struct: the type and value of each field, by its number.
Struct = dict[int, tuple[int, Any]]

_SCALARS = {
    TType.BOOL: "Bool",
    TType.BYTE: "Byte",
    TType.DOUBLE: "Double",
    TType.I16: "I16",
    TType.I32: "I32",
    TType.I64: "I64",
    TType.STRING: "String",
}


def read_struct(content: bytes) -> Struct:
    """Return the fields of a struct; bytes behind it are an error."""
    buffer = TMemoryBuffer(content)
    struct = _read(TCompactProtocol(buffer), TType.STRUCT)
    assert buffer.cstringio_buf.read() == b""
    assert isinstance(struct, dict)
    return struct


def write_struct(struct: Struct) -> bytes:
    """Return the bytes of a struct."""
    buffer = TMemoryBuffer()
    _write(TCompactProtocol(buffer), TType.STRUCT, struct)
    return bytes(buffer.getvalue())


def _read(protocol: Any, kind: int) -> Any:
    if kind in _SCALARS:
        return getattr(protocol, f"read{_SCALARS[kind]}")()
    if kind == TType.LIST:
        element, size = protocol.readListBegin()
        values = [_read(protocol, element) for _ in range(size)]
        protocol.readListEnd()
        return element, values
    assert kind == TType.STRUCT
    fields: Struct = {}
    protocol.readStructBegin()
    while True:
        _, field_kind, number = protocol.readFieldBegin()
        if field_kind == TType.STOP:
            break
        fields[number] = (field_kind, _read(protocol, field_kind))
        protocol.readFieldEnd()
    protocol.readStructEnd()
    return fields


def _write(protocol: Any, kind: int, value: Any) -> None:
    if kind in _SCALARS:
        getattr(protocol, f"write{_SCALARS[kind]}")(value)
        return
    if kind == TType.LIST:
        element, values = value
        protocol.writeListBegin(element, len(values))
        for each in values:
            _write(protocol, element, each)
        protocol.writeListEnd()
        return
    assert kind == TType.STRUCT
    protocol.writeStructBegin("")
    for number, (field_kind, content) in value.items():
        protocol.writeFieldBegin("", field_kind, number)
        _write(protocol, field_kind, content)
        protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
