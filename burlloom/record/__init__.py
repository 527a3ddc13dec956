"""The store of record: which txns that must not run twice have run, kept through crashes.

`fate`, `budget`, `rows` and `recovery` decide and do no I/O; `sqlite` and `postgres` store;
`keeper` puts them together; `admin` and `fleet` are the operator's. Imported only where an
operator's file asks for a record.
"""
