"""Settings of an entry daemon that its operator sets in an INI file."""

import configparser
import dataclasses
import math

from expression import Error, Ok, Result

#: Section and key of the largest share of hedged requests.
HEDGING_SECTION, SHARE_KEY = "hedging", "max_share"


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the operator for one entry daemon."""

    #: Largest share of requests that get a second attempt beside the first; 0 for none.
    max_hedged_share: float = 0.0


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
            if key != SHARE_KEY:
                location = f"[{section}] {key}"
                return Error(InvalidSettings(path, location, "unknown key"))
    default = str(DEFAULT_SETTINGS.max_hedged_share)
    text = parser.get(HEDGING_SECTION, SHARE_KEY, fallback=default)
    share = _parse_share(text)
    if share is None:
        cause = f"{text!r} is not a number from 0 to 1"
        location = f"[{HEDGING_SECTION}] {SHARE_KEY}"
        return Error(InvalidSettings(path, location, cause))
    return Ok(EntrySettings(share))


def _parse_share(text: str) -> float | None:
    try:
        share = float(text)
    except ValueError:
        return None
    return share if math.isfinite(share) and 0 <= share <= 1 else None
