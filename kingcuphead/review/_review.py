"""Review of the content of a configuration file."""

from collections.abc import Iterable, Iterator

from expression import Error, Ok, Result

from kingcuphead.frozen import frozen
from kingcuphead.platform import (
    FileFault,
    StatedValues,
    decode_configuration,
    decode_stated_values,
)
from kingcuphead.review._checks import check
from kingcuphead.review._differences import Difference, compare
from kingcuphead.review._findings import Finding, Severity, make_error
from kingcuphead.routing import RoutingConfiguration

#: Maximum size of a configuration file in bytes.
MAX_FILE_BYTES = 40_000_000
#: Name of the version in force in findings about it.
_IN_FORCE = "version in force"


@frozen
class Review:
    """Findings about a file, and its differences from the version in force."""

    #: Faults of the file, or why one of the files can't be decoded.
    findings: tuple[Finding, ...]
    #: Differences; empty without a version in force.
    differences: tuple[Difference, ...] = ()

    def has(self, severity: Severity) -> bool:
        """Return whether there is a finding of a severity."""
        return any(each.severity is severity for each in self.findings)


@frozen
class _Version:
    """One decoded version of the configuration."""

    configuration: RoutingConfiguration
    stated: StatedValues


def review(content: bytes, in_force: bytes | None = None) -> Review:
    """Check a configuration, and compare it with the version in force.

    Parameters
    ----------
    content
        Content of the file.
    in_force
        Content of the version in force; None for no comparison.
    """
    new = _decode(content)
    if new.is_error():
        return Review(new.error)
    configuration = new.ok.configuration
    findings = tuple(check(configuration, new.ok.stated))
    if in_force is None:
        return Review(findings)
    old = _decode(in_force, source=_IN_FORCE, prefix=f"{_IN_FORCE}: ")
    if old.is_error():
        return Review((*old.error, *findings))
    current = old.ok.configuration
    if configuration.version <= current.version:
        cause = (
            f"{configuration.version} is not above {current.version}, the {_IN_FORCE}"
        )
        findings = (make_error("version", cause), *findings)
    return Review(findings, tuple(compare(current, configuration)))


def _decode(
    content: bytes, source: str = "file", prefix: str = ""
) -> Result[_Version, tuple[Finding, ...]]:
    if len(content) > MAX_FILE_BYTES:
        return Error((make_error(source, f"larger than {MAX_FILE_BYTES:,} bytes"),))
    try:
        stated = decode_stated_values(content)
        configuration = decode_configuration(content)
    except RecursionError:
        return Error((make_error(source, "nested too deeply"),))
    if stated.is_error():
        return Error(tuple(_make_findings(prefix, stated.error)))
    if configuration.is_error():
        return Error((make_error(source, f"can't be decoded: {configuration.error}"),))
    return Ok(_Version(configuration.ok, stated.ok))


def _make_findings(prefix: str, faults: Iterable[FileFault]) -> Iterator[Finding]:
    for fault in faults:
        yield make_error(f"{prefix}{fault.place}", f"can't be decoded: {fault.cause}")
