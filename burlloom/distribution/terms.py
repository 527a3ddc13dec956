"""How often, how long, how many: the bounds of following and of being followed."""

from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in ns, jittered by a tenth where they repeat. `silence`: an upstream that answered is
    given up after it; `knock`: one that never did; `retry`: a request is sent again; `prefer`:
    better upstreams are tried again; `stale`: an upstream whose word is older than that is left for
    a fresher one; `stuck`: a sync without any progress is begun anew elsewhere. `lease`: a follower
    that does not report is forgotten. `page_rate`: bytes/s of pages that one source gives to all;
    `page_burst`: bytes at once.
    """

    beat: int = 1000 * MS
    silence: int = 3000 * MS
    knock: int = 1200 * MS
    retry: int = 400 * MS
    prefer: int = 10_000 * MS
    stale: int = 5000 * MS
    stuck: int = 15_000 * MS
    lease: int = 3000 * MS
    followers_most: int = 400
    page_rate: int = 4_000_000
    page_burst: int = 400_000

    def faults(self) -> list[str]:
        found = [
            f"{name}: {getattr(self, name)}, 1 at least"
            for name in self.__slots__
            if getattr(self, name) < 1
        ]
        if self.retry >= self.silence:
            found.append("retry: not under silence")
        if self.beat >= min(self.silence, self.lease):
            found.append("beat: not under silence and lease")
        return found
