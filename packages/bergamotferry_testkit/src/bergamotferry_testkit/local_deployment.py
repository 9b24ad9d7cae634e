"""Starts and stops a deployment on loopback as plain processes.

Only the testkit starts processes. Each process is ended by its own id.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from .deployments import DeploymentShape
from .free_ports import free_ports

OPERATOR_TOKEN = "operator-token-on-loopback"
UPSTREAM_TOKEN = "upstream-token-on-loopback"
PEER_TOKEN = "peer-token-on-loopback"
STOP_TIMEOUT_S = 30.0
HOST_MODULE = "bergamotferry_host.main"


@dataclass(slots=True)
class HostProcess:
    """A host, its addresses, and its process once it was started."""

    name: str
    data_centre: str
    region: str
    peer_address: str
    caller_address: str
    control_address: str
    is_durable: bool
    process: "subprocess.Popen[bytes] | None" = None


@dataclass(slots=True)
class LocalDeployment:
    """A deployment's plan and its processes: hosts, stand-ins and fault proxy."""

    shape: DeploymentShape
    folder: Path
    hosts: list[HostProcess]
    stand_ins: dict[str, "subprocess.Popen[bytes]"] = field(default_factory=dict)
    stand_in_specs: dict[str, list[str]] = field(default_factory=dict)
    archive_bytes: int = 1 << 20
    cold_s: float = 0.0
    environment: dict[str, str] = field(default_factory=dict)
    proxy_ports: dict[tuple[str, str], int] = field(default_factory=dict)
    proxy_control_port: int = 0
    has_capture: bool = False
    proxy: "subprocess.Popen[bytes] | None" = None
    host_module: str = HOST_MODULE

    @classmethod
    def from_config(
        cls,
        shape: DeploymentShape,
        folder: Path,
        archive_bytes: int = 1 << 20,
        has_proxy: bool = False,
    ) -> "LocalDeployment":
        """Plan a deployment on free ports without starting it.

        With ``has_proxy``, every link between two hosts goes through the fault proxy.
        """
        folder.mkdir(parents=True, exist_ok=True)
        n_data_centres = sum(len(names) for names in shape.regions.values())
        n_hosts = n_data_centres * shape.n_hosts_per_data_centre
        n_upstreams = sum(service.n_upstreams for service in shape.services)
        n_links = n_hosts * (n_hosts - 1) + 1 if has_proxy else 0
        ports = free_ports(3 * n_hosts + n_upstreams + n_links)
        hosts: list[HostProcess] = []
        for region, data_centres in shape.regions.items():
            for data_centre in data_centres:
                for number in range(1, shape.n_hosts_per_data_centre + 1):
                    addresses = [f"127.0.0.1:{ports.pop()}" for _ in range(3)]
                    hosts.append(
                        HostProcess(
                            f"{data_centre}-{number}",
                            data_centre,
                            region,
                            addresses[0],
                            addresses[1],
                            addresses[2],
                            number == 1,
                        )
                    )
        deployment = cls(shape, folder, hosts, archive_bytes=archive_bytes)
        deployment.stand_in_specs = _plan_stand_ins(shape, ports)
        if has_proxy:
            deployment.proxy_control_port = ports.pop()
            names = [host.name for host in hosts]
            deployment.proxy_ports = {
                (source, target): ports.pop()
                for source in names
                for target in names
                if source != target
            }
        return deployment

    def hosts_of(self, data_centre: str) -> list[HostProcess]:
        """Return the hosts of a data centre."""
        return [host for host in self.hosts if host.data_centre == data_centre]

    def start_host(self, host: HostProcess, is_bootstrap: bool = False) -> None:
        """Start a host's process."""
        seeds = " ".join(self._seed_text(host, seed) for seed in self.hosts)
        arguments = ["--host-name", host.name, "--seeds", seeds]
        arguments += ["--caller-address", host.caller_address]
        arguments += ["--control-address", host.control_address]
        if host.is_durable:
            arguments += ["--data-dir", str(self.folder / host.name)]
        if is_bootstrap:
            arguments.append("--bootstrap")
        environment = {
            **os.environ,
            "BERGAMOTFERRY_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "BERGAMOTFERRY_UPSTREAM_TOKEN": UPSTREAM_TOKEN,
            "BERGAMOTFERRY_PEER_TOKEN": PEER_TOKEN,
            **self.environment,
        }
        host.process = self._start(
            host.name, ["-m", self.host_module, *arguments], environment
        )

    def start_stand_ins(self, data_centre: str) -> None:
        """Start the process that runs a data centre's stand-ins."""
        controls = ",".join(host.control_address for host in self.hosts_of(data_centre))
        arguments = ["-m", "bergamotferry_testkit.stand_in"]
        arguments += ["--data-centre", data_centre, "--controls", controls]
        arguments += ["--token", UPSTREAM_TOKEN]
        arguments += ["--records", str(self.records_path(data_centre))]
        arguments += ["--archive-bytes", str(self.archive_bytes)]
        arguments += ["--cold-s", str(self.cold_s)]
        arguments += ["--upstreams", " ".join(self.stand_in_specs[data_centre])]
        self.stand_ins[data_centre] = self._start(
            f"stand-ins-{data_centre}", arguments, dict(os.environ)
        )

    @property
    def capture_folder(self) -> Path:
        """Folder of all bytes relayed between hosts, if ``has_capture`` is set."""
        return self.folder / "capture"

    def records_path(self, data_centre: str) -> Path:
        """Return the file in which a data centre's stand-ins record runs."""
        return self.folder / f"records-{data_centre}.jsonl"

    def start(self) -> None:
        """Start every process of a new deployment."""
        if self.proxy_ports:
            self._start_proxy()
        for host in self.hosts:
            self.start_host(host, is_bootstrap=True)
        for data_centre in self.stand_in_specs:
            self.start_stand_ins(data_centre)

    def stop(self) -> None:
        """Stop every process gracefully, and kill those that do not stop in time."""
        hosts = [host.process for host in self.hosts if host.process is not None]
        stop_processes(hosts)
        stop_processes(list(self.stand_ins.values()))
        if self.proxy is not None:
            stop_processes([self.proxy])

    def _start_proxy(self) -> None:
        addresses = {host.name: host.peer_address for host in self.hosts}
        pairs = [
            [source, target, port, addresses[target]]
            for (source, target), port in self.proxy_ports.items()
        ]
        path = self.folder / "pairs.json"
        path.write_text(json.dumps(pairs))
        arguments = ["-m", "bergamotferry_testkit.fault_proxy", "--pairs", str(path)]
        arguments += ["--control-port", str(self.proxy_control_port)]
        if self.has_capture:
            self.capture_folder.mkdir()
            arguments += ["--capture", str(self.capture_folder)]
        self.proxy = self._start("proxy", arguments, dict(os.environ))

    def _seed_text(self, reader: HostProcess, host: HostProcess) -> str:
        """Return the seed of a host for ``reader``, with the proxy's address if any."""
        port = self.proxy_ports.get((reader.name, host.name))
        address = f"127.0.0.1:{port}" if port else host.peer_address
        spec = f"{host.name},{host.data_centre},{host.region},{address}"
        return f"{spec},durable" if host.is_durable else spec

    def _start(
        self, name: str, arguments: Sequence[str], environment: dict[str, str]
    ) -> "subprocess.Popen[bytes]":
        with (self.folder / f"{name}.log").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env=environment,
            )


