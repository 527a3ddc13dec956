"""Stand-ins on loopback for the systems that a burlloom server talks to.

They are written from the published protocols, for the demonstration, the example, the benchmarks
and the tests. The server imports none of them. `parts` has the executor, the catalogue (the
downstream dependency), the name service and the balancer (a caller). `postgres` is a database
server that speaks PostgreSQL's frontend/backend protocol. `relay` and `tcp_proxy` are networks that
lose or hold back data.
"""
