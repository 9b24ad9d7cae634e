"""Safety of the replicated log under sequences of faults that hypothesis generates.

No combination of these faults may break safety; they may only delay progress.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from replication_cluster import HOSTS, ClusterModel

hosts = st.sampled_from(HOSTS)
seeds = st.integers(0, 2**32)


class Cluster(ClusterModel, RuleBasedStateMachine):
    """State machine whose rules are faults and whose invariants are safety."""

    start = initialize(seed=seeds)(ClusterModel.start)
    run = rule(milliseconds=st.sampled_from([400, 1500, 4000]))(ClusterModel.run)
    run_with_faults = rule(
        fault_rate=st.sampled_from([0.02, 0.1, 0.3, 0.5]), seed=seeds
    )(ClusterModel.run_with_faults)
    propose_commands = rule(name=hosts, count=st.integers(1, 5))(
        ClusterModel.propose_commands
    )
    propose_at_leaders = rule(count=st.integers(1, 5))(ClusterModel.propose_at_leaders)
    pause = rule(name=hosts, is_paused=st.booleans())(ClusterModel.pause)
    cut_links = rule(pairs=st.sets(st.tuples(hosts, hosts), max_size=6))(
        ClusterModel.cut_links
    )
    restart = rule(name=hosts, completes_write=st.booleans(), loses_disk=st.booleans())(
        ClusterModel.restart
    )
    restart_all = rule(completes_write=st.booleans())(ClusterModel.restart_all)
    compact = rule(name=hosts)(ClusterModel.compact)
    fetch = rule(name=hosts, source=hosts)(ClusterModel.fetch)
    transfer_leadership = rule()(ClusterModel.transfer_leadership)
    check_leases = invariant()(ClusterModel.check_leases)
    check_logs = invariant()(ClusterModel.check_logs)


Cluster.TestCase.settings = settings(max_examples=60, stateful_step_count=12)
TestCluster = Cluster.TestCase
