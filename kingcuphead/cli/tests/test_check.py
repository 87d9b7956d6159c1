import asyncio
import json
import time
from pathlib import Path

import pytest
from expression import Error, Ok

from kingcuphead.cli import main
from kingcuphead.cli._in_force import read_store
from kingcuphead.review import MAX_FILE_BYTES
from kingcuphead.storage import PlatformFault, Row, RowSnapshot

EXAMPLE = Path(__file__).parents[3] / "examples" / "routing.json"
CONTENT = EXAMPLE.read_bytes()


def check(path, *arguments):
    return main(["check", str(path), *arguments], {})


def write(folder, content):
    path = folder / "routing.json"
    path.write_bytes(content)
    return path


class FakeStore:
    """A store whose only call is a read; any other call fails the test."""

    def __init__(self, result):
        self.result = result

    async def read_table(self, table, part="", prefix=""):
        assert (table, part, prefix) == ("op", "", "config")
        return self.result


class TestDifferences:
    """Guards against a change whose loss for callers nobody notices."""

    @pytest.mark.parametrize(
        ("changes", "status", "words"),
        [
            ((b'"max_connections": 100', b'"max_connections": 101'), 0, "100 to 101"),
            ((b'"prepaid": 1000000', b'"prepaid": 900000'), 1, "1000000 to 900000"),
            ((b'"/chat/"', b'"/talk/"'), 1, 'route "api.example/chat/" is removed'),
            ((b"replace-this-key", b"k2"), 1, '"atelier": 1 removed (takes something'),
            ((b'"version": 2', b'"version": 1'), 2, "1 is not above 1"),
        ],
    )
    def test_words_table_and_status(self, tmp_path, capsys, changes, status, words):
        content = CONTENT.replace(b'"version": 1', b'"version": 2').replace(*changes)
        path = write(tmp_path, content)
        assert check(path, "--against", str(EXAMPLE)) == status
        text = capsys.readouterr().out
        assert words in text
        assert "replace-this-key" not in text
        assert check(path, "--against", str(EXAMPLE), "--json") == status
        for each in json.loads(capsys.readouterr().out)["differences"]:
            assert each["description"] in text
            assert each["place"] in text.split("takes away\n")[1]


class TestStore:
    @pytest.mark.parametrize(
        ("result", "cause"),
        [
            (Error(PlatformFault("read", "status 429")), "status 429"),
            (Ok(RowSnapshot((), 7)), "no configuration"),
            (Ok(RowSnapshot((Row("config-old", 1, b"{}"),), 7)), "no configuration"),
        ],
    )
    def test_a_store_without_a_version_is_an_error(self, result, cause):
        content = asyncio.run(read_store("store:10.0.0.1:1", FakeStore(result)))
        assert content.error.place == "store:10.0.0.1:1"
        assert cause in content.error.cause

    def test_the_version_in_force_is_read(self):
        rows = (Row("config", 3, CONTENT), Row("config-old", 1, b"{}"))
        store = FakeStore(Ok(RowSnapshot(rows, 7)))
        assert asyncio.run(read_store("store:h:1", store)).ok == CONTENT

    @pytest.mark.parametrize("address", ["", "h", ":1", "h:", "h:x", "h:0", "h:65536"])
    def test_a_wrong_address_is_an_error(self, capsys, address):
        assert check(EXAMPLE, "--against", f"store:{address}") == 2
        assert "is not HOST:PORT" in capsys.readouterr().out


class TestLargeFiles:
    """Guards against a check that takes minutes, or prints without end."""

    @pytest.mark.parametrize("field", ["", "typo"])
    def test_a_file_of_40_mb_takes_seconds(self, tmp_path, capsys, field):
        configuration = json.loads(CONTENT)
        route = configuration["routes"][0] | ({field: 1} if field else {})
        count = (MAX_FILE_BYTES - 1_000) // (len(json.dumps(route)) + 8)
        configuration["routes"] = [
            route | {"prefix": f"/{index}/"} for index in range(count)
        ]
        path = write(tmp_path, json.dumps(configuration).encode())
        started_at = time.process_time()
        assert check(path) == (1 if field else 0)
        assert time.process_time() - started_at < 10.0
        assert len(capsys.readouterr().out) < 100_000
