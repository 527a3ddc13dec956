"""burlloom: an overload controller that runs inside each server of a fleet.

It decides which requests the server admits, starts and rejects, and which downstream calls it
makes.
"""
