"""Serves requests over MessagePack-RPC: listener, connections and wire format."""

from .incoming_request import IncomingRequest, RequestRules
from .listener import RpcListener

__all__ = ["IncomingRequest", "RequestRules", "RpcListener"]
