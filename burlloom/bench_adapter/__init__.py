"""The adapter between the simulator's wire protocol and the admission decisions."""
