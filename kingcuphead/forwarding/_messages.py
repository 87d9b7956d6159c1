"""Types for a caller's request and for a target's answer to one attempt."""

import enum
import http

from tornado.httputil import HTTPHeaders

from kingcuphead.frozen import frozen
from kingcuphead.permits import TargetTerms

#: Statuses that tell callers of this fleet that a request hasn't run and never will. A
#: target's status alone doesn't: it has to state "not run" by a header, too, except for
#: 421.
NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

#: Largest token count that a request has; a larger number counts as this one. No
#: target's memory holds as many tokens, and the sum of a million such counts still fits
#: into the 64 bits of a number in a message between daemons.
MAX_TOKENS = 2**31 - 1
#: Largest id of an event; a float, which JSON clients use, represents all ids up to it.
MAX_EVENT_ID = 2**53

_EVENT_STREAM = "text/event-stream"


@frozen
class PromptPart:
    """A part of a prompt that other requests may contain too."""

    #: Identity of the part; equal for equal content.
    name: str
    #: Length in tokens.
    tokens: int


@frozen
class PromptSize:
    """Token counts that bound the cost of a request for generated text.

    Each is at most `MAX_TOKENS`, and the parts are at most as long as the prompt.
    """

    #: Length of the prompt in tokens.
    prompt_tokens: int
    #: Upper bound of the answer in tokens.
    output_tokens: int
    #: Parts of the prompt in order; the last one is specific to the request.
    parts: tuple[PromptPart, ...]

    @property
    def exceeds_all_targets(self) -> bool:
        """Whether a count is so large that no target can run the request."""
        return max(self.prompt_tokens, self.output_tokens) >= MAX_TOKENS


@frozen
class CallerRequest:
    """A complete request as received from a caller."""

    #: Id that the caller gives to this try, not the id of an attempt at a target.
    request_id: str
    #: HTTP method.
    method: str
    #: Path and query, as received.
    uri: str
    #: Value of the Host header.
    host: str
    #: End-to-end headers, without those that only this fleet may set.
    headers: HTTPHeaders
    #: Complete body.
    body: bytes
    #: API key of the organisation; empty without one.
    key: str
    #: Caller timeout in seconds; None if the request sets none.
    timeout: float | None
    #: Token counts of a request for generated text; None for other requests.
    size: PromptSize | None
    #: Id of the last event that the caller already has of a stream that broke; 0 to
    #: begin with the first event.
    resume_after: int
    #: Time of arrival in seconds of the event loop's clock.
    arrived_at: float
    #: Id of the try that brought the first event of the stream that this one resumes;
    #: empty if the caller names none.
    resumed_id: str = ""

    @property
    def stream_id(self) -> str:
        """Id of the try that began the stream: this one, or the one that it resumes.

        Empty if it resumes a stream and names no try.
        """
        return self.resumed_id if self.resume_after else self.request_id

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may contain too.

        The last part is specific to the request.
        """
        return () if self.size is None else self.size.parts[:-1]

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.uri.partition("?")[0]


@frozen
class SendOptions:
    """Values that this fleet adds to the request of one attempt."""

    #: Name of the target that is to run the request.
    target: str
    #: Name of the paying organisation; empty without one.
    organisation: str
    #: Seconds until the request's deadline.
    remaining: float
    #: Priority; 0 is the most urgent.
    rank: int
    #: Id of the last event that the caller has; the stream continues after it. 0 to
    #: begin with the first event.
    resume_after: int
    #: Address of the target to copy the KV cache of the shared prefix from; empty for
    #: no copy.
    copy_from: str = ""


@frozen
class TargetStated:
    """What a target said of itself in an answer that another daemon passed on."""

    #: Name of the target.
    target: str
    #: Whether it is about to shut down.
    is_leaving: bool
    #: Seconds for which it wants no requests; 0 if it states none.
    pause: float
    #: Start time of its process in Unix milliseconds; 0 from a daemon of an earlier
    #: release.
    started_at_ms: int = 0


class AnswerIdentity(enum.StrEnum):
    """Which request the id in an answer names."""

    #: The request that was sent last on the connection.
    OWN = "own"
    #: Another request.
    OTHER = "other"
    #: The answer has no id.
    MISSING = "none"


@frozen
class AnswerHead:
    """Status and headers of a target's answer."""

    #: HTTP status.
    status: int
    #: End-to-end headers, which are passed on to the caller.
    headers: HTTPHeaders
    #: Id of the request that is answered; empty if the header is missing.
    request_id: str
    #: Whether the target states that it has not run the request.
    is_not_run: bool
    #: Whether the target sealed the answer as its own.
    is_signed: bool
    #: Whether the body has a content encoding, which no request accepts.
    is_encoded: bool
    #: Whether the target closes the connection after the answer.
    closes_connection: bool
    #: Whether the end of the body is marked only by the end of the connection.
    is_unframed: bool
    #: Seconds that the target keeps the connection idle; None if it states none.
    idle_timeout: float | None
    #: Whether the target states that it is about to shut down.
    is_leaving: bool = False
    #: Seconds for which the target wants no requests; None if it states none.
    retry_after: float | None = None
    #: What the target states about the requests that it accepts.
    terms: TargetTerms = TargetTerms()
    #: Seconds for which the target stays cold; None if it doesn't state them.
    cold_left: float | None = None
    #: Whether it states "not run" with a status that doesn't allow this statement.
    is_contradictory: bool = False
    #: Whether the answer has a body, if an empty one.
    has_body: bool = True
    #: Length that an answer without a body states for that of a GET request; None if it
    #: states none.
    stated_length: int | None = None

    def identify(self, request: CallerRequest) -> AnswerIdentity:
        """Return whether the answer names the request that was sent."""
        if not self.request_id:
            return AnswerIdentity.MISSING
        if self.request_id == request.request_id:
            return AnswerIdentity.OWN
        return AnswerIdentity.OTHER

    @property
    def is_misdirected(self) -> bool:
        """Whether the target is not the one that the request was meant for."""
        return self.status == http.HTTPStatus.MISDIRECTED_REQUEST

    @property
    def is_unconfirmed_refusal(self) -> bool:
        """Whether to callers the status means "not run" without its saying so."""
        return self.status in NOT_RUN_STATUSES and not self.is_not_run

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx class."""
        return 200 <= self.status < 300

    @property
    def is_stream(self) -> bool:
        """Whether the answer may contain events; a missing content type is accepted."""
        content_type = self.headers.get("Content-Type", _EVENT_STREAM)
        media_type = content_type.partition(";")[0].strip().lower()
        return self.status == http.HTTPStatus.OK and media_type == _EVENT_STREAM
