"""Mapping view of the tenants in the configuration table."""

from collections.abc import Iterator, Mapping

import msgpack

from .table import ConfigTable


class TenantShares(Mapping[str, float]):
    """A live view of the tenants in force, each with its portion of the service.

    A tenant without a portion has 1.0. A lookup raises `ValueError` if the stored value is not
    MessagePack or its portion is not a number.
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
        fields = msgpack.unpackb(value)
        portion = fields.get("portion") if type(fields) is dict else None
        if portion is not None and type(portion) not in (int, float):
            raise ValueError(f"portion of {name!r:.40}: {portion!r:.40} is not a number")
        return float(portion or 1.0)
