"""Serves requests over MessagePack-RPC: listener, connections and wire format."""

from .incoming_request import IncomingRequest, RequestRules
from .listener import RpcListener
from .wire import max_request_age_ns

__all__ = ["IncomingRequest", "RequestRules", "RpcListener", "max_request_age_ns"]
