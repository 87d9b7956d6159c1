"""The platform's wire names, formats, headers and calls, without any policy."""

from kingcuphead.platform._configuration import (
    ConfigurationDecoder,
    decode_configuration,
    decode_evacuated_zone,
)
from kingcuphead.platform._entries import decode_target
from kingcuphead.platform._headers import (
    PlatformHeaders,
    decode_request,
    make_refusal_headers,
)
from kingcuphead.platform._profile import (
    READINESS_PATH,
    SETTINGS_VARIABLE,
    Endpoint,
    InstanceLimits,
    Profile,
    ProfileFault,
    RetryBudget,
    parse_profile,
    read_profile,
)
from kingcuphead.platform._stated_values import (
    FileFault,
    KeyHolder,
    StatedValues,
    decode_stated_values,
    format_name,
    format_place,
)
from kingcuphead.platform._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
    Store,
    StoreTable,
)
from kingcuphead.platform._store_codec import Change, Changes, HistoryLost

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "Change",
    "ConfigurationDecoder",
    "Changes",
    "Endpoint",
    "FileFault",
    "HistoryLost",
    "InstanceLimits",
    "KeyHolder",
    "PlatformHeaders",
    "Profile",
    "ProfileFault",
    "READINESS_PATH",
    "RetryBudget",
    "SETTINGS_VARIABLE",
    "StatedValues",
    "Store",
    "StoreTable",
    "TARGETS_TABLE",
    "decode_configuration",
    "decode_evacuated_zone",
    "decode_request",
    "decode_stated_values",
    "decode_target",
    "format_name",
    "format_place",
    "make_refusal_headers",
    "parse_profile",
    "read_profile",
]
