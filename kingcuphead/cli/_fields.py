"""Options of each kind of record, as data for the parser."""

import argparse
import dataclasses
from collections.abc import Callable
from typing import Any


def parse_names(text: str) -> list[str]:
    """Return names separated by commas; an empty text is no name."""
    return [name.strip() for name in text.split(",") if name.strip()]


def parse_switch(text: str) -> bool:
    """Return the value of a yes-or-no option."""
    if text not in ("yes", "no"):
        raise argparse.ArgumentTypeError(f"{text!r} is neither yes nor no")
    return text == "yes"


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field of a record as an option."""

    #: Field of the record.
    name: str
    #: Converts what is written.
    parse: Callable[[str], Any]
    #: Help text.
    help: str
    #: Whether `create` needs it.
    required: bool = False

    @property
    def option(self) -> str:
        """The option, for example `--max-output-tokens`."""
        return "--" + self.name.replace("_", "-")


#: What a kind of record is, for the help.
KIND_HELP = {
    "organisation": "customers: keys, budget, models, services, classes",
    "budget": "prepaid budgets: policy and money",
    "class": "work classes: priority, deadline, ageing, share",
    "model": "models that callers can name",
    "service": "groups of targets that do the same work",
    "target": "model engines and instances of plain services",
}

FIELDS: dict[str, tuple[Field, ...]] = {
    "organisation": (
        Field("budget", str, "budget that pays", required=True),
        Field("models", parse_names, "models that callers may use: a,b"),
        Field("services", parse_names, "plain services that callers may use: a,b"),
        Field("classes", parse_names, "work classes, the first is the default: a,b"),
        Field("weight", int, "share among organisations of a class (default 1)"),
    ),
    "budget": (
        Field("policy", str, "strict: least unattributed; available: fewest refusals"),
    ),
    "class": (
        Field("rank", int, "priority, 0 goes first", required=True),
        Field("deadline", float, "seconds to the first token", required=True),
        Field("ageing", float, "seconds of waiting that raise by one rank"),
        Field("share", float, "share of the targets' slots, above 0 to 1"),
    ),
    "model": (
        Field("versions", parse_names, "versions in force: a,b", required=True),
        Field("max_output_tokens", int, "largest max_tokens", required=True),
        Field("template_tokens", int, "tokens that the template adds per message"),
    ),
    "service": (
        Field("type", str, "engine or plain", required=True),
        Field("checks_fencing", parse_switch, "targets refuse old orders: yes or no"),
    ),
    "target": (
        Field("service", str, "service that it belongs to", required=True),
        Field("address", str, "IP:PORT", required=True),
        Field("zone", str, "availability zone", required=True),
        Field("models", parse_names, "models that it serves: a,b"),
        Field("concurrency", int, "most requests at once (default 8)"),
        Field("draining", parse_switch, "give it nothing new: yes or no"),
    ),
}
