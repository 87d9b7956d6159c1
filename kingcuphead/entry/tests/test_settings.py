import pathlib
import re

import pytest

import kingcuphead
from kingcuphead.entry._main import main
from kingcuphead.entry._settings import EntrySettings, read_settings

EXAMPLE = pathlib.Path(kingcuphead.__file__).parents[1] / "examples" / "entry.ini"


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "settings"),
        [
            ("", EntrySettings()),
            ("[hedging]\n", EntrySettings()),
            ("[hedging]\nmax_share = 0.02\n", EntrySettings(0.02)),
            ("[hedging]\nmax_share = 0\n", EntrySettings(0.0)),
            (
                "[hedging]\nmax_share = 0.02\nstreams = yes\n",
                EntrySettings(0.02, True),
            ),
            ("[hedging]\nstreams = no\n", EntrySettings(0.0, False)),
        ],
    )
    def test_valid_files(self, tmp_path, text, settings):
        path = tmp_path / "entry.ini"
        path.write_text(text)
        assert read_settings(str(path)).ok == settings

    @pytest.mark.parametrize(
        ("text", "part"),
        [
            ("[hedging]\nmax_share = much\n", "[hedging] max_share: 'much'"),
            ("[hedging]\nmax_share = nan\n", "from 0 to 1"),
            ("[hedging]\nmax_share = -0.1\n", "from 0 to 1"),
            ("[hedging]\nmax_share = 2\n", "from 0 to 1"),
            ("[hedging]\nstreams = 2\n", "[hedging] streams: '2'"),
            ("[hedging]\nshare = 0.1\n", "[hedging] share: unknown key"),
            ("[hedge]\nmax_share = 0.1\n", "[hedge]: unknown section"),
            ("max_share = 0.1\n", "no section headers"),
        ],
    )
    def test_invalid_files_end_the_start_with_the_place(
        self, tmp_path, capsys, text, part
    ):
        path = tmp_path / "entry.ini"
        path.write_text(text)
        assert main(["--settings", str(path)]) == 2
        assert part in capsys.readouterr().err

    def test_a_missing_file_is_reported(self, tmp_path, capsys):
        assert main(["--settings", str(tmp_path / "none.ini")]) == 2
        assert "can't be read" in capsys.readouterr().err

    def test_the_example_shows_the_defaults(self, tmp_path):
        assert read_settings(str(EXAMPLE)).ok == EntrySettings()
        path = tmp_path / "entry.ini"
        path.write_text(re.sub(r"^#(?=\w)", "", EXAMPLE.read_text(), flags=re.M))
        assert read_settings(str(path)).ok == EntrySettings()
