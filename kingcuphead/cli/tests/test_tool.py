import hashlib
import json
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.testing import bind_unused_port

from kingcuphead.cli import main
from kingcuphead.cli._tables import format_table
from kingcuphead.operators import make_operator_application
from kingcuphead.operators.tests.fakes import TOKEN, BackendHarness


class Tool:
    """Runs the tool against an operators' API that a separate thread serves."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self.fake = BackendHarness()
        self._capsys = capsys
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()
        self._started.wait()

    def _serve(self) -> None:
        self._loop = IOLoop(make_current=False)
        self._loop.run_sync(self._listen)
        self._loop.start()
        self._loop.close(all_fds=True)

    async def _listen(self) -> None:
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        sockets, port = bind_unused_port(address="127.0.0.1")
        application = make_operator_application(self.fake.backend, (digest,))
        HTTPServer(application).add_socket(sockets)
        self.server = f"127.0.0.1:{port}"
        self.fake.start()
        self._started.set()

    def stop(self) -> None:
        self._loop.add_callback(self._shut_down)
        self._thread.join()

    async def _shut_down(self) -> None:
        await self.fake.stop()
        self._loop.stop()

    def run(self, *arguments: str, token: str = TOKEN) -> tuple[int, str, str]:
        """Return exit code, standard output and standard error."""
        environment = {"KINGCUPHEAD_SERVER": self.server, "KINGCUPHEAD_TOKEN": token}
        code = main(arguments, environment | {"USER": "ana"})
        captured = self._capsys.readouterr()
        return code, captured.out, captured.err


@pytest.fixture
def tool(capsys: pytest.CaptureFixture[str]) -> Iterator[Tool]:
    tool = Tool(capsys)
    yield tool
    tool.stop()


class TestCommands:
    def test_first_organisation(self, tool):
        for line in (
            "model create large --versions 1 --max-output-tokens 4096",
            "class create interactive --rank 0 --deadline 5",
            "service create engines --type engine",
            "target create t --service engines --address 10.0.0.1:80 --zone z",
            "budget create main --limit 1000000",
            "organisation create atelier --budget main --models large"
            " --classes interactive --key secret-key",
        ):
            code, _, error = tool.run(*line.split())
            assert (code, error) == (0, "")
        code, output, _ = tool.run("organisation", "list")
        assert output.splitlines()[1].split()[:3] == ["atelier", "main", "large"]
        rows = tool.fake.table.inner.rows
        assert not any(b"secret-key" in row.value for row in rows)
        digest = hashlib.sha256(b"secret-key").hexdigest().encode()
        assert any(digest in row.value for row in rows)
        code, output, _ = tool.run("--json", "spend", "main")
        assert json.loads(output)[0]["limit"] == 1_000_000

    def test_new_key_is_shown_once_and_revoked(self, tool):
        tool.run("budget", "create", "b")
        tool.run("class", "create", "default", "--rank", "0", "--deadline", "5")
        command = ("organisation", "create", "o", "--budget", "b", "--new-key")
        _, output, _ = tool.run("--json", *command)
        key = json.loads(output)["new_key"]
        _, output, _ = tool.run("--json", "organisation", "show", "o")
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert json.loads(output)["record"]["key_digests"] == [digest]
        assert tool.run("organisation", "change", "o", "--revoke-key", key)[0] == 0
        _, output, _ = tool.run("--json", "organisation", "show", "o")
        assert json.loads(output)["record"]["key_digests"] == []

    def test_file_is_applied_as_one_change(self, tool, tmp_path):
        path = tmp_path / "records.json"
        records = [{"kind": "budget", "schema": 1, "name": name} for name in "ab"]
        path.write_text(json.dumps(records))
        for revision in ("1", "2"):
            code, output, _ = tool.run("record", "apply", str(path))
            assert (code, output) == (0, f"revision {revision} is accepted\n")
        _, output, _ = tool.run("history")
        assert "ana" in output
        assert "budget/a, budget/b" in output

    def test_schema_is_not_lowered(self, tool):
        code, _, error = tool.run("record", "schema", "1")
        assert code == 1
        assert "never lowered" in error

    def test_budget_commands(self, tool):
        tool.run("budget", "fund", "b", "100")
        for _ in range(2):
            assert tool.run("budget", "top-up", "b", "50", "--id", "p1")[0] == 0
        code, output, _ = tool.run("budget", "lower", "b", "120")
        assert output.splitlines()[1].split() == ["b", "120", "0", "0", "0", "120"]
        assert tool.run("grants")[1] == "(none)\n"
        assert tool.run("unattributed")[1] == "(none)\n"
        assert tool.run("release", "b", "no-grant")[0] == 1

    @pytest.mark.parametrize(
        ("command", "fragment"),
        [
            ("revision", "schema version 2"),
            ("target state", "10.0.0.1:80"),
            ("quarantine list", "f1"),
            ("quarantine release f1", "released"),
            ("explain r1", "budget_exhausted"),
            ("claims o", "order-1"),
            ("token", "shown only once"),
        ],
    )
    def test_state_commands(self, tool, command, fragment):
        code, output, _ = tool.run(*command.split())
        assert code == 0
        assert fragment in output


class TestExitCodes:
    def test_conflict_names_the_other_change(self, tool):
        tool.run("budget", "create", "b")
        change = ("budget", "change", "b", "--policy", "available")
        assert tool.run("--author", "boris", *change)[0] == 0
        code, _, error = tool.run(*change, "--revision", "1")
        assert code == 3
        assert "revision 2 by boris touched budget b" in error

    def test_refused(self, tool):
        code, output, error = tool.run("--json", "budget", "show", "none")
        assert (code, json.loads(output)["exit_code"]) == (1, 1)
        assert "does not exist" in error
        assert tool.run("budget", "list", token="wrong")[0] == 1

    @pytest.mark.parametrize("line", ["", "tenant list", "budget create"])
    def test_invalid_command_line(self, tool, line):
        with pytest.raises(SystemExit) as exited:
            tool.run(*line.split())
        assert exited.value.code == 2

    @pytest.mark.parametrize(
        "environment", [{}, {"KINGCUPHEAD_SERVER": "host:1"}, {"KINGCUPHEAD_TOKEN": ""}]
    )
    def test_missing_server_or_token_is_a_usage_error(self, environment):
        assert main(("revision",), environment) == 2

    def test_unreachable(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            server = f"127.0.0.1:{unused.getsockname()[1]}"
            environment = {"KINGCUPHEAD_SERVER": server, "KINGCUPHEAD_TOKEN": "t"}
            assert main(("budget", "delete", "b"), environment) == 4

    def test_change_without_a_response_is_uncertain(self, capsys):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            closer = threading.Thread(target=lambda: listener.accept()[0].close())
            closer.start()
            server = f"127.0.0.1:{listener.getsockname()[1]}"
            environment = {"KINGCUPHEAD_SERVER": server, "KINGCUPHEAD_TOKEN": "t"}
            code = main(("budget", "top-up", "b", "5", "--id", "p1"), environment)
            closer.join()
        assert code == 5
        assert "--id p1" in capsys.readouterr().err


class TestTables:
    def test_columns_are_aligned(self):
        rows: list[dict[str, Any]] = [
            {"a": 1000, "b": [], "at": 0.0},
            {"a": None, "b": ["x", "y"]},
        ]
        assert format_table(rows, ("a", "b", "at")).splitlines() == [
            "a      b     at",
            "1,000  -     1970-01-01 00:00:00Z",
            "-      x, y  -",
        ]
