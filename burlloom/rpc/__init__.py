"""Requests over MessagePack-RPC: the listener, its connections, and their wire format."""

from .incoming_request import IncomingRequest, RequestRules
from .listener import RpcListener

__all__ = ["IncomingRequest", "RequestRules", "RpcListener"]
