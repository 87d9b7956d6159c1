"""Callers of a local fleet, who check the answers that they get."""

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from kingcuphead.localfleet._client import LocalClient
from kingcuphead.localfleet._plan import DaemonPlan
from kingcuphead.localfleet._records import LocalOrganisation
from kingcuphead.standins.chat import Message, digest_messages

#: Model that callers ask for unless they say otherwise.
DEFAULT_MODEL = "plan-review"
_DONE = "[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """A chat request that a caller sends."""

    #: The organisation.
    organisation: LocalOrganisation
    #: Request id.
    request_id: str
    #: The prompt.
    prompt: str
    #: Most output tokens.
    max_tokens: int = 16
    #: Whether the answer is streamed.
    stream: bool = False
    #: Work class, "" for the organisation's default.
    work_class: str = ""
    #: Model.
    model: str = DEFAULT_MODEL

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the request."""
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
        """Body of the request."""
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
        """What the stand-in engine's answer to this prompt starts with."""
        return digest_messages((Message("user", self.prompt),))


@dataclasses.dataclass(frozen=True, slots=True)
class ChatResult:
    """What a caller got."""

    #: HTTP status, 599 if the connection broke.
    status: int
    #: Text of the answer.
    text: str
    #: Whether the answer came whole.
    whole: bool
    #: Verdict of a refusal, "" for none.
    execution: str = ""
    #: Reason of a refusal, "" for none.
    reason: str = ""
    #: The header Retry-After, "" for none.
    retry_after: str = ""
    #: Whether a stream ended with the mark of a whole answer.
    done: bool = False

    def is_mixed_up(self, call: ChatCall) -> bool:
        """Return whether the answer belongs to another request."""
        return bool(self.text) and not self.text.startswith(
            call.digest[: len(self.text)]
        )


async def send_chat(
    client: LocalClient, daemon: DaemonPlan, call: ChatCall
) -> ChatResult:
    """Send a chat request and read the answer to its end."""
    url = f"{daemon.caller_url}/v1/chat/completions"
    blocks: list[bytes] = []
    reply = await client.request("POST", url, call.headers, call.body, blocks.append)
    body = b"".join(blocks)
    retry_after = reply.headers.get("Retry-After", "")
    if call.stream and reply.status == 200:
        return _read_stream(body, retry_after)
    return _read_body(reply.status, body, retry_after)


def _read_body(status: int, body: bytes, retry_after: str) -> ChatResult:
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ChatResult(status, "", False)
    if "error" in decoded:
        return _make_refusal(status, decoded["error"], "", retry_after)
    text = decoded["choices"][0]["message"]["content"]
    return ChatResult(status, text, whole=True)


def _read_stream(body: bytes, retry_after: str) -> ChatResult:
    text = ""
    refusal: ChatResult | None = None
    done = False
    for payload in _iterate_payloads(body):
        if payload == _DONE:
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
    """Place an order that must not be doubled."""
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
