"""Carrying configuration: versioned, ordered, sealed changes from control machines to every server."""
