"""Hosts that spend shares of usage caps, and their leaders, in simulated time.

Hosts and control hosts freeze, restart and are cut off; messages are delayed and lost;
leaders change; demand moves between hosts; caps are lowered. ``runs`` are the times at
which requests were written to upstreams, by account.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, deque

from event_world import EventWorld, Process

from bergamotferry.accounts import Account
from bergamotferry.quota.caps import QuotaRules, allowed_in_window, cap_of
from bergamotferry.quota.leases import counted_window_ns
from bergamotferry.quota.ledger import (
    Ledger,
    answer_question,
    settled_after_ns,
)
from bergamotferry.quota.questions import (
    HostShares,
    apply_reply,
    next_question,
    share_of,
)
from bergamotferry.quota.shares import (
    record_demand,
    return_permit,
    take_permit,
    use_permit,
)

RULES = QuotaRules()
WAIT_S = 0.4
ASK_TIMEOUT_S = 0.4
RETRY_S = 0.05
REPORT_S = 0.5
LEASE_S = 0.3
ELECTION_S = 0.35


def account(name, rate_per_s, burst):
    return Account(name, (), None, (), rate_per_s, burst)


class Leader(Process):
    """A control host: what it knows of terms, and its ledger while it leads."""

    def __init__(self, rng):
        super().__init__(rng)
        self.ledger = None
        # Terms of which entries were applied, and when each was first seen.
        self.terms_seen = []


class Host(Process):
    """An entry host: its shares, requests that wait, and the question under way."""

    def __init__(self, rng, name):
        super().__init__(rng)
        self.name = name
        self.n_restarts = 0
        self.cut_until_s = 0.0
        self.restart()

    def restart(self):
        self.n_restarts += 1
        process = f"{self.name}.{self.n_restarts}"
        self.state = HostShares(self.name, process, counted_window_ns(RULES))
        self.waiting = {}
        self.is_asking = False


class QuotaWorld(EventWorld):
    """The fleet; ``faults`` are the kinds of faults that happen, by their interval."""

    def __init__(self, seed, n_hosts, accounts, faults=None, delays_s=(0.002, 0.03)):
        super().__init__(seed)
        self.accounts = {row.name: row for row in accounts}
        self.leader_accounts = dict(self.accounts)
        self.faults = faults or {}
        self.delays_s = delays_s
        self.hosts = [Host(self.rng, f"h{n}") for n in range(n_hosts)]
        self.controls = [Leader(self.rng) for _ in range(3)]
        self.leader = None
        self.term = 0
        self.lease_until_s = 0.0
        self.no_leader_until_s = 0.0
        self.runs = {name: [] for name in self.accounts}
        self.refused = {name: [] for name in self.accounts}
        self.n_requests = Counter()
        self.n_questions = 0
        # Time from when each cap holds, and the account with it.
        self.caps = [(0.0, dict(self.accounts))]

    def start(self, is_first=True):
        """Elect the first leader; of a running deployment, not the first ever."""
        self.term = 0 if is_first else 1
        self.elect()
        self.leader.ledger.capped_before = (
            frozenset() if is_first else frozenset(self.accounts)
        )
        self.at(0, None, self.tick_leader)
        for host in self.hosts:
            self.at(self.rng.uniform(0, REPORT_S), None, lambda h=host: self.tick(h))
        for kind, interval_s in self.faults.items():
            self.at(self.rng.expovariate(1 / interval_s), None, self.fault(kind))

    # Leaders

    def elect(self):
        awake = [c for c in self.controls if c.frozen_until_s <= self.now_s]
        if len(awake) < 2:
            return
        leader = self.leader = self.rng.choice(awake)
        # It has all entries of earlier terms, at the latest now.
        self.see_terms(leader)
        self.term += 1
        now_ns = leader.clock_ns(self.now_s)
        before = [row for row in leader.terms_seen if 0 < row[0] < self.term]
        settled_ns = settled_after_ns(RULES)
        is_settled = bool(before) and now_ns - before[-1][1] >= settled_ns
        capped = frozenset(self.leader_accounts) if self.term > 1 else frozenset()
        leader.ledger = Ledger(
            f"l{self.term}", self.term, now_ns, RULES, capped, is_settled
        )
        self.lease_until_s = self.now_s + LEASE_S

    def see_terms(self, process):
        seen = process.terms_seen
        if not seen or seen[-1][0] < self.term:
            seen.append((self.term, process.clock_ns(self.now_s)))

    def tick_leader(self):
        self.at(0.06, None, self.tick_leader)
        for process in self.controls:
            if process.frozen_until_s <= self.now_s:
                self.see_terms(process)
        if self.now_s < self.no_leader_until_s:
            return
        if self.leader is not None and self.leader.frozen_until_s <= self.now_s:
            self.lease_until_s = self.now_s + LEASE_S
        elif self.now_s > self.lease_until_s - LEASE_S + ELECTION_S:
            self.elect()

    def answer(self, leader, message):
        """Return the reply of a process that may lead; None if it does not."""
        if leader is not self.leader or self.now_s >= self.lease_until_s:
            return None
        caps = {name: cap_of(row, RULES) for name, row in self.leader_accounts.items()}
        now_ns = leader.clock_ns(self.now_s)
        return answer_question(leader.ledger, caps, message, now_ns)

    # Hosts

    def delay_s(self):
        if "delay" in self.faults and self.rng.random() < 0.05:
            return self.rng.uniform(0.0, 3.0)
        return self.rng.uniform(*self.delays_s)

    def is_cut(self, host):
        is_lost = "loss" in self.faults and self.rng.random() < 0.05
        return is_lost or self.now_s < host.cut_until_s

    def tick(self, host):
        self.at(REPORT_S, host, lambda: self.tick(host))
        self.ask(host)

    def ask(self, host):
        if host.is_asking:
            return
        asked_ns = host.clock_ns(self.now_s)
        n_waiting = {name: len(queue) for name, queue in host.waiting.items()}
        state = host.state
        question = next_question(state, n_waiting, asked_ns)
        if question is None:
            return
        host.is_asking = True
        self.n_questions += 1
        is_open = [True]

        def end(is_answered):
            if is_open[0] and host.state is state:
                is_open[0] = host.is_asking = False
                if any(host.waiting.values()):
                    delay_s = 0.0 if is_answered else RETRY_S
                    self.at(delay_s, host, lambda: self.ask(host))

        def receive(reply):
            if is_open[0] and host.state is state:
                now_ns = host.clock_ns(self.now_s)
                is_accepted = apply_reply(state, question, reply, asked_ns, now_ns)
                if is_accepted:
                    self.serve_waiting(host, reply)
                end(True)
                if not is_accepted:
                    self.ask(host)

        leader = self.leader

        def arrive():
            reply = self.answer(leader, question)
            if reply is not None and not self.is_cut(host):
                self.at(self.delay_s(), host, lambda: receive(reply))

        if leader is not None and not self.is_cut(host):
            self.at(self.delay_s(), leader, arrive)
        self.at(ASK_TIMEOUT_S, host, lambda: end(False))

    def serve_waiting(self, host, reply):
        now_ns = host.clock_ns(self.now_s)
        is_none_left = {grant.account: grant.retry_ms > 0 for grant in reply.rows}
        for name, queue in host.waiting.items():
            share = share_of(host.state, name)
            while queue:
                generation = take_permit(share, now_ns)
                if generation is None:
                    break
                self.send(host, name, generation, queue.popleft())
            if is_none_left.get(name):
                while queue:
                    self.refuse(host, name, queue.popleft(), "cap")

    def request(self, host, name):
        """Handle one request of an account that arrives at a host."""
        arrived_s = self.now_s
        self.n_requests[name] += 1
        if host.frozen_until_s > self.now_s:
            # Its caller gives up, or comes back to another host.
            return
        now_ns = host.clock_ns(self.now_s)
        share = share_of(host.state, name)
        record_demand(share, now_ns)
        generation = take_permit(share, now_ns)
        if generation is not None:
            self.send(host, name, generation, arrived_s)
        elif now_ns < share.refused_until_ns:
            self.refuse(host, name, arrived_s, "cap")
        else:
            host.waiting.setdefault(name, deque()).append(arrived_s)
            self.at(WAIT_S, host, lambda: self.give_up(host, name, arrived_s))
            self.ask(host)

    def give_up(self, host, name, arrived_s):
        queue = host.waiting.get(name, ())
        if arrived_s in queue:
            queue.remove(arrived_s)
            self.refuse(host, name, arrived_s, "stale")

    def send(self, host, name, generation, arrived_s):
        """Write a request to an upstream after a while, if its permit is valid then."""
        state = host.state
        share = share_of(state, name)
        is_slow = "slow" in self.faults and self.rng.random() < 0.1
        delay_s = self.rng.uniform(0, 2.0 if is_slow else 0.02)

        def write():
            if host.state is not state:
                return
            now_ns = host.clock_ns(self.now_s)
            if is_slow and self.rng.random() < 0.2:
                return_permit(share, generation)
            elif use_permit(share, generation, now_ns):
                self.runs[name].append(self.now_s)
            else:
                self.refuse(host, name, arrived_s, "void")

        self.at(delay_s, host, write)

    def refuse(self, host, name, arrived_s, cause):
        self.refused[name].append((arrived_s, cause))

    # Faults

    def fault(self, kind):
        def happen():
            self.at(self.rng.expovariate(1 / self.faults[kind]), None, happen)
            self.cause(kind)

        return happen

    def cause(self, kind):
        host = self.rng.choice(self.hosts)
        if kind == "freeze":
            host.frozen_until_s = self.now_s + self.rng.choice((0.2, 1.0, 4.0, 9.0))
        elif kind == "cut":
            host.cut_until_s = self.now_s + self.rng.choice((0.3, 1.5, 4.0, 9.0))
        elif kind == "restart":
            host.restart()
        elif kind == "leader" and self.leader is not None:
            self.leader.frozen_until_s = self.now_s + self.rng.choice((0.1, 0.8, 3.0))
        elif kind == "lower":
            name = self.rng.choice(sorted(self.accounts))
            row = self.leader_accounts[name]
            factor = self.rng.choice((0.4, 1.0))
            rate = factor * self.accounts[name].rate_per_s
            self.leader_accounts[name] = row._replace(rate_per_s=rate)
            self.caps.append((self.now_s, dict(self.leader_accounts)))

    # Demand

    def send_requests(self, name, rate_of, weights_of):
        """Let requests of an account arrive at random times, at hosts by weight.

        ``rate_of`` and ``weights_of`` are functions of the time.
        """

        def arrive():
            self.at(self.rng.expovariate(rate_of(self.now_s)), None, arrive)
            weights = weights_of(self.now_s)
            self.request(self.rng.choices(self.hosts, weights)[0], name)

        self.at(self.rng.expovariate(rate_of(0.0)), None, arrive)

    def send_skewed_requests(self, load, moves_every_s=8.0):
        """Let all accounts use a share of their rate, each mostly at other hosts.

        The n-th host in an order gets 1/n of what the first gets; the order changes.
        """
        for name, row in self.accounts.items():
            orders = {}

            def weights_of(now_s, name=name, orders=orders):
                number = int(now_s / moves_every_s)
                if number not in orders:
                    weights = [1 / (n + 1) for n in range(len(self.hosts))]
                    self.rng.shuffle(weights)
                    orders[number] = weights
                return orders[number]

            rate_per_s = load * row.rate_per_s
            self.send_requests(name, lambda _, rate=rate_per_s: rate, weights_of)

    # Verdicts

    def n_over_limit(self):
        """Return the worst excess over the ledger's limit in any window.

        It is stricter than the cap: the limit of normal times, or, if the leader has
        changed, the one of a new leader.
        """
        worst = float("-inf")
        for name, runs in self.runs.items():
            cap = cap_of(self.accounts[name], RULES)
            limit = cap.n_full if self.term > 1 else cap.n_normal
            runs = sorted(runs)
            for first, began_s in enumerate(runs):
                last = bisect_right(runs, began_s + RULES.window_s)
                worst = max(worst, last - first - limit)
        return worst

    def most_over_cap(self, apply_s=2.5):
        """Return the worst excess over the cap in any window, over all accounts.

        A lowered cap counts in windows that begin ``apply_s`` after it.
        """
        worst = float("-inf")
        for name, runs in self.runs.items():
            runs = sorted(runs)
            for first, began_s in enumerate(runs):
                last = bisect_right(runs, began_s + RULES.window_s)
                allowed = max(
                    allowed_in_window(accounts[name], RULES)
                    for accounts in self._in_force(began_s, apply_s)
                )
                worst = max(worst, last - first - allowed)
        return worst

    def _in_force(self, began_s, apply_s):
        """Return the caps of which the highest counts in a window that begins then."""
        at = [since_s for since_s, _ in self.caps]
        first = max(0, bisect_right(at, began_s - apply_s) - 1)
        last = bisect_left(at, began_s + RULES.window_s)
        return [accounts for _, accounts in self.caps[first:last]]

    def n_refused_below(self, since_s, until_s=float("inf"), share=1.0):
        """Return how many refusals came while less than a share of the cap was used.

        The cap is that of rate and burst alone, and its use is what was sent in the
        window that ends at the refused request.
        """
        n_below = Counter()
        for name, refusals in self.refused.items():
            row = self.accounts[name]
            n_nominal = row.rate_per_s * RULES.window_s + row.burst
            runs = sorted(self.runs[name])
            for arrived_s, cause in refusals:
                if not since_s <= arrived_s < until_s:
                    continue
                began = bisect_left(runs, arrived_s - RULES.window_s)
                n_used = bisect_right(runs, arrived_s) - began
                n_below[cause] += n_used < share * n_nominal
        return n_below
