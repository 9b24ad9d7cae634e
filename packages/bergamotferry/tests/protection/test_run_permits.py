"""How many upstreams a request can end, whoever sends it, however often and where."""

import random
from itertools import count

import pytest

from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    N_TRIALS_MAX,
    NS_PER_S,
    RETENTION_S,
    CrashTable,
    KnownEnds,
    known_ends,
    record_end,
    record_row,
    record_success,
    record_trial,
    row_of,
    rows_after,
    verdict_on,
)
from bergamotferry.protection.run_permits import (
    N_PERMITS_MAX,
    PERMIT_NS,
    RESULT_WAIT_NS,
    PermitTable,
    end_permit,
    take_permit,
)

NOW = 1_000_000 * NS_PER_S
# Later than this after the third end a host in touch knows of it.
CONTACT_S = 3
# As many runs may begin later than that.
N_LATE_MAX = 3
# The users' pages count from a moment at which records have long reached every host.
SPREAD_S = 0.2


def suspected_table(n_ends=1):
    table = CrashTable()
    for _ in range(n_ends):
        record_end(table, "a", known_ends(table, "a"), NOW)
    return table


def test_one_host_at_a_time_has_a_permit():
    table, permits = suspected_table(), PermitTable()
    assert take_permit(permits, table, "a", "h", NOW)
    assert not take_permit(permits, table, "a", "i", NOW)
    assert take_permit(permits, table, "b", "i", NOW)


@pytest.mark.parametrize("result", ["end", "success"])
def test_next_run_may_begin_once_the_result_is_known(result):
    table, permits = suspected_table(), PermitTable()
    take_permit(permits, table, "a", "h", NOW)
    if result == "end":
        record_end(table, "a", known_ends(table, "a"), NOW)
    else:
        record_success(table, "a", NOW)
    assert take_permit(permits, table, "a", "i", NOW)


def test_run_without_a_result_blocks_the_next_one_for_a_while():
    table, permits = suspected_table(), PermitTable()
    take_permit(permits, table, "a", "h", NOW)
    end_permit(permits, "a", "i", False, NOW)
    assert not take_permit(permits, table, "a", "i", NOW), "not the host of the run"
    end_permit(permits, "a", "h", True, NOW)
    assert not take_permit(permits, table, "a", "i", NOW + RESULT_WAIT_NS - 1)
    assert take_permit(permits, table, "a", "i", NOW + RESULT_WAIT_NS)
    end_permit(permits, "a", "i", False, NOW)
    assert take_permit(permits, table, "a", "h", NOW + RESULT_WAIT_NS)


def test_permit_of_a_silent_host_expires():
    table, permits = suspected_table(), PermitTable()
    take_permit(permits, table, "a", "h", NOW)
    assert not take_permit(permits, table, "a", "i", NOW + PERMIT_NS - 1)
    assert take_permit(permits, table, "a", "i", NOW + PERMIT_NS)


def test_permits_are_bounded():
    table, permits = suspected_table(), PermitTable()
    for number in range(3 * N_PERMITS_MAX):
        take_permit(permits, table, f"{number}", "h", NOW + number * PERMIT_NS)
    assert len(permits.permits) <= N_PERMITS_MAX


class Hosts:
    """Hosts and a leader that exchange records, and a request that ends upstreams.

    The exchange of records takes `SPREAD_S`; questions to the leader take no time.
    """

    def __init__(self, n_hosts):
        self.tables = [CrashTable() for _ in range(n_hosts)]
        self.leader = CrashTable()
        self.permits = PermitTable()
        self.ends = []

    def spread(self, now):
        for table in self.tables:
            for row in rows_after(table, 0, now):
                record_row(self.leader, row, now)
        for table in self.tables:
            for row in rows_after(self.leader, 0, now):
                record_row(table, row, now)

    def begin(self, host, now):
        """Begin a run if the host may; return the ends known then, or None."""
        table = self.tables[host]
        known = known_ends(table, "a")
        if verdict_on(table, "a", f"h{host}", now) == "quarantined":
            return None
        if known.n_ends == 0:
            return known
        record_trial(table, "a", now)
        record_row(self.leader, row_of(table, "a", now), now)
        is_granted = take_permit(self.permits, self.leader, "a", f"h{host}", now)
        record_row(table, row_of(self.leader, "a", now), now)
        return known_ends(table, "a") if is_granted else None

    def end(self, host, known, now):
        """End the upstream under a run."""
        self.ends.append(now)
        table = self.tables[host]
        record_end(table, "a", known, now)
        if known.n_ends:
            record_row(self.leader, row_of(table, "a", now), now)
            end_permit(self.permits, "a", f"h{host}", True, now)

    def n_late(self):
        if len(self.ends) < N_ENDS_MAX:
            return 0
        due = self.ends[N_ENDS_MAX - 1] + CONTACT_S * NS_PER_S
        return sum(end > due for end in self.ends)


