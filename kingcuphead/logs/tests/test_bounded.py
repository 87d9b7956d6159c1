import json
import os

import pytest

from kingcuphead.logs import BoundedStream


class Clock:
    def __init__(self):
        self.now = 10.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


class TestBoundedStream:
    def test_lines_beyond_the_rate_are_dropped_and_counted(self, pipe):
        reader, writer = pipe
        clock = Clock()
        stream = BoundedStream(writer, lines_per_second=2, get_time=clock)
        for number in range(5):
            stream.write(f"{number}\n")
        clock.now = 11.0
        stream.write("next\n")
        lines = os.read(reader, 10_000).decode().splitlines()
        assert lines[:2] == ["0", "1"]
        assert json.loads(lines[2])["dropped"] == 3
        assert lines[3] == "next"

    def test_write_does_not_block_when_the_reader_stalls(self, pipe):
        _, writer = pipe
        stream = BoundedStream(writer, lines_per_second=10_000)
        for _ in range(5_000):
            stream.write("x" * 200 + "\n")

    def test_write_ignores_a_closed_reader(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = BoundedStream(writer)
        stream.write("lost\n")
        os.close(writer)
