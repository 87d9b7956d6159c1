"""The chat completions API as a stand-in engine speaks it."""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec

#: Header that names the organisation a request is made for.
ORGANISATION_HEADER = "X-Organisation"
#: Header that carries the request id.
REQUEST_ID_HEADER = "X-Request-Id"
#: Bytes of text that make one token.
BYTES_PER_TOKEN = 4
#: Tokens that the chat template adds for each message.
TEMPLATE_TOKENS = 4
#: Hexadecimal digits of the digest that an answer starts with.
DIGEST_DIGITS = 16


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message whose content is a list."""

    #: Text of the part; other kinds of parts are ignored.
    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """One message of the conversation."""

    #: Who speaks.
    role: str
    #: What is said.
    content: str | tuple[ContentPart, ...] | None = None

    @property
    def text(self) -> str:
        """The content as one string."""
        if isinstance(self.content, tuple):
            return "".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(msgspec.Struct, frozen=True):
    """What a stream reports besides its text."""

    #: Whether a last chunk gives the usage.
    include_usage: bool = False
    #: Whether every chunk gives the usage so far.
    continuous_usage_stats: bool = False


class ChatRequest(msgspec.Struct, frozen=True):
    """A request; fields that the stand-in has no use for are ignored."""

    #: Model or adapter to run.
    model: str
    #: The conversation.
    messages: tuple[Message, ...]
    #: Most tokens to generate.
    max_tokens: int | None = None
    #: Newer name of `max_tokens`, which it overrides.
    max_completion_tokens: int | None = None
    #: Whether to stream the answer.
    stream: bool = False
    #: What the stream reports.
    stream_options: StreamOptions | None = None
    #: Scheduling priority; lower numbers go first.
    priority: int = 0

    @property
    def prompt(self) -> str:
        """The conversation as one string."""
        return "".join(f"{m.role}\n{m.text}\n" for m in self.messages)

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt, template included."""
        return sum(_count_tokens(message) for message in self.messages)

    @property
    def token_limit(self) -> int | None:
        """Most tokens to generate, or None for the engine's own limit."""
        return self.max_completion_tokens or self.max_tokens


class Usage(msgspec.Struct, frozen=True):
    """Tokens that a request used."""

    #: Tokens of the prompt.
    prompt_tokens: int
    #: Tokens generated.
    completion_tokens: int
    #: Sum of both.
    total_tokens: int


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The text that a chunk adds."""

    #: Who speaks; set in the first chunk.
    role: str | None = None
    #: The text.
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """The one choice of a chunk."""

    #: Text added.
    delta: Delta
    #: Why the answer ended, in its last chunk.
    finish_reason: str | None = None
    #: Number of the choice.
    index: int = 0


class Chunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a stream."""

    #: Completion id.
    id: str
    #: Model that runs.
    model: str
    #: The choice, or nothing in the chunk that only gives the usage.
    choices: tuple[ChunkChoice, ...]
    #: Tokens used, where asked for.
    usage: Usage | None = None
    #: Seconds since the epoch.
    created: int
    #: Kind of object.
    object: str


class AnswerMessage(msgspec.Struct, frozen=True):
    """The text of a whole answer."""

    #: The text.
    content: str
    #: Who speaks.
    role: str = "assistant"


class AnswerChoice(msgspec.Struct, frozen=True):
    """The one choice of a whole answer."""

    #: The text.
    message: AnswerMessage
    #: Why the answer ended.
    finish_reason: str
    #: Number of the choice.
    index: int = 0


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    #: Completion id.
    id: str
    #: Model that ran.
    model: str
    #: The choice.
    choices: tuple[AnswerChoice, ...]
    #: Tokens used.
    usage: Usage | None
    #: Seconds since the epoch.
    created: int
    #: Kind of object.
    object: str = "chat.completion"


def digest_prompt(prompt: str) -> str:
    """Return the digest that the answer to a prompt starts with.

    Parameters
    ----------
    prompt : str
        The conversation as `ChatRequest.prompt` gives it.
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_DIGITS]


def digest_messages(messages: Iterable[Message]) -> str:
    """Return the digest that the answer to a conversation starts with."""
    return digest_prompt(ChatRequest("", tuple(messages)).prompt)


def compose_answer(prompt: str, length: int) -> Iterator[str]:
    """Yield the tokens of the answer, which differ from prompt to prompt.

    Parameters
    ----------
    prompt : str
        The conversation as `ChatRequest.prompt` gives it.
    length : int
        Number of tokens.
    """
    digest = digest_prompt(prompt)
    if length > 0:
        yield digest
    for position in range(1, length):
        yield f" {digest[position % DIGEST_DIGITS]}{position}"


def _count_tokens(message: Message) -> int:
    size = len(message.text.encode())
    return TEMPLATE_TOKENS + -(-size // BYTES_PER_TOKEN)
