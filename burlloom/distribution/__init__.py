"""Carrying configuration to a fleet."""
