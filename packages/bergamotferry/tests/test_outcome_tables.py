"""Outcome tables: a non-idempotent request runs at most once.

Resends are tested against the recorded states, and a state machine replaces dispatchers
and loses, delays and redelivers commands.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bergamotferry import outcome_tables
from bergamotferry.commands import (
    ForgetIntent,
    ImportOutcomes,
    RecordIntent,
    RecordOutcome,
)
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.outcome_tables import (
    OUTCOME_BODY_MAX_BYTES,
    OUTCOME_RETENTION_S,
    is_body_complete,
)
from bergamotferry.outcomes import Accepted
from bergamotferry.records import HOME_EPOCH_SHIFT, Dispatcher, Grant, ShardId
from bergamotferry.result_codes import ResultCode as Code

SHARD = ShardId("testlog", "", 1)
KEY = ("acc", "testlog/i1")


def make_tables(grant_epoch=5, dispatcher_epoch=6):
    tables = DataCentreTables(last_epoch=20)
    set_dispatcher(tables, grant_epoch, dispatcher_epoch)
    return tables


def set_dispatcher(tables, grant_epoch, dispatcher_epoch):
    tables.grants[SHARD] = Grant(SHARD, "u1", 1, grant_epoch, "held")
    tables.dispatchers["u1"] = Dispatcher("u1", "h1", dispatcher_epoch, "serving")


def intent(
    attempt="a1", grant_epoch=5, dispatcher_epoch=6, sha="s", at_s=100, key="i1"
):
    return RecordIntent(
        "acc",
        f"testlog/{key}",
        SHARD,
        sha,
        at_s,
        attempt,
        grant_epoch,
        dispatcher_epoch,
    )


def outcome(state, attempt="a1", body=b"ok", size_bytes=None, key="i1"):
    size_bytes = len(body) if size_bytes is None else size_bytes
    return RecordOutcome(
        "acc", f"testlog/{key}", state, 200, "t", body, attempt, size_bytes, "d"
    )


def forget(attempt="a1"):
    return ForgetIntent("acc", "testlog/i1", "s", attempt)


HISTORIES = {
    "nothing": [],
    "intent": [intent()],
    "done": [intent(), outcome("done")],
    "unknown": [intent(), outcome("unknown")],
    "unknown, then done": [intent(), outcome("unknown"), outcome("done")],
    "done, then unknown": [intent(), outcome("done"), outcome("unknown")],
    "forgotten": [intent(), forget()],
    "forgotten by another": [intent(), forget("a2")],
    "done, then forgotten": [intent(), outcome("done"), forget()],
    "outcome of another": [intent(), outcome("done", "a2")],
}
SAME_ATTEMPT = intent()
OTHER_ATTEMPT = intent("a2")
REUSED_KEY = intent("a2", sha="other")
NEW_DISPATCHER = intent("a2", dispatcher_epoch=7)
NEW_GRANT = intent("a2", grant_epoch=9, dispatcher_epoch=2)
STALE_DISPATCHER = intent("a2", dispatcher_epoch=5)
# History, resend, expected result code (0: accepted) and expected state afterwards.
RESENDS = [
    ("nothing", OTHER_ATTEMPT, 0, "intent"),
    ("nothing", STALE_DISPATCHER, Code.STALE_EPOCH, None),
    ("intent", SAME_ATTEMPT, 0, "intent"),
    ("intent", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "intent"),
    ("intent", REUSED_KEY, Code.IDEMPOTENCY_KEY_REUSED, "intent"),
    ("intent", STALE_DISPATCHER, Code.OUTCOME_PENDING, "intent"),
    ("intent", NEW_DISPATCHER, Code.OUTCOME_UNKNOWN, "unknown"),
    ("intent", NEW_GRANT, Code.OUTCOME_UNKNOWN, "unknown"),
    ("done", SAME_ATTEMPT, Code.OUTCOME_PENDING, "done"),
    ("done", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "done"),
    ("done", NEW_DISPATCHER, Code.OUTCOME_PENDING, "done"),
    ("done", REUSED_KEY, Code.IDEMPOTENCY_KEY_REUSED, "done"),
    ("unknown", SAME_ATTEMPT, Code.OUTCOME_PENDING, "unknown"),
    ("unknown", NEW_DISPATCHER, Code.OUTCOME_PENDING, "unknown"),
    ("unknown, then done", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "done"),
    ("done, then unknown", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "done"),
    ("forgotten", OTHER_ATTEMPT, 0, "intent"),
    ("forgotten by another", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "intent"),
    ("done, then forgotten", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "done"),
    ("outcome of another", OTHER_ATTEMPT, Code.OUTCOME_PENDING, "intent"),
]


@pytest.mark.parametrize(("before", "resend", "code", "state"), RESENDS)
def test_resend_is_answered_from_the_recorded_state(before, resend, code, state):
    tables = make_tables()
    for command in HISTORIES[before]:
        apply_data_centre_command(tables, command)
    if resend is not STALE_DISPATCHER:
        set_dispatcher(tables, resend.grant_epoch, resend.dispatcher_epoch)
    answer = apply_data_centre_command(tables, resend)
    record = tables.outcomes.get(KEY)
    code_received = 0 if isinstance(answer, Accepted) else answer.code
    assert (code_received, record and record.state) == (code, state)


@pytest.mark.parametrize("resolution", [outcome("done"), outcome("unknown"), forget()])
@pytest.mark.parametrize(("released_epoch", "code"), [(2, 0), (3, Code.STALE_EPOCH)])
def test_resolution_after_the_release_of_its_shard_must_be_passed_on(
    resolution, released_epoch, code
):
    """Guards against a served filing whose next home keeps it as unknown."""
    grant_epoch = (3 << HOME_EPOCH_SHIFT) + 5
    tables = make_tables(grant_epoch)
    tables.imported_homes[SHARD] = 3
    assert isinstance(
        apply_data_centre_command(tables, intent(grant_epoch=grant_epoch)), Accepted
    )
    tables.released_homes[SHARD] = released_epoch
    answer = apply_data_centre_command(tables, resolution)
    assert (0 if isinstance(answer, Accepted) else answer.code) == code


def test_late_outcome_replaces_the_unknown_one_at_the_next_home():
    grant_epoch = (3 << HOME_EPOCH_SHIFT) + 5
    old = make_tables(grant_epoch)
    old.imported_homes[SHARD] = 3
    apply_data_centre_command(old, intent(grant_epoch=grant_epoch))
    (record,) = old.outcomes.values()
    new = make_tables()
    late = outcome("done")
    # The next home refuses the outcome until it has imported the intent.
    assert not isinstance(apply_data_centre_command(new, late), Accepted)
    imported = record._replace(state="unknown")
    apply_data_centre_command(new, ImportOutcomes((imported,), (SHARD,), (4,)))
    assert isinstance(apply_data_centre_command(new, late), Accepted)
    assert new.outcomes[KEY].state == "done"


def test_oversized_body_is_dropped_but_its_size_and_digest_are_recorded():
    tables = make_tables()
    body = bytes(OUTCOME_BODY_MAX_BYTES + 1)
    for command in (intent(), outcome("done", body=body)):
        apply_data_centre_command(tables, command)
    record = tables.outcomes[KEY]
    assert (record.body, record.size_bytes, record.body_sha256) == (b"", len(body), "d")
    assert not is_body_complete(record)


def test_outcome_rows_and_body_bytes_are_bounded(monkeypatch):
    monkeypatch.setattr(outcome_tables, "N_OUTCOMES_MAX", 40)
    monkeypatch.setattr(outcome_tables, "OUTCOME_BODIES_MAX_BYTES", 1000)
    tables = make_tables()
    answers = []
    for number in range(45):
        key = f"k{number}"
        answers.append(apply_data_centre_command(tables, intent(key=key)))
        done_outcome = outcome("done", body=bytes(100), key=key)
        apply_data_centre_command(tables, done_outcome)
    complete_records = [
        record for record in tables.outcomes.values() if is_body_complete(record)
    ]
    assert (
        tables.outcome_body_bytes
        == sum(len(record.body) for record in complete_records)
        <= 1000
    )
    assert [record.idempotency_key for record in complete_records][-1] == "testlog/k39"
    assert {answer.code for answer in answers[40:]} == {Code.OUTCOME_STORE_FULL}
    late_intent = intent(key="late", at_s=100 + OUTCOME_RETENTION_S)
    assert isinstance(apply_data_centre_command(tables, late_intent), Accepted)
    assert len(tables.outcomes) == 1
    assert tables.outcome_body_bytes == 0


KEYS = ("i1", "i2", "i3", "i4")


def test_intent_is_refused_until_the_outcomes_of_a_moved_shard_are_imported():
    source, target = make_tables(), make_tables(2 << HOME_EPOCH_SHIFT | 5)
    for command in (intent(), outcome("done"), intent(key="i2", attempt="a2")):
        apply_data_centre_command(source, command)
    moved_fields = {"grant_epoch": 2 << HOME_EPOCH_SHIFT | 5, "attempt": "b1"}
    refusal = apply_data_centre_command(target, intent(**moved_fields))
    assert (refusal.code, refusal.is_not_run) == (Code.NO_OWNER, True)
    records = tuple(source.outcomes.values())
    assert [record.state for record in records] == ["done", "intent"]
    last_import = ImportOutcomes((), (SHARD,), (2,))
    for command in (ImportOutcomes(records, (), ()), last_import, last_import):
        apply_data_centre_command(target, command)
    answers = [
        apply_data_centre_command(target, intent(key=key, **moved_fields))
        for key in ("i1", "i2", "i3")
    ]
    assert [getattr(answer, "code", 0) for answer in answers] == [
        Code.OUTCOME_PENDING,
        Code.OUTCOME_UNKNOWN,
        0,
    ]
    assert target.outcomes[KEY].body == b"ok"


class AtMostOnce(RuleBasedStateMachine):
    """No request runs twice when dispatchers change and commands are lost or late."""

    def __init__(self):
        super().__init__()
        self.tables = make_tables()
        self.n_attempts = 0
        self.allowed_attempts = {}
        self.runs = []
        self.acknowledged = set()
        self.sent_commands = []

    @rule(is_new_grant=st.booleans())
    def replace_dispatcher(self, is_new_grant):
        self.tables.last_epoch += 1
        epoch = self.tables.last_epoch
        grant_epoch = self.tables.grants[SHARD].epoch
        set_dispatcher(self.tables, epoch if is_new_grant else grant_epoch, epoch)

    @rule(
        is_reply_received=st.sampled_from([True, True, False]),
        key=st.sampled_from(KEYS),
    )
    def start_attempt(self, is_reply_received, key):
        self.n_attempts += 1
        grant_epoch = self.tables.grants[SHARD].epoch
        dispatcher_epoch = self.tables.dispatchers["u1"].epoch
        command = intent(f"a{self.n_attempts}", grant_epoch, dispatcher_epoch, key=key)
        answer = apply_data_centre_command(self.tables, command)
        if isinstance(answer, Accepted) and is_reply_received:
            self.allowed_attempts[command.attempt_id] = command
        self.sent_commands.append(command)

    @precondition(lambda self: self.allowed_attempts)
    @rule(data=st.data())
    def run_request(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.allowed_attempts)))
        # The dispatcher may have been frozen for any time between its intent and this
        # run.
        self.runs.append(self.allowed_attempts.pop(attempt))

    @precondition(lambda self: self.runs)
    @rule(state=st.sampled_from(["done", "unknown"]))
    def record(self, state):
        ran_intent = self.runs[-1]
        key = ran_intent.idempotency_key.removeprefix("testlog/")
        command = outcome(state, ran_intent.attempt_id, key=key)
        answer = apply_data_centre_command(self.tables, command)
        if isinstance(answer, Accepted) and state == "done":
            self.acknowledged.add((command.account, command.idempotency_key))
        self.sent_commands.append(command)

    @precondition(lambda self: self.allowed_attempts)
    @rule(data=st.data())
    def abandon(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.allowed_attempts)))
        abandoned = self.allowed_attempts.pop(attempt)
        command = forget(attempt)._replace(idempotency_key=abandoned.idempotency_key)
        apply_data_centre_command(self.tables, command)

    @precondition(lambda self: self.sent_commands)
    @rule(data=st.data())
    def redeliver(self, data):
        command = data.draw(st.sampled_from(self.sent_commands))
        apply_data_centre_command(self.tables, command)

    @invariant()
    def ran_at_most_once(self):
        keys_run = [ran_intent.idempotency_key for ran_intent in self.runs]
        assert len(keys_run) == len(set(keys_run))
        for key in self.acknowledged:
            assert self.tables.outcomes[key].state == "done"


TestAtMostOnce = AtMostOnce.TestCase
