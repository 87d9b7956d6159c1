"""The address of a daemon."""

from typing import TypeAlias

#: IP address and port of a daemon.
Address: TypeAlias = tuple[str, int]