async def wait_ready(hosts: Sequence[HostProcess], timeout_s: float) -> bool:
    """Wait until every host is ready for callers; return False after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    async with aiohttp.ClientSession() as http:
        for host in hosts:
            while not await _is_ready(http, host):
                if time.monotonic() > deadline_s:
                    return False
                await asyncio.sleep(0.05)
    return True


async def set_proxy_rules(deployment: LocalDeployment, *rules: dict[str, Any]) -> None:
    """Change the proxy's rules; see `fault_proxy.FaultProxy.apply`."""
    url = f"http://127.0.0.1:{deployment.proxy_control_port}/rules"
    async with aiohttp.ClientSession() as http:
        async with http.post(url, json=list(rules)) as response:
            response.raise_for_status()


def partition_rules(
    sources: Sequence[HostProcess], targets: Sequence[HostProcess], is_cut: bool = True
) -> list[dict[str, Any]]:
    """Return the rules that cut two sets of hosts from each other, or heal the cut."""
    source_names = [host.name for host in sources]
    target_names = [host.name for host in targets]
    return [
        {"sources": source_names, "targets": target_names, "is_silent": is_cut},
        {"sources": target_names, "targets": source_names, "is_silent": is_cut},
    ]


def stop_processes(processes: Sequence["subprocess.Popen[bytes]"]) -> None:
    """Send SIGTERM to all, wait, and kill those that still run after the timeout."""
    running = [process for process in processes if process.poll() is None]
    for process in running:
        process.send_signal(signal.SIGTERM)
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    for process in running:
        try:
            process.wait(max(0.1, deadline_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


async def _is_ready(http: aiohttp.ClientSession, host: HostProcess) -> bool:
    try:
        async with http.get(f"http://{host.caller_address}/ready") as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


def _plan_stand_ins(shape: DeploymentShape, ports: list[int]) -> dict[str, list[str]]:
    data_centres = [name for names in shape.regions.values() for name in names]
    specs: dict[str, list[str]] = {name: [] for name in data_centres}
    for service in shape.services:
        for number in range(service.n_upstreams):
            name = f"{service.name}-{number + 1:02d}"
            spec = f"{name},{service.name},{ports.pop()}"
            spec += f",{service.n_slots},{service.service_time_ms}"
            specs[data_centres[number % len(data_centres)]].append(spec)
    return specs
