"""Target states, sources of state reports, and results of attempts."""

import enum


class TargetState(enum.StrEnum):
    """Whether a target may be given new requests."""

    #: Answers and accepts new requests.
    LIVE = "live"
    #: A failure was observed; accepts no new requests until a probe decides.
    CHECKING = "checking"
    #: Finishes its running requests and accepts no new ones.
    LEAVING = "leaving"
    #: Unresponsive: consecutive probes failed.
    SILENT = "silent"


class StateSource(enum.StrEnum):
    """Source of a report about a target's state."""

    #: The platform's instance list, which lags.
    LIST = "list"
    #: The target's answer to a request, or its failure to answer.
    ANSWER = "answer"
    #: A health probe of this daemon.
    PROBE = "probe"
    #: Gossip from another daemon.
    PEER = "peer"
    #: The applied configuration.
    CONFIGURATION = "configuration"


class AnswerResult(enum.StrEnum):
    """Result of an attempt to run one request on one target."""

    #: The complete answer was received.
    WHOLE = "whole"
    #: The target answered that it accepts no requests now.
    REFUSED = "refused"
    #: The connection to the target failed.
    UNREACHABLE = "unreachable"
    #: The connection broke after the request was sent.
    DIED = "died"
    #: The target made no progress within its timeout.
    TIMED_OUT = "timed_out"
    #: The daemon cancelled it, for example because the caller disconnected.
    CANCELLED = "cancelled"
