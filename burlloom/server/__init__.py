"""The server process: configuration, logging, request handling and the optional subsystems."""
