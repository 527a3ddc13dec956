"""The table of a server's own part, over all sequences of five inputs."""

from itertools import product

from burlloom.rollout.agent import AgentInput, AgentState, DrainAgent


def test_a_server_drains_on_what_the_store_holds_alone() -> None:
    for inputs in product(AgentInput, repeat=5):
        agent = DrainAgent("n", 1)
        for received in inputs:
            before = agent.state
            if agent.apply_input(received) == "drain":
                is_begun = before is AgentState.BEGINNING
                is_written = is_begun and received is AgentInput.WRITE_ACCEPTED
                assert is_written or received is AgentInput.STATE_OUT
