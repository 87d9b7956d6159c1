"""States of targets, who reported them, and how an answer ended."""

import enum


class TargetState(enum.StrEnum):
    """Whether a target may be given new work."""

    #: Answers, and takes new work.
    LIVE = "live"
    #: A failure was seen; takes nothing new until a probe has settled it.
    CHECKING = "checking"
    #: Finishes what it runs, and takes nothing new.
    LEAVING = "leaving"
    #: Neither answers nor refuses.
    SILENT = "silent"


class SignSource(enum.StrEnum):
    """Where a statement about a target came from."""

    #: The platform's instance list, which lags.
    LIST = "list"
    #: The target's own answer to a request.
    ANSWER = "answer"
    #: A health probe of this daemon.
    PROBE = "probe"
    #: Another daemon.
    PEER = "peer"
    #: The configuration in force.
    CONFIGURATION = "configuration"


class AnswerResult(enum.StrEnum):
    """How the attempt to run one request on one target ended."""

    #: The whole answer arrived.
    WHOLE = "whole"
    #: The target answered that it takes no work now.
    REFUSED = "refused"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke after the request had been sent.
    DIED = "died"
    #: No progress was seen for the time allowed.
    TIMED_OUT = "timed_out"
    #: The daemon cancelled it, for example because the caller hung up.
    CANCELLED = "cancelled"