@pytest.mark.parametrize("n_hosts", [1, 4, 8])
@pytest.mark.parametrize("pause_s", [1, 4.5, 12, 70, 400])
@pytest.mark.parametrize("is_parallel", [True, False])
def test_late_ends_of_a_day_stay_within_the_bound(n_hosts, pause_s, is_parallel):
    """Guards against review case 14: ends that go on, two or four a visit.

    The caller sends the request at each host, all at once or one after the other, each
    ``pause_s`` for a day. Each upstream that runs it ends.
    """
    hosts = Hosts(n_hosts)
    n_visits = int((RETENTION_S - 3_600) / pause_s)
    for visit in range(min(n_visits, 5_000)):
        now = NOW + int(visit * pause_s * NS_PER_S)
        if is_parallel:
            begun = [(host, hosts.begin(host, now)) for host in range(n_hosts)]
            for host, known in begun:
                if known is not None:
                    hosts.end(host, known, now + 1_000_000)
        else:
            for host in range(n_hosts):
                known = hosts.begin(host, now + host)
                if known is not None:
                    hosts.end(host, known, now + host)
        hosts.spread(now + int(SPREAD_S * NS_PER_S))
    assert len(hosts.ends) >= N_ENDS_MAX
    assert hosts.n_late() <= N_ENDS_MAX - 1 + N_TRIALS_MAX <= N_LATE_MAX


@pytest.mark.parametrize("seed", range(20))
def test_late_ends_stay_within_the_bound_in_any_order_of_sends(seed):
    """Guards against orders of sends that no example above has."""
    rng = random.Random(seed)
    hosts, now, running = Hosts(4), NOW, []
    for _ in range(400):
        now += int(rng.choice([0.01, 0.05, 1, 5, 90]) * NS_PER_S)
        # Runs end at any time before the records of the next step have spread.
        rng.shuffle(running)
        for host, known in running:
            hosts.end(host, known, now)
        hosts.spread(now)
        running = [
            (host, known)
            for host in rng.sample(range(4), rng.randint(1, 4))
            if (known := hosts.begin(host, now)) is not None
        ]
    assert hosts.n_late() <= N_LATE_MAX


def test_busy_proper_request_loses_few_sends_while_its_upstreams_crash():
    """Guards against permits that starve a proper request beside a rolling crash.

    It is sent over eight hosts each 20 ms for a minute, runs 100 ms, and a third of its
    upstreams ends each 2 s. A send that may not begin at once tries again for 0.5 s.
    """
    hosts, numbers, n_hosts = Hosts(8), count(), 8
    running, waiting, n_sent, n_refused = [], [], 0, 0
    for tick in range(3_000):
        now = NOW + tick * 20_000_000
        is_crash = tick % 100 == 0
        for run in list(running):
            began_tick, host, known, number = run
            if is_crash and number % 3 == tick // 100 % 3:
                running.remove(run)
                hosts.end(host, known, now)
            elif tick - began_tick >= 5:
                running.remove(run)
                record_success(hosts.tables[host], "a", now)
                record_row(hosts.leader, row_of(hosts.tables[host], "a", now), now)
                end_permit(hosts.permits, "a", f"h{host}", False, now)
        if tick % 5 == 0:
            hosts.spread(now)
        n_sent += 1
        waiting.append((tick, tick % n_hosts))
        for send in list(waiting):
            sent_tick, host = send
            known = hosts.begin(host, now)
            if known is not None:
                waiting.remove(send)
                running.append((tick, host, known, next(numbers)))
            elif tick - sent_tick > 25:
                waiting.remove(send)
                n_refused += 1
    assert hosts.ends
    assert n_refused <= n_sent // 100
    assert known_ends(hosts.leader, "a") >= KnownEnds(10)
