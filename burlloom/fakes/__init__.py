"""Stand-ins for what a burlloom server talks to, written from published protocols, on loopback.

For the demonstration, the toy and the tests: the server imports none of them. `parts` holds
executor, catalogue, name service and balancer, `postgres` a database that speaks PostgreSQL's
frontend/backend protocol.
"""
