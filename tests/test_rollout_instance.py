"""Transition table of an instance, over all sequences of four inputs."""

from itertools import product

from burlloom.rollout.instance import (
    RULES,
    InputContext,
    Instance,
    InstanceInput,
    InstanceState,
    apply_input,
)


def test_an_instance_that_left_counts_until_it_returns_or_is_retired() -> None:
    """Also checks that the sequences reach each state and input of the table."""
    reached = set()
    for inputs in product(InstanceInput, repeat=4):
        instance, incarnation = Instance(InstanceState.IN, incarnation=1), 1
        for step, received in enumerate(inputs):
            incarnation += received is InstanceInput.SEEN
            for is_downstream in (False, True):
                context = InputContext(step, incarnation, 0, True, True, is_downstream)
                for test, *_ in RULES.get((instance.state, received), ()):
                    if test(instance, context):
                        reached.add((instance.state, received))
                        break
            before = instance
            moved = apply_input(instance, received, InputContext(step, incarnation, 0, True, True))
            if moved is not None:
                instance = moved[0]
            if before.is_sent_out and not instance.is_out:
                assert received is InstanceInput.RETIRE, inputs
            if before.state is InstanceState.OUT and instance.state is InstanceState.BACK:
                is_restarted = instance.incarnation > before.left_incarnation
                assert received is InstanceInput.DRAIN_ENDED or is_restarted
    assert reached == set(RULES)
