"""The decisions of one server: what it admits, starts, rejects and calls."""
