"""The durable record of requests that must not run twice: which of them were claimed or have run.

`request_lifecycle`, `circuit_breaker`, `rows` and `recovery_rules` hold the decisions and do no
I/O. `sqlite` and `postgres` are the stores, `coordinator` connects the decisions to a store, and
`sqlite_admin` and `postgres_admin` implement the operator's commands. The package is imported only
if the operator's file configures a record.
"""
