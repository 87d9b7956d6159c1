"""Numbers in texts that other processes wrote."""

import re

_DIGITS = re.compile(r"[0-9]+")
_DECIMAL = re.compile(r"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")


def parse_count(text: str, largest: int) -> int:
    """Return a whole number; `largest` for any number beyond it.

    Unlike `int`, it accepts ASCII digits only, and as many of them as there are.

    Parameters
    ----------
    text
        Digits, with or without white space around them.
    largest
        End of the range of the result, which begins with 0.

    Raises
    ------
    ValueError
        The text isn't a whole number.
    """
    digits = text.strip()
    if _DIGITS.fullmatch(digits) is None:
        raise ValueError(f"not a whole number: {text[:40]!r}")
    significant = digits.lstrip("0")
    if len(significant) > len(str(largest)):
        return largest
    return min(int(significant or "0"), largest)


def parse_decimal(text: str) -> float | None:
    """Return a non-negative number in decimal digits.

    Returns
    -------
    float | None
        The number, infinite if it is beyond the range of a float; None if the text
        isn't one, as `inf`, `nan` and `1_0` aren't.
    """
    digits = text.strip()
    if _DECIMAL.fullmatch(digits) is None:
        return None
    return float(digits)
