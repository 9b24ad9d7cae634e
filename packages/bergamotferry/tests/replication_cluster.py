"""Simulation of a group of replicas, with its time, clocks, network and disks.

The simulation checks these invariants as it runs: a term has at most one leader, at
most one leader holds a lease at a time, all hosts commit the same entry at an index,
and each new leader has every committed entry. The tests choose the faults.
"""

import random
from dataclasses import dataclass, field

from bergamotferry.commands import FinishHandover
from bergamotferry.messages import Member, Membership
from bergamotferry.records import HostAddress, ShardId
from bergamotferry.replication import (
    Replica,
    Snapshot,
    append_committed,
    begin_transfer,
    compact_log,
    entries_from,
    install_snapshot,
    last_index,
    leader_lease_until_ns,
    mark_persisted,
    membership_at,
    propose,
    receive,
    start_replica,
    take_immediate_messages,
    take_messages,
    take_unpersisted,
    term_at,
    tick,
)
from bergamotferry.replication import snapshot as replication_snapshot
from bergamotferry.replication import state as replication_state
from bergamotferry.replication.membership import (
    HostRequests,
    JoinRequest,
    plan_membership,
)

NS_PER_MS = 1_000_000
TICK_NS = 20 * NS_PER_MS
GROUP = "dc:a"
N_FAULTS_PER_RUN = 100
SEEDS = (
    HostAddress("a1", "a", "r", "", True),
    HostAddress("a2", "a", "r", "", False),
    HostAddress("a3", "a", "r", "", False),
    HostAddress("b1", "b", "r", "", True),
)
HOSTS = [seed.name for seed in SEEDS]
FIRST_MEMBERSHIP = Membership(
    (Member("a1", "first", True), Member("b1", "first", True)), ()
)


@dataclass
class Disk:
    """Content of a disk: the last snapshot and all state persisted after it."""

    term: int = 0
    voted_for: Member | None = None
    entries: list = field(default_factory=list)
    snapshot: Snapshot | None = None

    def write(self, unpersisted):
        self.term, self.voted_for = unpersisted.term, unpersisted.voted_for
        truncate_from = unpersisted.truncate_from
        if unpersisted.snapshot is not None:
            self.snapshot = unpersisted.snapshot
            self.entries = []
        elif truncate_from:
            self.entries = [
                entry for entry in self.entries if entry.log_index < truncate_from
            ]
        self.entries.extend(unpersisted.entries)


@dataclass
class Host:
    """A simulated host, whose clock has its own rate and offset."""

    member: Member
    replica: Replica
    disk: Disk | None
    clock_offset_ns: int
    clock_percent: int
    is_paused: bool = False
    write_in_progress: tuple | None = None
    inbox: list = field(default_factory=list)
    applied_index: int = 0
    digest: int = 0


