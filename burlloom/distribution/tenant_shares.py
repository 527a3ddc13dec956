"""The tenants in force, as a view of the configuration table."""

from collections.abc import Iterator, Mapping

import msgpack

from .table import ConfigTable


class TenantShares(Mapping[str, float]):
    """A live view of the tenants in force, each with its portion of the service.

    A lookup raises `ValueError` for a value that is no map, or whose portion is no number.
    """

    def __init__(self, table: ConfigTable) -> None:
        self.table = table

    def __contains__(self, name: object) -> bool:
        return type(name) is str and self.table.has("tenant", name)

    def __len__(self) -> int:
        return self.table.count("tenant")

    def __iter__(self) -> Iterator[str]:
        return self.table.keys("tenant")

    def __getitem__(self, name: str) -> float:
        value = self.table.get("tenant", name)
        if value is None:
            raise KeyError(name)
        got = msgpack.unpackb(value)
        portion = got.get("portion") if type(got) is dict else None
        if portion is not None and type(portion) not in (int, float):
            raise ValueError(f"portion of {name!r:.40}: {portion!r:.40} is no number")
        return float(portion or 1.0)
