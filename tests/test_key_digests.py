"""Compares the packed set of key digests with a dictionary."""

from hypothesis import given
from hypothesis import strategies as st

from burlloom.dispatcher.key_digests import PackedKeyDigests

KEY_DIGESTS = st.binary(min_size=16, max_size=16)
# Evenly distributed digests and clustered ones: the estimated position may be wrong by any amount,
# which may only cost search steps.
UNEVEN_KEY_DIGESTS = st.one_of(
    KEY_DIGESTS,
    st.integers(0, 40).map(lambda n: bytes(15) + bytes([n])),
    st.integers(0, 40).map(lambda n: b"\xff" * 15 + bytes([n])),
)


@given(
    st.dictionaries(UNEVEN_KEY_DIGESTS, st.integers(1, 1 << 62), max_size=200),
    st.lists(UNEVEN_KEY_DIGESTS, max_size=40),
)
def test_packed_set_returns_the_same_window_ends_as_a_dictionary(
    window_ends: dict[bytes, int], other_digests: list[bytes]
) -> None:
    packed = PackedKeyDigests(window_ends.items())
    assert len(packed) == len(window_ends)
    assert packed.last_window_end_ns == max(window_ends.values(), default=0)
    for key_digest in [*window_ends, *other_digests]:
        assert packed.window_end_ns(key_digest) == window_ends.get(key_digest, 0)
