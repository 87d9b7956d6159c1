"""Forwards callers' requests to targets and their answers back."""

from kingcuphead.forwarding._attempt import AttemptRunner
from kingcuphead.forwarding._journey import Journey
from kingcuphead.forwarding._messages import (
    AnswerHead,
    CallerRequest,
    PromptPart,
    PromptSize,
    SendOptions,
)
from kingcuphead.forwarding._path import RequestPath, Surroundings
from kingcuphead.forwarding._pool import ConnectionPool
from kingcuphead.forwarding._ports import Caller, HeaderCodec
from kingcuphead.forwarding._refusals import Refusal, refuse

__all__ = [
    "AnswerHead",
    "AttemptRunner",
    "Caller",
    "CallerRequest",
    "ConnectionPool",
    "HeaderCodec",
    "Journey",
    "PromptPart",
    "PromptSize",
    "Refusal",
    "RequestPath",
    "SendOptions",
    "Surroundings",
    "refuse",
]
