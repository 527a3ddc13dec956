"""Requests over MessagePack-RPC: the listener, its connections and their frames."""

from .front import Front
from .requests import IncomingRequest, Known

__all__ = ["Front", "Known", "IncomingRequest"]