class ClusterModel:
    """Three hosts of one data centre, and one host of another in the same region.

    The link between two hosts can be cut in each direction separately.
    """

    waits_for_disk = True
    plans_membership = True
    # Tests replace this predicate to drop messages.
    is_dropped = staticmethod(lambda message: False)

    def start(self, seed):
        self.rng = random.Random(seed)
        replication_snapshot.SNAPSHOT_PART_BYTES = 16
        # With one entry in a message, entries of an earlier term can arrive without
        # any of the current term.
        replication_state.ENTRIES_PER_MESSAGE_MAX = self.rng.choice([1, 256])
        self.now_ns = 10**12
        self.n_started = 0
        self.n_proposed = 0
        self.cuts = set()
        self.fault_rate = 0.0
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.digests = {0: 0}
        self.hosts = {}
        for address in SEEDS:
            is_first_member = address.is_durable
            self._start_host(
                address, Disk() if is_first_member else None, is_first_member
            )
        self._run(4000)
        assert any(
            len(host.replica.membership.voters) == 3 for host in self.hosts.values()
        )

    def _start_host(self, address, disk, is_first_member=False):
        self.n_started += 1
        incarnation = "first" if is_first_member else str(self.n_started)
        member = Member(address.name, incarnation, address.is_durable)
        membership = FIRST_MEMBERSHIP if is_first_member else Membership((), ())
        replica = Replica(GROUP, member, membership, random.Random(self.rng.random()))
        host = Host(
            member,
            replica,
            disk,
            self.rng.randrange(10**12),
            self.rng.randint(99, 101),
        )
        if disk is not None:
            replica.term, replica.voted_for = disk.term, disk.voted_for
            if disk.snapshot is not None:
                replica.snapshot = disk.snapshot
                replica.membership = disk.snapshot.membership
                replica.snapshot_index = disk.snapshot.last_index
                replica.snapshot_term = disk.snapshot.last_term
                self._load_snapshot(host, disk.snapshot)
            replica.log = list(disk.entries)
        start_replica(replica, self._clock(host))
        self.hosts[address.name] = host

    def _clock(self, host):
        return host.clock_offset_ns + self.now_ns * host.clock_percent // 100

    def _load_snapshot(self, host, snapshot):
        index, digest = eval(snapshot.data.decode())
        assert index == snapshot.last_index
        host.applied_index, host.digest = index, digest

    def _send(self, host, messages):
        for outgoing in messages:
            self._deliver_later(host.member.host, outgoing.host, outgoing.message)

    def _deliver_later(self, sender, receiver, message):
        delay_ns = 0
        if self.rng.random() < self.fault_rate:
            delay_ns = self.rng.choice([1, 2, 5, 20, 50]) * TICK_NS
        inbox = self.hosts[receiver].inbox
        inbox.append((self.now_ns + delay_ns, sender, message))

    def _step(self, host):
        now_ns = self._clock(host)
        inbox, host.inbox = host.inbox, []
        if self.fault_rate:
            self.rng.shuffle(inbox)
        for due_ns, sender, message in inbox:
            if due_ns > self.now_ns:
                host.inbox.append((due_ns, sender, message))
                continue
            draw = self.rng.random()
            is_lost = (sender, host.member.host) in self.cuts or self.is_dropped(
                message
            )
            if is_lost or draw < self.fault_rate / 4:
                continue
            if draw > 1 - self.fault_rate / 4:
                self._deliver_later(sender, host.member.host, message)
            receive(host.replica, message, now_ns)
            self._check_leader(host)
        tick(host.replica, now_ns)
        self._persist_and_send(host, now_ns, self.rng.random() < 2 * self.fault_rate)

    def _persist_and_send(self, host, now_ns, is_disk_slow):
        replica = host.replica
        self._send(host, take_immediate_messages(replica))
        if not self.waits_for_disk:
            self._send(host, take_messages(replica))
        if host.write_in_progress is None:
            unpersisted = take_unpersisted(replica)
            deferred = take_messages(replica)
            host.write_in_progress = (
                unpersisted,
                deferred,
                replica.term,
                last_index(replica),
            )
        if not is_disk_slow:
            self._finish_write(host, now_ns)
        self._check_leader(host)
        self._apply(host)

    def _finish_write(self, host, now_ns):
        unpersisted, deferred, term, index = host.write_in_progress
        host.write_in_progress = None
        if unpersisted is not None:
            if host.disk is not None:
                host.disk.write(unpersisted)
            mark_persisted(host.replica, term, index, now_ns)
        self._send(host, deferred)

    def _apply(self, host):
        replica = host.replica
        if host.applied_index < replica.snapshot_index:
            self._load_snapshot(host, replica.snapshot)
        for entry in entries_from(replica, host.applied_index + 1):
            if entry.log_index > replica.commit_index:
                break
            host.applied_index = entry.log_index
            host.digest = hash((host.digest, entry))
        expected_digest = self.digests.setdefault(host.applied_index, host.digest)
        assert expected_digest == host.digest, "tables differ after the same index"

    def _check_leader(self, host):
        replica = host.replica
        if replica.role != "leader" or replica.term in self.leaders:
            if replica.role == "leader":
                assert self.leaders[replica.term] == host.member, (
                    "two leaders in a term"
                )
            return
        is_newest = replica.term > max(self.leaders, default=-1)
        self.leaders[replica.term] = host.member
        if is_newest:
            for index, entry in self.committed.items():
                if index > replica.snapshot_index:
                    held_entries = entries_from(replica, index)[:1]
                    assert held_entries == [entry], (
                        f"the new leader lacks committed {index}"
                    )

    def run(self, milliseconds):
        self.fault_rate = 0.0
        self._run(milliseconds)

    def run_with_faults(self, fault_rate, seed):
        """Run with lossy links and slow disks, and inject a fault every few 100 ms."""
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        for _ in range(N_FAULTS_PER_RUN):
            self._run(self.rng.choice([60, 300, 900]))
            self._inject_fault()
        self.cuts = set()
        for host in self.hosts.values():
            host.is_paused = False

    def _inject_fault(self):
        rng, name = self.rng, self.rng.choice(HOSTS)
        coin_flip = rng.random() < 0.5
        pairs = [(a, b) for a in HOSTS for b in HOSTS if a != b]
        fault_kind = rng.randrange(9)
        if fault_kind == 0:
            self.pause(name, not self.hosts[name].is_paused)
        elif fault_kind == 1:
            self.restart(name, coin_flip, rng.random() < 0.2)
        elif fault_kind == 2:
            self.cut_links(set(rng.sample(pairs, rng.randrange(9))))
        elif fault_kind == 3:
            self.cut_links(set())
        elif fault_kind == 4:
            self.compact(name)
        elif fault_kind == 5:
            self.fetch(name, rng.choice(HOSTS))
        elif fault_kind == 6 and coin_flip:
            self.transfer_leadership()
        elif fault_kind == 7 and rng.random() < 0.3:
            self.restart_all(coin_flip)
        self.propose_at_leaders(3)

    def _run(self, milliseconds, is_done=lambda: False):
        """Run for a time, or until a condition holds, even in the middle of a tick.

        Return whether the condition stopped the run.
        """
        for _ in range(milliseconds * NS_PER_MS // TICK_NS):
            self.now_ns += TICK_NS
            for name in self.rng.sample(HOSTS, len(HOSTS)):
                if not self.hosts[name].is_paused:
                    self._step(self.hosts[name])
                if is_done():
                    return True
            if self.plans_membership:
                self._plan_memberships()
            self.check_leases()
        return False

    def run_until(self, condition, milliseconds=6000):
        """Run until a condition holds.

        The run stops in the middle of a tick, so that a test can still cut off the
        messages that were sent last.
        """
        assert self._run(milliseconds, condition), "the condition was not met in time"
        self.check_leases()
        self.check_logs()

    def newest_leader(self):
        """Return the leader of the newest term."""
        leaders = [
            host for host in self.hosts.values() if host.replica.role == "leader"
        ]
        return max(leaders, key=lambda host: host.replica.term)

    def keep_links_only(self, *pairs):
        """Cut every link except those between the pairs, in both directions."""
        kept = {(a, b) for pair in pairs for a, b in (pair, pair[::-1])}
        self.cuts = {(a, b) for a in HOSTS for b in HOSTS if a != b} - kept

    def _plan_memberships(self):
        """Let every leader plan a membership, even a leader that was replaced."""
        for host in self.hosts.values():
            replica = host.replica
            if host.is_paused or replica.role != "leader" or self.rng.random() < 0.7:
                continue
            now_ns = self._clock(host)
            join_requests = {
                name: JoinRequest(other.member, now_ns)
                for name, other in self.hosts.items()
                if not other.is_paused and (name, host.member.host) not in self.cuts
            }
            requests = HostRequests(join_requests, {})
            membership = plan_membership(replica, requests, SEEDS, now_ns)
            if membership is not None:
                propose(replica, membership, now_ns)

    def propose_commands(self, name, count):
        for _ in range(count):
            self.n_proposed += 1
            command = FinishHandover(ShardId("s", "", self.n_proposed), 1)
            host = self.hosts[name]
            propose(host.replica, command, self._clock(host))

    def propose_at_leaders(self, count):
        for name, host in self.hosts.items():
            if host.replica.role == "leader":
                self.propose_commands(name, count)

    def pause(self, name, is_paused):
        self.hosts[name].is_paused = is_paused

    def cut_links(self, pairs):
        self.cuts = pairs

    def restart(self, name, completes_write, loses_disk):
        self._restart(name, completes_write, loses_disk and name == "b1")

    def restart_all(self, completes_write):
        for name in HOSTS:
            self._restart(name, completes_write, False)

    def _restart(self, name, completes_write, loses_disk):
        host = self.hosts[name]
        if (
            completes_write
            and host.write_in_progress is not None
            and host.disk is not None
        ):
            # The write reached the disk, but the replica stopped before it learned of
            # the end of the write.
            if host.write_in_progress[0] is not None:
                host.disk.write(host.write_in_progress[0])
        address = SEEDS[HOSTS.index(name)]
        if not address.is_durable:
            self._start_host(address, None)
        elif loses_disk:
            self._start_host(address, Disk())
        else:
            self._start_host(address, host.disk, host.member.incarnation == "first")
            self.hosts[name].member = self.hosts[name].replica.own_member = host.member

    def compact(self, name):
        host = self.hosts[name]
        replica = host.replica
        if host.applied_index > replica.snapshot_index:
            index = host.applied_index
            data = repr((index, host.digest)).encode()
            membership = membership_at(replica, index)
            term = term_at(replica, index)
            compact_log(replica, Snapshot(index, term, membership, data))
            replica.is_snapshot_dirty = True

    def fetch(self, name, source):
        replica, source_replica = self.hosts[name].replica, self.hosts[source].replica
        if replica is source_replica or self.hosts[name].is_paused:
            return
        if replica.commit_index < source_replica.snapshot_index:
            now_ns = self._clock(self.hosts[name])
            install_snapshot(replica, source_replica.snapshot, now_ns)
        n_skipped = replica.commit_index - source_replica.snapshot_index
        entries = tuple(
            entry
            for entry in source_replica.log[max(0, n_skipped) :]
            if entry.log_index <= source_replica.commit_index
        )
        now_ns = self._clock(self.hosts[name])
        append_committed(replica, entries, source_replica.commit_index, now_ns)

    def transfer_leadership(self):
        for host in self.hosts.values():
            begin_transfer(host.replica, self._clock(host))

    def check_leases(self):
        holders = [
            host.member
            for host in self.hosts.values()
            if self._clock(host) < leader_lease_until_ns(host.replica)
        ]
        assert len(holders) <= 1, f"two leader leases: {holders}"

    def check_logs(self):
        for host in self.hosts.values():
            for entry in host.replica.log:
                position = (entry.log_index, entry.term)
                assert self.entries.setdefault(position, entry) == entry, position
                if entry.log_index <= host.replica.commit_index:
                    committed_entry = self.committed.setdefault(entry.log_index, entry)
                    assert committed_entry == entry, "two entries committed at an index"

    def teardown(self):
        replication_snapshot.SNAPSHOT_PART_BYTES = 256 * 1024
        replication_state.ENTRIES_PER_MESSAGE_MAX = 256
