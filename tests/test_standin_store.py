"""Tests of random primary changes on in-process members.

Guards against the loss of an acknowledged write: an entry that a majority received in
its own term must be in the log of every later primary, if the primary is chosen as the
gateways choose it.
"""

import tempfile

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citronwood.standin.store import Role, Store, StoreError

MEMBERS = range(3)
members = st.sampled_from(MEMBERS)
majorities = st.sampled_from([(0, 1), (0, 2), (1, 2), (0, 1, 2)])


def visible_values(store):
    tables = store.writer.execute("SELECT 1 FROM sqlite_master WHERE name = 't'")
    if tables.fetchone() is None:
        return set()
    return {row[0] for row in store.writer.execute("SELECT id FROM t")}


class GroupMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.folders = [tempfile.TemporaryDirectory() for _ in MEMBERS]
        self.stores = [Store(folder.name) for folder in self.folders]
        self.stores[0].bootstrap_primary()
        for store in self.stores[1:]:
            # The number of the primary serves as its address.
            store.bootstrap_replica("0")
        self.last_value = 0
        self.value_by_position = {}
        self.acknowledged = set()

    def run_write(self, store, sql):
        store.begin()
        # The first primary may fail before another member has this table.
        store.execute("CREATE TABLE IF NOT EXISTS t (id INTEGER PRIMARY KEY)", [])
        store.execute(sql, [])
        return store.commit()

    @rule(member=members)
    def write(self, member):
        store = self.stores[member]
        self.last_value += 1
        try:
            position = self.run_write(
                store, f"INSERT INTO t VALUES ({self.last_value})"
            )
        except StoreError:
            assert store.role is not Role.PRIMARY
        else:
            self.value_by_position[position] = self.last_value

    @rule(member=members, fencer=members)
    def write_during_fence(self, member, fencer):
        store = self.stores[member]
        if store.role is not Role.PRIMARY:
            return
        store.begin()
        store.execute("CREATE TABLE fenced (id INTEGER)", [])
        received = store.received
        store.fence(max(other.term for other in self.stores) + 1)
        try:
            store.commit()
        except StoreError:
            assert store.received == received
        else:
            raise AssertionError("a fenced member has committed")

    @rule(member=members, limit=st.integers(1, 3))
    def replicate(self, member, limit):
        self.replicate_from_primary(member, limit)

    def replicate_from_primary(self, member, limit):
        store = self.stores[member]
        if store.role is not Role.REPLICA:
            return
        primary = self.stores[int(store.primary_address)]
        if primary.role is not Role.PRIMARY or primary.term != store.term:
            return
        if primary.term_at(store.received.lsn) != store.received.term:
            store.truncate(store.common_prefix(primary.term_runs()))
        entries = primary.entries_after(store.received.lsn, limit)
        store.append(primary.term, store.received, entries)

    @rule()
    def replicate_all(self):
        for member in MEMBERS:
            self.replicate_from_primary(member, 100)
            self.apply(member, 100)

    @rule(member=members, sender_term=st.integers(0, 3))
    def late_entries_of_a_lower_term(self, member, sender_term):
        store = self.stores[member]
        if sender_term >= store.term:
            return
        before = store.received
        try:
            store.append(sender_term, before, [])
        except StoreError:
            return
        raise AssertionError("entries of a lower term were accepted")

    @rule(member=members, count=st.integers(1, 3))
    def apply_some(self, member, count):
        self.apply(member, count)

    def apply(self, member, count):
        store = self.stores[member]
        store.apply(store.applied.lsn + count)

    @rule(member=members)
    def restart(self, member):
        old = self.stores[member]
        state = (old.term, old.received, old.applied)
        old.close()
        store = self.stores[member] = Store(self.folders[member].name)
        store.demote_after_restart()
        assert (store.term, store.received, store.applied) == state
        assert store.role is not Role.PRIMARY

    @rule(fenced=majorities, stops_after_fence=st.booleans(), followers=majorities)
    def change_primary(self, fenced, stops_after_fence, followers):
        term = max(store.term for store in self.stores) + 1
        for member in fenced:
            self.stores[member].fence(term)
        if stops_after_fence:
            return
        chosen = max(fenced, key=lambda member: self.stores[member].received)
        primary = self.stores[chosen]
        primary.promote(term)
        log = {(entry.term, entry.lsn) for entry in primary.entries_after(0, 10_000)}
        assert self.acknowledged <= log
        visible = visible_values(primary)
        assert {
            self.value_by_position[position]
            for position in self.acknowledged
            if position in self.value_by_position
        } <= visible
        for member in followers:
            if member != chosen:
                self.stores[member].follow(term, str(chosen))

    @rule(member=members, writes=st.integers(1, 3))
    def write_while_partitioned(self, member, writes):
        """Write on a partitioned primary, which later follows its successor."""
        if self.stores[member].role is not Role.PRIMARY:
            return
        for _ in range(writes):
            self.write(member)
        others = tuple(other for other in MEMBERS if other != member)
        self.change_primary(others, False, (0, 1, 2))
        self.replicate_all()

    @invariant()
    def acknowledge(self):
        """Record the entries that a majority has received in their own term."""
        for primary in getattr(self, "stores", []):
            if primary.role is not Role.PRIMARY:
                continue
            term = primary.term
            for entry in primary.entries_after(0, 10_000):
                holders = [
                    store
                    for store in self.stores
                    if (store.term, store.received.term) == (term, term)
                    and store.received.lsn >= entry.lsn
                ]
                if entry.term == term and primary in holders and len(holders) >= 2:
                    self.acknowledged.add((entry.term, entry.lsn))

    @invariant()
    def data_follow_from_the_log(self):
        for store in getattr(self, "stores", []):
            log = store.entries_after(0, 10_000)
            assert [entry.lsn for entry in log] == list(range(1, len(log) + 1))
            logged_values = {
                self.value_by_position.get((e.term, e.lsn)) for e in log
            } - {None}
            applied_values = {
                self.value_by_position.get((e.term, e.lsn))
                for e in log
                if e.lsn <= store.applied.lsn
            } - {None}
            assert visible_values(store) == applied_values <= logged_values

    def teardown(self):
        for store in getattr(self, "stores", []):
            store.close()
        for folder in getattr(self, "folders", []):
            folder.cleanup()


TestGroup = GroupMachine.TestCase
TestGroup.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
