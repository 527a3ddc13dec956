"""What is counted and told of messages that were refused, on either side. No I/O."""

MAX_REASONS, MAX_PENDING_REFUSALS = 64, 32  # that are counted apart; that wait for the host's log


def count_refusal(refused: dict[str, int], reason: str) -> str:
    """Counts it by its reason, or with all others past so many; what it was counted as."""
    if reason not in refused and len(refused) >= MAX_REASONS:
        reason = "other reasons"
    refused[reason] = refused.get(reason, 0) + 1
    return reason
