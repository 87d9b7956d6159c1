"""The daemon's INI settings, validated as a whole at startup."""

from kingcuphead.settings._faults import KeyFault, SettingsFault
from kingcuphead.settings._loading import load_settings, parse_settings
from kingcuphead.settings._sections import (
    BudgetSettings,
    ConfigurationSettings,
    InstanceSettings,
    LimitSettings,
    ListenSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    ShutdownSettings,
    TargetSettings,
)

__all__ = [
    "BudgetSettings",
    "ConfigurationSettings",
    "InstanceSettings",
    "KeyFault",
    "LimitSettings",
    "ListenSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "SettingsFault",
    "ShutdownSettings",
    "TargetSettings",
    "load_settings",
    "parse_settings",
]
