"""The store of record: which requests that must not run twice have run, kept through crashes.

`request_lifecycle`, `circuit_breaker`, `rows` and `recovery_rules` decide and do no I/O. `sqlite`
and `postgres` store; `coordinator` puts them together; `sqlite_admin` and `postgres_admin` are the
operator's. The package is imported only where an operator's file asks for a record.
"""
