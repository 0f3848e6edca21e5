"""Types of fields in the platform's messages, with the limits within which a value is accepted.

A value beyond its limit makes the message invalid, and the error names the field. The limits are
far above any value of the users' sites; they keep numbers that no store or peer could take in out
of the rest of the program.
"""

from typing import Annotated

from msgspec import Meta

__all__ = ["Accelerators", "Amount", "Clock", "Duration", "Integer", "Name", "Number"]

MAX_ACCELERATORS = 1024
MAX_NUMBER = 2**53  # integers up to here are exact in every JSON decoder
MAX_AMOUNT = 1e9
MAX_DURATION_MS = 1e12
MAX_CLOCK_MS = 1e15
MAX_NAME_CHARS = 200

# The number of accelerators of a worker; the program keeps a list with an entry for each of them.
Accelerators = Annotated[int, Meta(ge=0, le=MAX_ACCELERATORS)]
# A number that identifies or orders something, such as a version or the number of a run.
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
# A number that may be negative.
Integer = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# An amount of processors or memory.
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
# A time span, in milliseconds.
Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
# A time on some clock, such as that since the epoch, in milliseconds.
Clock = Annotated[float, Meta(ge=0, le=MAX_CLOCK_MS)]
# A name that may become part of a key, a header or a log line.
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
