"""Pressure, and the priority floor that follows from it.

Inputs: the rejected share, the read lag, core utilization, whether calls are queued; all read once
each timer round. Rules:

* Pressure (0 to 1) changes each round by `PRESSURE_GAIN` times the difference between the strain
  and `STRAIN_TARGET`. The strain is the larger of the rejected share and the read lag, times the
  cube of core utilization. Reason: with few cores, chance alone causes rejections while many of the
  cores idle.
* Call pressure, the pressure of queued calls, grows by `PRESSURE_GAIN` times the rejected share
  while calls are queued, and decays in each round without queued calls. Reason: the cores idle
  while requests wait for calls, so the pressure stays 0, and the requests of least value would take
  as many calls as the others.
* The priority floor is the larger of both pressures, scaled to the range of priorities below those
  of the class with the highest value, which is never shed by the floor. Priorities are 0 to 1.
"""

from .arrival_statistics import ArrivalStatistics
from .model import Gauges, ServerSettings

__all__ = ["LoadShedding"]

PRESSURE_GAIN = 0.07
STRAIN_TARGET = 0.1
CPU_UTILIZATION_EXPONENT = 3
# Factor per timer round without queued calls.
CALL_PRESSURE_DECAY = 0.7


class LoadShedding:
    """The pressure on the server.

    Attributes:
        pressure: The pressure on the cores, 0 to 1.
        call_pressure: The pressure of queued calls, 0 to 1.
    """

    __slots__ = ("_arrivals", "_highest_floor", "call_pressure", "pressure")

    def __init__(
        self, settings: ServerSettings, arrivals: ArrivalStatistics, speed_share: float
    ) -> None:
        """Starts with a pressure equal to the share of the warm speed that a cold server lacks.

        Args:
            settings: The server's settings.
            arrivals: Measures the rejected share and the read lag.
            speed_share: The server's speed as a share of that of a warm server.
        """
        self._arrivals = arrivals
        values = {request_class.value for request_class in settings.request_classes}
        self._highest_floor = 1 - 1 / len(values)
        self.pressure = 1 - speed_share
        self.call_pressure = 0.0

    def priority_floor(self) -> float:
        """Returns the priority below which requests are shed first, 0 to 1."""
        return max(self.pressure, self.call_pressure) * self._highest_floor

    def update(self, now: int, gauges: Gauges) -> None:
        """Adjusts the pressure; called once each timer round, at `now` (ns)."""
        rejected_share = self._arrivals.rejected_share(now)
        overload = min(1.0, max(rejected_share, self._arrivals.read_lag_share(now)))
        # `abs` turns the -1 of an unmeasured utilization into full utilization.
        strain = overload * abs(gauges.cpu_utilization) ** CPU_UTILIZATION_EXPONENT
        new_pressure = self.pressure + PRESSURE_GAIN * (strain - STRAIN_TARGET)
        self.pressure = max(0.0, min(1.0, new_pressure))

    def update_call_pressure(self, now: int, has_queued_calls: bool) -> None:
        """Adjusts the call pressure; called once each timer round, at `now` (ns)."""
        if has_queued_calls:
            new_pressure = self.call_pressure + PRESSURE_GAIN * self._arrivals.rejected_share(now)
            self.call_pressure = min(1.0, new_pressure)
        else:
            self.call_pressure *= CALL_PRESSURE_DECAY
