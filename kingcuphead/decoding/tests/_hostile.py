"""Makes hostile variants of the content of rows."""

import json
import random

#: Depths of nested content; a decoder's recursion ends at about a thousand.
DEPTHS = (900, 1_500, 100_000)
NUMBERS = (
    *("-1", "0", "1.5", "1e400", "-0.0", "true", "null", "NaN"),
    *(str(2**31), str(2**53 + 1), str(2**64), "9" * 400, "9" * 5_000),
)
TEXTS = (
    *('""', '"\\u0000"', '"a\\u0000b:80"', '"\\ud800"', '"..:80"', '":80"'),
    *('"127.0.0.1:0"', '"127.0.0.1:70000"', f'"127.0.0.1:{"9" * 99}"'),
    *(f'"127.0.0.1:{"9" * 5_000}"', '"127.0.0.1:8\u0662"', '"localhost:80"'),
    *(f'"{"a" * 70_000}:80"', '"1.2.3.4.5:80"', '"[::1]:80"', '"127.0.0.1"'),
)
BYTES = (b"", b"\xff\xfe", b"[]", b"null", b'"', b"{", b"\x00" * 100, b"1" * 100_000)


def nest(depth, kind):
    opening, closing = ("[", "]") if kind == "list" else ('{"a":', "}")
    inner = "" if kind == "list" else "1"
    return opening * depth + inner + closing * depth


def make_hostile_value(rng):
    """Return a value as JSON that a writer of rows may send in place of any other."""
    match rng.randrange(3):
        case 0:
            return nest(rng.choice(DEPTHS), rng.choice(("list", "object")))
        case 1:
            return rng.choice(NUMBERS)
    return rng.choice(TEXTS)


def make_hostile_rows(valid, seed, count):
    """Yield variants of a valid row: one field replaced or added, or broken bytes."""
    rng = random.Random(seed)
    fields = {key: json.dumps(value) for key, value in json.loads(valid).items()}
    for _ in range(count):
        if rng.random() < 0.1:
            yield rng.choice(BYTES)
            continue
        name = rng.choice([*fields, "unknown"])
        changed = {**fields, name: make_hostile_value(rng)}
        text = ",".join(f'"{key}":{value}' for key, value in changed.items())
        content = f"{{{text}}}".encode("utf-8", "surrogatepass")
        if rng.random() < 0.1:
            content = content[: rng.randrange(len(content))]
        yield content
