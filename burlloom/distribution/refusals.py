"""Counts refused messages by reason, with a bound on the reasons. No I/O."""

MAX_REASONS, MAX_PENDING_REFUSALS = 64, 32  # that are counted apart; that wait for the host's log


def count_refusal(refused: dict[str, int], reason: str) -> str:
    """Count a refusal and return the reason that it was counted under.

    Past `MAX_REASONS` that is "other reasons".
    """
    if reason not in refused and len(refused) >= MAX_REASONS:
        reason = "other reasons"
    refused[reason] = refused.get(reason, 0) + 1
    return reason
