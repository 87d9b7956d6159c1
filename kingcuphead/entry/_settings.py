"""Settings of an entry daemon that its operator sets in an INI file."""

import configparser
import dataclasses
import math

from expression import Error, Ok, Result

#: Section of second attempts beside slow ones.
HEDGING_SECTION = "hedging"
#: Keys of their largest share of the requests, and of whether streams get them.
SHARE_KEY, STREAMS_KEY = "max_share", "streams"


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the operator for one entry daemon."""

    #: Largest share of requests that get a second attempt beside the first; 0 for none.
    max_hedged_share: float = 0.0
    #: Whether streams that may be resumed get second attempts, too.
    hedges_streams: bool = False


#: Settings without a file.
DEFAULT_SETTINGS = EntrySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """Why a settings file can't be used."""

    #: Path of the file.
    path: str
    #: Section and key, or empty.
    location: str
    #: What is wrong.
    cause: str

    def __str__(self) -> str:
        """Return the location and the cause."""
        place = f"{self.path}: {self.location}" if self.location else self.path
        return f"{place}: {self.cause}"


def read_settings(path: str) -> Result[EntrySettings, InvalidSettings]:
    """Read and check a settings file; missing keys keep their defaults.

    Parameters
    ----------
    path
        Path of an INI file.

    Returns
    -------
    Result[EntrySettings, InvalidSettings]
        The settings, or what is wrong with the file.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError) as error:
        return Error(InvalidSettings(path, "", f"can't be read: {error}"))
    except configparser.Error as error:
        cause = " ".join(str(error).split())
        return Error(InvalidSettings(path, "", cause))
    return _check(path, parser)


def _check(
    path: str, parser: configparser.ConfigParser
) -> Result[EntrySettings, InvalidSettings]:
    for section in parser.sections():
        if section != HEDGING_SECTION:
            return Error(InvalidSettings(path, f"[{section}]", "unknown section"))
        for key in parser[section]:
            if key not in (SHARE_KEY, STREAMS_KEY):
                location = f"[{section}] {key}"
                return Error(InvalidSettings(path, location, "unknown key"))
    default = str(DEFAULT_SETTINGS.max_hedged_share)
    text = parser.get(HEDGING_SECTION, SHARE_KEY, fallback=default)
    share = _parse_share(text)
    if share is None:
        cause = f"{text!r} is not a number from 0 to 1"
        return Error(_make_value_fault(path, SHARE_KEY, cause))
    try:
        hedges_streams = parser.getboolean(
            HEDGING_SECTION, STREAMS_KEY, fallback=DEFAULT_SETTINGS.hedges_streams
        )
    except ValueError:
        text = parser.get(HEDGING_SECTION, STREAMS_KEY)
        cause = f"{text!r} is neither yes nor no"
        return Error(_make_value_fault(path, STREAMS_KEY, cause))
    return Ok(EntrySettings(share, hedges_streams))


def _make_value_fault(path: str, key: str, cause: str) -> InvalidSettings:
    return InvalidSettings(path, f"[{HEDGING_SECTION}] {key}", cause)


def _parse_share(text: str) -> float | None:
    try:
        share = float(text)
    except ValueError:
        return None
    return share if math.isfinite(share) and 0 <= share <= 1 else None
