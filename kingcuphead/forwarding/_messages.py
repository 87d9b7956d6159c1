"""A caller's request, and the answer of a target to one attempt."""

import dataclasses

from tornado.httputil import HTTPHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt that other requests may share."""

    #: Identity of the piece.
    name: str
    #: Its length in tokens.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """What a request for generated text may cost."""

    #: Tokens of the prompt.
    prompt_tokens: int
    #: Most tokens of the answer.
    output_tokens: int
    #: Pieces of the prompt, in order; the last one is the request's own.
    parts: tuple[PromptPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it, whole."""

    #: Identity of this try of the caller.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query, as sent.
    uri: str
    #: Host header.
    host: str
    #: Headers that concern the target, without those that this fleet sets.
    headers: HTTPHeaders
    #: Whole body.
    body: bytes
    #: Key of the organisation; empty without one.
    key: str
    #: Seconds that the caller will wait; None if it did not say.
    patience: float | None
    #: Present on requests for generated text.
    size: PromptSize | None
    #: Event after which the caller wants a broken stream to go on; 0 from the start.
    resume_after: int
    #: Time of arrival in seconds of the event loop's clock.
    arrived_at: float

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.uri.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """What this fleet adds to a request for one attempt."""

    #: Name of the target that is meant.
    target: str
    #: Name of the paying organisation; empty without one.
    organisation: str
    #: Seconds that the target may take.
    remaining: float
    #: Urgency; 0 goes first.
    rank: int
    #: Event after which the stream goes on; 0 from the start.
    resume_after: int
    #: Address of a target from whose memory the start of the prompt is copied; empty
    #: for none.
    copy_from: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a target's answer."""

    #: HTTP status.
    status: int
    #: Headers that concern the caller.
    headers: HTTPHeaders
    #: Identity of the request that it answers; empty if it does not say.
    request_id: str
    #: Whether the target says that it has not run the request.
    is_not_run: bool
    #: Whether the target signed it as its own.
    is_signed: bool
    #: Whether the body is encoded in a way that nobody asked for.
    is_encoded: bool
    #: Whether the target closes the connection after it.
    closes_connection: bool
    #: Whether its end is known only from the end of the connection.
    is_unframed: bool
    #: Seconds that the connection may stay idle; None if the target did not say.
    idle_timeout: float | None

    @property
    def is_success(self) -> bool:
        """Whether the target says that it did what was asked."""
        return 200 <= self.status < 300
