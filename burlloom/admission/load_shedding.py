"""Pressure, and the priority floor that follows from it.

Inputs: the share rejected, the lag of reading, the use of the cores, whether calls are queued; all
once a timer round. Rules:

* pressure (0 to 1) moves each round by `PRESSURE_GAIN` of the strain less `STRAIN_TARGET`. The
  strain is the larger of the share rejected and the lag of reading, times the cube of the use of
  the cores. Reason: on few cores chance alone rejects a part while much of them is idle.
* the pressure of queued calls grows by the share rejected while calls are queued, and falls at
  once when none is. Reason: cores idle then, so the pressure stays 0, and what is worth least would
  take as many calls as the rest.
* the priority floor is the larger of both, as a part of all priorities below those of the class of
  the highest value, which stays above it. Units: priorities are 0 to 1.
"""

from .arrival_statistics import ArrivalStatistics
from .model import Gauges, ServerSettings

__all__ = ["LoadShedding"]

PRESSURE_GAIN = 0.07
STRAIN_TARGET = 0.1
CPU_EXPONENT = 3
CALL_PRESSURE_DECAY = 0.7


class LoadShedding:
    """The pressure on the server.

    Attributes:
        pressure: 0 to 1.
        call_pressure: that of queued calls, 0 to 1.
    """

    __slots__ = ("_arrivals", "_highest_floor", "call_pressure", "pressure")

    def __init__(
        self, settings: ServerSettings, arrivals: ArrivalStatistics, speed_share: float
    ) -> None:
        """Begins with as much pressure as a cold server lacks in speed.

        Args:
            settings: of the server.
            arrivals: for the share rejected and the lag of reading.
            speed_share: the server's speed as a share of that of a warm one.
        """
        self._arrivals = arrivals
        values = {request_class.value for request_class in settings.request_classes}
        self._highest_floor = 1 - 1 / len(values)
        self.pressure = 1 - speed_share
        self.call_pressure = 0.0

    def priority_floor(self) -> float:
        """The priority below which requests are shed first, 0 to 1."""
        return max(self.pressure, self.call_pressure) * self._highest_floor

    def update(self, now: int, gauges: Gauges) -> None:
        """Moves the pressure; once a timer round at `now` (ns)."""
        rejected_share = self._arrivals.rejected_share(now)
        overload = min(1.0, max(rejected_share, self._arrivals.read_lag_share(now)))
        strain = overload * abs(gauges.cpu_utilization) ** CPU_EXPONENT
        moved = self.pressure + PRESSURE_GAIN * (strain - STRAIN_TARGET)
        self.pressure = max(0.0, min(1.0, moved))

    def update_call_pressure(self, now: int, has_queued_calls: bool) -> None:
        """Moves the pressure of queued calls; once a timer round at `now` (ns)."""
        if has_queued_calls:
            more = self.call_pressure + PRESSURE_GAIN * self._arrivals.rejected_share(now)
            self.call_pressure = min(1.0, more)
        else:
            self.call_pressure *= CALL_PRESSURE_DECAY
