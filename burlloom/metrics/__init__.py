"""Counters and histograms of the server, in the Prometheus text format; imported only where
somebody reads them.
"""

from .exposed import Exposed

__all__ = ["Exposed"]
