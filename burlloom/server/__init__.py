"""The program: its configuration, its log, and how its parts are put together."""
