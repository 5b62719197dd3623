"""Define the value types of fault settings with their bounds."""

from typing import Annotated

import msgspec

# Longer waits overflow the timers of the threading module.
MAX_DURATION_MS = 86_400_000.0
MAX_FACTOR = 1_000_000.0

DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Factor = Annotated[float, msgspec.Meta(gt=0, le=MAX_FACTOR)]
Probability = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
