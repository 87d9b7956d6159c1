"""Requests of callers to a local fleet and checks of their answers."""

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from kingcuphead.localfleet._client import LocalClient
from kingcuphead.localfleet._plan import DaemonPlan
from kingcuphead.localfleet._records import LocalOrganisation
from kingcuphead.standins.chat import Message, digest_messages

#: Model of a chat request that names none.
DEFAULT_MODEL = "plan-review"
_DONE_MARKER = "[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """Chat request of a caller."""

    #: Organisation whose bearer key authenticates the request.
    organisation: LocalOrganisation
    #: Value of the header `X-Request-Id`; a retry repeats it.
    request_id: str
    #: Content of the only message.
    prompt: str
    #: Maximum number of output tokens.
    max_tokens: int = 16
    #: Whether the answer is requested as a stream of events.
    stream: bool = False
    #: Work class; "" selects the default of the organisation.
    work_class: str = ""
    #: Name of the requested model.
    model: str = DEFAULT_MODEL

    @property
    def headers(self) -> dict[str, str]:
        """HTTP headers of the request."""
        headers = {
            "Authorization": f"Bearer {self.organisation.key}",
            "Content-Type": "application/json",
            "X-Request-Id": self.request_id,
        }
        if self.work_class:
            headers["X-Work-Class"] = self.work_class
        return headers

    @property
    def body(self) -> bytes:
        """JSON body of the request."""
        return msgspec.json.encode(
            {
                "model": self.model,
                "messages": [{"role": "user", "content": self.prompt}],
                "max_tokens": self.max_tokens,
                "stream": self.stream,
            }
        )

    @property
    def digest(self) -> str:
        """Digest of the prompt, which the stand-in engine's answer starts with."""
        return digest_messages((Message("user", self.prompt),))


@dataclasses.dataclass(frozen=True, slots=True)
class ChatResult:
    """Answer or refusal that a caller received."""

    #: HTTP status; 599 if the connection failed.
    status: int
    #: Text of the answer, as far as it was received.
    text: str
    #: Whether the complete answer was received.
    whole: bool
    #: Whether a refused request was executed, for example "not_run"; "" if none.
    execution: str = ""
    #: Reason of a refusal; "" if none.
    reason: str = ""
    #: Value of the header `Retry-After`; "" if absent.
    retry_after: str = ""
    #: Whether a stream contained the end marker `[DONE]`.
    done: bool = False

    def belongs_to_other_request(self, call: ChatCall) -> bool:
        """Return whether the text doesn't start with the digest of the prompt.

        Such an answer was generated for another request.
        """
        return bool(self.text) and not self.text.startswith(
            call.digest[: len(self.text)]
        )


async def send_chat(
    client: LocalClient, daemon: DaemonPlan, call: ChatCall
) -> ChatResult:
    """Send a chat request and return the parsed answer once it has ended."""
    url = f"{daemon.caller_url}/v1/chat/completions"
    chunks: list[bytes] = []
    reply = await client.request("POST", url, call.headers, call.body, chunks.append)
    body = b"".join(chunks)
    retry_after = reply.headers.get("Retry-After", "")
    if call.stream and reply.status == 200:
        return _parse_stream(body, retry_after)
    return _parse_body(reply.status, body, retry_after)


def _parse_body(status: int, body: bytes, retry_after: str) -> ChatResult:
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ChatResult(status, "", False)
    if "error" in decoded:
        return _make_refusal(status, decoded["error"], "", retry_after)
    text = decoded["choices"][0]["message"]["content"]
    return ChatResult(status, text, whole=True)


def _parse_stream(body: bytes, retry_after: str) -> ChatResult:
    text = ""
    refusal: ChatResult | None = None
    done = False
    for payload in _iterate_payloads(body):
        if payload == _DONE_MARKER:
            done = True
            continue
        event = msgspec.json.decode(payload)
        if "error" in event:
            refusal = _make_refusal(200, event["error"], text, retry_after)
            continue
        for choice in event["choices"]:
            text += choice["delta"].get("content") or ""
    if refusal is not None:
        return dataclasses.replace(refusal, done=done)
    return ChatResult(200, text, whole=done, done=done)


def _iterate_payloads(body: bytes) -> Iterator[str]:
    for block in body.decode().split("\n\n"):
        if block.startswith("data: "):
            yield block.removeprefix("data: ")


def _make_refusal(
    status: int, error: dict[str, Any], text: str, retry_after: str
) -> ChatResult:
    return ChatResult(
        status, text, False, error["execution"], error["reason"], retry_after
    )


async def place_order(
    client: LocalClient,
    daemon: DaemonPlan,
    organisation: LocalOrganisation,
    key: str,
    content: bytes,
) -> ChatResult:
    """Place an order with an idempotency key, which must run at most once."""
    headers = {
        "Authorization": f"Bearer {organisation.key}",
        "Idempotency-Key": key,
        "Content-Type": "application/json",
    }
    url = f"{daemon.caller_url}/services/order-desk/orders"
    reply = await client.post(url, content, headers)
    retry_after = reply.headers.get("Retry-After", "")
    if reply.status == 201:
        return ChatResult(reply.status, reply.body.decode(), whole=True)
    try:
        error = msgspec.json.decode(reply.body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ChatResult(reply.status, "", False)
    return _make_refusal(reply.status, error, "", retry_after)
