"""SQL literals of values."""

import math
from decimal import Decimal

Value = int | float | Decimal | str | bytes | None

# Decimals whose exponent reaches this, positive or negative, stay in scientific
# notation, so that a short parameter cannot produce a huge statement.
MAX_PLAIN_EXPONENT = 100

_ESCAPES = str.maketrans({"\\": "\\\\", "'": "''", "\0": "\\0", "\x1a": "\\Z"})


def literal(value: Value) -> str:
    """Return the literal of a value in MySQL's default SQL mode.

    Negative numbers get a leading space: ``a -?`` must not turn into ``a --5``,
    which some servers read as a comment.
    """
    if value is None:
        return "NULL"
    if isinstance(value, str):
        return f"'{value.translate(_ESCAPES)}'"
    if isinstance(value, bytes):
        return f"x'{value.hex()}'"
    if isinstance(value, float):
        if not math.isfinite(value):
            raise ValueError("a floating-point value must be finite")
        text = repr(value)
        text = text if "e" in text else text + "e0"
    else:
        text = str(value)
        if "E" in text and abs(Decimal(value).adjusted()) < MAX_PLAIN_EXPONENT:
            text = format(value, "f")
    return f" {text}" if text.startswith("-") else text
