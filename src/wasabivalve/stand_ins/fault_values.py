"""Define the types of fault settings with their bounds."""

from typing import Annotated

import msgspec

# Longer waits overflow the timers of threads.
MAX_DURATION_MS = 86_400_000.0
MAX_FACTOR = 1_000_000.0

Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Factor = Annotated[float, msgspec.Meta(gt=0, le=MAX_FACTOR)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Level = Annotated[float, msgspec.Meta(ge=0)]
