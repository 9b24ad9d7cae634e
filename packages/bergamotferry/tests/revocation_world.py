"""A deployment in simulated time: hosts that freeze, links that delay and lose.

Version N of the configuration removes key N.
"""

from event_world import EventWorld, Process

from bergamotferry.accounts import (
    confirmed_age_ms,
    confirmed_at_ns,
    trusts_keys,
)

REVOKE_MS = 5_000
LEASE_S = 0.3
ELECTION_MIN_S = 0.35
CONFIRM_INTERVAL_S = 0.2
POLL_WAIT_MAX_S = 0.25


class LaggingProcess(Process):
    """A process that knows a version of the configuration and of what is confirmed.

    A control host that is cut off gets no entries of the log. Its questions to the
    leader it thinks of, and the replies, still pass now and then.
    """

    def __init__(self, rng):
        super().__init__(rng)
        self.cut_until_s = 0.0
        self.followed = None
        self.version = 0
        self.confirmed_ns = 0


class World(EventWorld):
    """Three control hosts of which one leads, and the hosts that poll them."""

    def __init__(self, seed, n_hosts, is_calm=False):
        super().__init__(seed)
        self.is_calm = is_calm
        self.control = [LaggingProcess(self.rng) for _ in range(3)]
        self.hosts = [LaggingProcess(self.rng) for _ in range(n_hosts)]
        self.leader = self.control[0]
        for process in self.control:
            process.followed = self.leader
        for host in self.hosts:
            host.followed = self.rng.choice(self.control)
        # When the leader last had contact with a majority; its lease counts from there.
        self.lease_until_s = 0.0
        self.n_committed = 0
        self.acknowledged_s = {}
        # When each request was sent, whether served, and when its key was removed.
        self.requests = []
        self.ages_ms = []

    def run(self, until_s):
        for process in self.control:
            self.at(0, process, lambda p=process: self.confirm(p))
            self.at(0, process, lambda p=process: self.replicate(p))
        for host in self.hosts:
            self.at(0, host, lambda h=host: self.poll(h))
            self.at(0, host, lambda h=host: self.request(h))
        self.at(0, None, self.renew_lease)
        self.at(1.0, None, self.commit)
        if not self.is_calm:
            self.at(0, None, self.disturb)
        self.run_until(until_s)

    def delay_s(self):
        """Return the delay of a message: usually small, now and then seconds."""
        if self.is_calm or self.rng.random() < 0.9:
            return self.rng.uniform(0.0005, 0.03)
        return self.rng.uniform(0.0, 4.0)

    def is_lost(self):
        return not self.is_calm and self.rng.random() < 0.05

    def renew_lease(self):
        """Extend the lease, or elect another leader after the shortest timeout."""
        self.at(0.06, None, self.renew_lease)
        if self.leader.frozen_until_s <= self.now_s:
            self.lease_until_s = self.now_s + LEASE_S
        elif self.now_s > self.lease_until_s - LEASE_S + ELECTION_MIN_S:
            awake = [c for c in self.control if c.frozen_until_s <= self.now_s]
            if len(awake) == 2:
                self.leader = self.rng.choice(awake)
                self.leader.version = self.n_committed
                self.lease_until_s = self.now_s + LEASE_S

    def has_lease(self, process):
        return process is self.leader and self.now_s < self.lease_until_s

    def commit(self):
        """Commit a configuration that removes a key, and acknowledge it."""
        self.at(self.rng.uniform(0.5, 4.0), None, self.commit)
        if self.leader.frozen_until_s > self.now_s or not self.has_lease(self.leader):
            return
        self.n_committed += 1
        self.leader.version = self.n_committed
        self.acknowledged_s[self.n_committed] = self.now_s

    def replicate(self, process):
        self.at(self.rng.uniform(0.01, 0.2), process, lambda: self.replicate(process))
        if process.cut_until_s <= self.now_s and not self.is_lost():
            process.version = max(process.version, self.n_committed)
            process.followed = self.leader

    def confirm(self, process):
        """Ask the leader for its read index, as a control host does at intervals."""
        asked_ns = process.clock_ns(self.now_s)
        leader = process.followed

        def answer():
            if self.has_lease(leader):
                index = leader.version
                self.at(self.delay_s(), process, lambda: apply(index))

        def apply(index):
            if process.version >= index:
                process.confirmed_ns = max(process.confirmed_ns, asked_ns)
            else:
                self.at(0.02, process, lambda: apply(index))

        if not self.is_lost():
            self.at(0 if leader is process else self.delay_s(), leader, answer)
        again_s = CONFIRM_INTERVAL_S
        self.at(again_s, process, lambda: self.confirm(process))

    def poll(self, host):
        """Poll a control host for changes, and apply its reply."""
        asked_ns = host.clock_ns(self.now_s)
        if self.rng.random() < 0.01:
            host.followed = self.rng.choice(self.control)
        control = host.followed

        def build():
            now_ns = control.clock_ns(self.now_s)
            age_ms = confirmed_age_ms(control.confirmed_ns, now_ns)
            version = control.version
            # The control host may freeze before it sends what it has built.
            self.at(0, control, lambda: send(version, age_ms))

        def send(version, age_ms):
            if not self.is_lost():
                self.at(self.delay_s(), host, lambda: apply(version, age_ms))

        def apply(version, age_ms):
            host.version = max(host.version, version)
            if version == host.version:
                confirmed_ns = confirmed_at_ns(asked_ns, age_ms)
                host.confirmed_ns = max(host.confirmed_ns, confirmed_ns)

        wait_s = self.rng.uniform(0, POLL_WAIT_MAX_S)
        self.at(self.delay_s() + wait_s, control, build)
        self.at(wait_s + 0.01, host, lambda: self.poll(host))

    def request(self, host):
        """Send requests with keys that were removed, and with one that never is."""
        sent_s = self.now_s
        self.at(self.rng.uniform(0, 0.1), None, lambda: self.request(host))
        keys = [*range(max(1, self.n_committed - 6), self.n_committed + 1), 1 << 30]
        key = self.rng.choice(keys)

        def decide():
            now_ns = host.clock_ns(self.now_s)
            self.ages_ms.append((now_ns - host.confirmed_ns) / 1e6)
            is_trusted = trusts_keys(host.confirmed_ns, REVOKE_MS, now_ns)
            is_served = is_trusted and key > host.version
            removed_s = self.acknowledged_s.get(key, float("inf"))
            self.requests.append((sent_s, is_served, removed_s))

        self.at(0.001, host, decide)

    def disturb(self):
        """Freeze processes of all kinds, for moments and for many seconds."""
        self.at(self.rng.uniform(0.1, 3.0), None, self.disturb)
        victims = self.rng.sample(self.control + self.hosts, self.rng.choice((1, 1, 3)))
        for process in victims:
            frozen_s = self.rng.choice((0.05, 0.3, 1.0, 4.0, 12.0))
            process.frozen_until_s = self.now_s + self.rng.uniform(0, frozen_s)
        cut = self.rng.choice(self.control)
        cut.cut_until_s = self.now_s + self.rng.choice((0.1, 1.0, 5.0, 15.0))
