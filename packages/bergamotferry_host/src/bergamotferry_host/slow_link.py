"""Limits the rate of answers on the slow link between regions."""

import asyncio
from dataclasses import dataclass

from bergamotferry.link_budget import LinkBudget, backlog_s, take_bytes
from bergamotferry.messages import RequestHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import TrafficClass
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .host_state import HostState


@dataclass(slots=True)
class SlowLink:
    """The link of one answer to a peer.

    ``budget`` is None if the peer is in the same region or its address is unknown; the
    rate is then unlimited.
    """

    state: HostState
    budget: LinkBudget | None
    traffic_class: TrafficClass

    @classmethod
    def from_request(cls, state: HostState, peer: str, head: RequestHead) -> "SlowLink":
        """Return the link for the answer to a request that a peer forwarded."""
        traffic_class = traffic_class_of(state, head)
        addresses = state.network.addresses
        own_region = state.host.region
        if peer not in addresses or addresses[peer].region == own_region:
            return cls(state, None, traffic_class)
        if state.dispatchers.link_budget is None:
            n_hosts = sum(row.region == own_region for row in addresses.values())
            state.dispatchers.link_budget = LinkBudget.from_config(
                state.settings.link_mbit_per_s, n_hosts
            )
        return cls(state, state.dispatchers.link_budget, traffic_class)

    def refusal(self, deadline_ms: int) -> Refused | None:
        """Return a refusal for bulk traffic that can't start before its deadline."""
        if self.budget is None or self.traffic_class != "bulk":
            return None
        wait_s = backlog_s(self.budget, now_ns())
        if wait_s * 1000 <= deadline_ms:
            return None
        detail = f"bulk over the link waits {wait_s:.1f} s"
        return Refused(ResultCode.LINK_BUDGET_SPENT, detail)

    async def wait_for_budget(self, size_bytes: int) -> None:
        """Wait until the link budget allows ``size_bytes`` more."""
        if self.budget is None:
            return
        wait_s = take_bytes(self.budget, self.traffic_class, size_bytes, now_ns())
        if wait_s > 0:
            await asyncio.sleep(wait_s)


def traffic_class_of(state: HostState, head: RequestHead) -> TrafficClass:
    """Return the traffic class of the route; "lookup" if the route was withdrawn."""
    route = state.global_tables.routes.get(f"{head.service}/{head.route}")
    return route.traffic_class if route else "lookup"
