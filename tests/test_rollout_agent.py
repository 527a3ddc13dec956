"""Transition table of a server's drain agent, over all sequences of five inputs."""

from itertools import product

from burlloom.rollout.agent import AgentInput, AgentState, DrainAgent


def test_a_server_drains_only_on_a_step_that_the_store_holds() -> None:
    for inputs in product(AgentInput, repeat=5):
        agent = DrainAgent("n", 1)
        for received in inputs:
            before = agent.state
            if agent.apply_input(received) == "drain":
                was_beginning = before is AgentState.BEGINNING
                is_written = was_beginning and received is AgentInput.WRITE_ACCEPTED
                assert is_written or received is AgentInput.STATE_OUT
