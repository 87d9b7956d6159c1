"""Definitions of the options that set the fields of each kind of record."""

import argparse
import dataclasses
from collections.abc import Callable
from typing import Any


def parse_names(text: str) -> list[str]:
    """Split a comma-separated list of names; empty names are dropped."""
    return [name.strip() for name in text.split(",") if name.strip()]


def parse_yes_no(text: str) -> bool:
    """Convert "yes" or "no" to a boolean."""
    if text not in ("yes", "no"):
        raise argparse.ArgumentTypeError(f"{text!r} is neither yes nor no")
    return text == "yes"


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """An option that sets one field of a record."""

    #: Name of the field in the record.
    name: str
    #: Converts the option's text to the field's value.
    parse: Callable[[str], Any]
    #: Help text of the option.
    help: str
    #: Whether `create` requires the option.
    required: bool = False

    @property
    def option(self) -> str:
        """Name of the option, for example `--max-output-tokens`."""
        return "--" + self.name.replace("_", "-")


#: Help text of the command for each kind of record.
KIND_HELP = {
    "organisation": "customers: keys, budget, models, services, classes",
    "budget": "prepaid budgets: policy and limit",
    "class": "work classes: priority, deadline, ageing, share",
    "model": "models that callers can name",
    "service": "groups of targets that do the same work",
    "target": "model engines and instances of plain services",
}

#: Options by kind of record.
FIELDS: dict[str, tuple[Field, ...]] = {
    "organisation": (
        Field("budget", str, "budget that pays", required=True),
        Field("models", parse_names, "models that callers may use: a,b"),
        Field("services", parse_names, "plain services that callers may use: a,b"),
        Field("classes", parse_names, "work classes, the first is the default: a,b"),
        Field("weight", int, "share among organisations of a class (default 1)"),
    ),
    "budget": (
        Field(
            "policy",
            str,
            "strict: least unattributed credit; available: fewest refusals",
        ),
    ),
    "class": (
        Field("rank", int, "priority, 0 goes first", required=True),
        Field("deadline", float, "seconds to the first token", required=True),
        Field("ageing", float, "seconds of waiting that raise a request by one rank"),
        Field("share", float, "share of the targets' slots, above 0 to 1"),
    ),
    "model": (
        Field("versions", parse_names, "versions in force: a,b", required=True),
        Field("max_output_tokens", int, "largest max_tokens", required=True),
        Field("template_tokens", int, "tokens that the template adds per message"),
    ),
    "service": (
        Field("type", str, "engine or plain", required=True),
        Field(
            "checks_fencing",
            parse_yes_no,
            "targets refuse orders with an old fencing number: yes or no",
        ),
    ),
    "target": (
        Field("service", str, "service that it belongs to", required=True),
        Field("address", str, "IP:PORT", required=True),
        Field("zone", str, "availability zone", required=True),
        Field("models", parse_names, "models that it serves: a,b"),
        Field("concurrency", int, "maximum number of concurrent requests (default 8)"),
        Field("draining", parse_yes_no, "send it no new requests: yes or no"),
    ),
}
