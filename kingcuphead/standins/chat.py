"""Chat completions API of the stand-in engine: data types, tokens and answers."""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec

#: Request header with the name of the organisation that a request belongs to.
ORGANISATION_HEADER = "X-Organisation"
#: Request header with the request id.
REQUEST_ID_HEADER = "X-Request-Id"
#: Bytes of UTF-8 text in one token.
BYTES_PER_TOKEN = 4
#: Number of tokens that the chat template adds to each message.
TEMPLATE_TOKENS = 4
#: Length of a prompt digest in hexadecimal digits.
DIGEST_DIGITS = 16


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message whose content is a list."""

    #: Text of the part; empty for images and other parts without text.
    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    #: Role of the author, such as `user`.
    role: str
    #: Text, or a list of content parts; None for a message without text.
    content: str | tuple[ContentPart, ...] | None = None

    @property
    def text(self) -> str:
        """The text of the content, with parts concatenated."""
        if isinstance(self.content, tuple):
            return "".join(part.text for part in self.content)
        return self.content or ""


class StreamOptions(msgspec.Struct, frozen=True):
    """Options for usage reports in a stream."""

    #: Whether a final chunk without choices reports the usage.
    include_usage: bool = False
    #: Whether every chunk reports the usage so far.
    continuous_usage_stats: bool = False


class ChatRequest(msgspec.Struct, frozen=True):
    """A chat completion request; unsupported fields are ignored."""

    #: Name of the model or adapter.
    model: str
    #: Messages of the conversation, oldest first.
    messages: tuple[Message, ...]
    #: Maximum number of tokens to generate.
    max_tokens: int | None = None
    #: Replacement of `max_tokens` in newer API versions; takes precedence.
    max_completion_tokens: int | None = None
    #: Whether to stream the answer.
    stream: bool = False
    #: Options of the stream; None for the defaults.
    stream_options: StreamOptions | None = None
    #: Scheduling priority; lower numbers are served first.
    priority: int = 0

    @property
    def prompt(self) -> str:
        """The roles and texts of all messages as one string."""
        return "".join(f"{m.role}\n{m.text}\n" for m in self.messages)

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens, including those of the chat template."""
        return sum(_count_tokens(message) for message in self.messages)

    @property
    def token_limit(self) -> int | None:
        """Maximum number of tokens to generate, or None for the engine's default."""
        return self.max_completion_tokens or self.max_tokens


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a request."""

    #: Number of prompt tokens.
    prompt_tokens: int
    #: Number of generated tokens.
    completion_tokens: int
    #: Sum of prompt and generated tokens.
    total_tokens: int


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Text that a chunk appends to the answer."""

    #: Role `assistant` in the first chunk, else None.
    role: str | None = None
    #: Text of one token; None in the final chunk.
    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk."""

    #: Appended text.
    delta: Delta
    #: `stop` or `length` in the chunk that ends the answer, else None.
    finish_reason: str | None = None
    #: Index of the choice; always 0.
    index: int = 0


class Chunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a streamed answer."""

    #: Id of the completion.
    id: str
    #: Name of the model as requested.
    model: str
    #: One choice; empty in the chunk that reports only the usage.
    choices: tuple[ChunkChoice, ...]
    #: Token counts, if the stream options request them.
    usage: Usage | None = None
    #: Creation time in seconds since the epoch.
    created: int
    #: Object type in the OpenAI schema.
    object: str


class AnswerMessage(msgspec.Struct, frozen=True):
    """Message of an answer that is not streamed."""

    #: Text of the answer.
    content: str
    #: Role of the author.
    role: str = "assistant"


class AnswerChoice(msgspec.Struct, frozen=True):
    """The only choice of an answer that is not streamed."""

    #: Message with the text of the answer.
    message: AnswerMessage
    #: `stop` or `length`.
    finish_reason: str
    #: Index of the choice; always 0.
    index: int = 0


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Response body of a chat completion that is not streamed."""

    #: Id of the completion.
    id: str
    #: Name of the model as requested.
    model: str
    #: The only choice.
    choices: tuple[AnswerChoice, ...]
    #: Token counts of the request.
    usage: Usage | None
    #: Creation time in seconds since the epoch.
    created: int
    #: Object type in the OpenAI schema.
    object: str = "chat.completion"


def digest_prompt(prompt: str) -> str:
    """Return the digest with which the answer to a prompt starts.

    Parameters
    ----------
    prompt : str
        Conversation as returned by `ChatRequest.prompt`.
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_DIGITS]


def digest_messages(messages: Iterable[Message]) -> str:
    """Return the digest with which the answer to a conversation starts."""
    return digest_prompt(ChatRequest("", tuple(messages)).prompt)


def compose_answer(prompt: str, length: int) -> Iterator[str]:
    """Yield the tokens of the answer; answers to different prompts differ.

    Parameters
    ----------
    prompt : str
        Conversation as returned by `ChatRequest.prompt`.
    length : int
        Length of the answer in tokens.
    """
    digest = digest_prompt(prompt)
    if length > 0:
        yield digest
    for position in range(1, length):
        yield f" {digest[position % DIGEST_DIGITS]}{position}"


def _count_tokens(message: Message) -> int:
    size = len(message.text.encode())
    return TEMPLATE_TOKENS + -(-size // BYTES_PER_TOKEN)
