"""Proxies between the hosts of a fleet, which disturb the links of some of them.

A host dials all others at the port of its own. Each host therefore gets a port of its
own, and a proxy listens at that port of every other host.
"""

import asyncio
from dataclasses import dataclass, field

from platform_fleet import PEER_PORT

from bergamotferry_testkit.fault_proxy import FaultProxy, Pair

# Hosts use a range of ports, of which the first is for peers.
PORT_STEP = 20


@dataclass
class HostMesh:
    """The links between all hosts of a fleet, by their IP addresses."""

    hosts: list[str]
    proxy: FaultProxy = field(default_factory=FaultProxy)
    servers: list[asyncio.Server] = field(default_factory=list)

    @property
    def peer_ports(self) -> dict[str, int]:
        """The port for peers of each host, for `Fleet`."""
        return {ip: PEER_PORT + n * PORT_STEP for n, ip in enumerate(self.hosts)}

    async def start(self) -> None:
        """Listen for every host at the addresses of all others."""
        ports = self.peer_ports
        for source in self.hosts:
            for target in self.hosts:
                if source != target:
                    address = f"{target}:{ports[target]}"
                    pair = Pair(source, target, ports[source], address, target)
                    self.servers.append(await self.proxy.listen(pair))

    def disturb(self, host: str, is_both_ways: bool = True, **rule: object) -> None:
        """Apply a rule to all bytes from a host, and to those that it is sent."""
        everyone = self.hosts
        self.proxy.apply({"sources": [host], "targets": everyone, **rule})
        if is_both_ways:
            self.proxy.apply({"sources": everyone, "targets": [host], **rule})

    def heal(self, host: str) -> None:
        """End the delay and the silence of a host's links; held bytes go on."""
        self.disturb(host, delay_ms=0, is_silent=False)

    def reset(self, host: str) -> None:
        """Abort all connections of a host to others."""
        for other in self.hosts:
            self.proxy.reset(host, other)

    async def stop(self) -> None:
        """Stop listening, and close what is open."""
        for server in self.servers:
            server.close()
        for host in self.hosts:
            self.reset(host)
        await asyncio.sleep(0)
