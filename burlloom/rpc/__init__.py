"""Requests over MessagePack-RPC: the listener, its connections and their frames."""

from .incoming_request import IncomingRequest, RequestRules
from .listener import RpcListener

__all__ = ["RpcListener", "RequestRules", "IncomingRequest"]
