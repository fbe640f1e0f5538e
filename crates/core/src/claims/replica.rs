//! Stores claims at one replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    identity::AttemptId,
    peer::claims::{ClaimKey, ClaimMessage, ClaimReply, Fingerprint, PlacementEpoch, RecordedOutcome},
    time::Timestamp,
};

use super::{ClaimSettings, key};

/// Estimated bytes of an entry besides its key and answer, for the memory bound.
const ENTRY_BYTES: usize = 256;

/// The claims that one node stores.
///
/// The replica grants a claim only for a key issued after `floor`, and stores every claim that any of its
/// earlier incarnations may have granted for such a key: a new replica sets the floor above each key that
/// could have been granted before its start, and dropping claims raises the floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimReplica {
    settings: ClaimSettings,
    floor: Timestamp,
    epoch: PlacementEpoch,
    sealed: bool,
    entries: BTreeMap<ClaimKey, Entry>,
    by_age: BTreeSet<(Timestamp, ClaimKey)>,
    bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    owner: AttemptId,
    fingerprint: Fingerprint,
    state: EntryState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum EntryState {
    Granted { until: Timestamp },
    Ended(RecordedOutcome),
    Released,
}

/// Memory usage of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaUsage {
    pub entries: usize,
    /// Bytes of keys and answers, plus an estimate for the remainder.
    pub bytes: usize,
    /// Keys issued at or before this time are refused.
    pub floor: Timestamp,
}

impl ClaimReplica {
    /// Creates the state of a process that starts at `now`.
    pub fn new(settings: ClaimSettings, epoch: PlacementEpoch, now: Timestamp) -> Self {
        Self::with_floor(settings, epoch, now + settings.clock_skew * 2)
    }

    /// Creates a state that claims to reach back to `floor`. Only for tests of the case that it does not.
    pub fn with_floor(settings: ClaimSettings, epoch: PlacementEpoch, floor: Timestamp) -> Self {
        Self {
            settings,
            floor,
            epoch,
            sealed: false,
            entries: BTreeMap::new(),
            by_age: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the memory usage.
    pub fn usage(&self) -> ReplicaUsage {
        ReplicaUsage { entries: self.entries.len(), bytes: self.bytes, floor: self.floor }
    }

    /// Adopts a placement epoch; earlier epochs are ignored. With a new epoch, the replica refuses all keys
    /// that a replica of the previous epoch may have granted.
    pub fn adopt(&mut self, epoch: PlacementEpoch, sealed: bool, now: Timestamp) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.sealed = false;
            self.floor = self.floor.max(now + self.settings.clock_skew * 2);
        }
        self.sealed |= sealed && epoch == self.epoch;
    }

    /// Handles a message and returns the reply.
    pub fn handle(&mut self, message: &ClaimMessage, now: Timestamp) -> ClaimReply {
        self.drop_old(now);
        match message {
            ClaimMessage::Claim { epoch, key, owner, fingerprint, run_for_ms } => {
                let until = now + Duration::from_millis(*run_for_ms);
                self.claim(*epoch, key, owner, *fingerprint, until, now)
            }
            ClaimMessage::Record { key, owner, fingerprint, outcome } => {
                self.record(key, owner, *fingerprint, outcome, now);
                ClaimReply::Acknowledged
            }
            ClaimMessage::Release { key, owner } => {
                self.release(key, owner, now);
                ClaimReply::Acknowledged
            }
            ClaimMessage::Seal { epoch } => self.seal(*epoch),
        }
    }

    fn claim(
        &mut self,
        epoch: PlacementEpoch,
        key: &ClaimKey,
        owner: &AttemptId,
        fingerprint: Fingerprint,
        until: Timestamp,
        now: Timestamp,
    ) -> ClaimReply {
        if let Some(reply) = self.existing_reply(key, owner, now) {
            return reply;
        }
        if let Some(reply) = self.refusal(epoch, key, now) {
            return reply;
        }
        let entry = Entry { owner: owner.clone(), fingerprint, state: EntryState::Granted { until } };
        self.insert(key, entry);
        ClaimReply::Granted
    }

    /// Returns the reply for a key with an entry.
    fn existing_reply(&self, key: &ClaimKey, owner: &AttemptId, now: Timestamp) -> Option<ClaimReply> {
        let entry = self.entries.get(key)?;
        let fingerprint = entry.fingerprint;
        match &entry.state {
            EntryState::Released if entry.owner == *owner => Some(ClaimReply::AlreadyReleased),
            EntryState::Released => None,
            EntryState::Granted { .. } if entry.owner == *owner => Some(ClaimReply::Granted),
            EntryState::Granted { until } if now <= *until => Some(ClaimReply::InProgress { fingerprint }),
            EntryState::Granted { .. } => {
                Some(ClaimReply::Ended { fingerprint, outcome: RecordedOutcome::Unknown })
            }
            EntryState::Ended(outcome) => Some(ClaimReply::Ended { fingerprint, outcome: outcome.clone() }),
        }
    }

    /// Returns the reason for which a key without an entry is not granted.
    fn refusal(&self, epoch: PlacementEpoch, key: &ClaimKey, now: Timestamp) -> Option<ClaimReply> {
        if epoch != self.epoch || self.sealed {
            return Some(ClaimReply::OtherEpoch { epoch: self.epoch });
        }
        let Ok(issued) = key::issued_at(&key.key) else {
            return Some(ClaimReply::TooOld { floor: self.floor });
        };
        if issued <= self.floor {
            return Some(ClaimReply::TooOld { floor: self.floor });
        }
        (issued > now + self.settings.clock_skew).then_some(ClaimReply::FromFuture { now })
    }

    /// Records an outcome, also for a key that is too old to be granted, as a recorded outcome cannot cause
    /// another run.
    fn record(
        &mut self,
        key: &ClaimKey,
        owner: &AttemptId,
        fingerprint: Fingerprint,
        outcome: &RecordedOutcome,
        now: Timestamp,
    ) {
        let Ok(issued) = key::issued_at(&key.key) else { return };
        let is_expired = issued <= now - self.settings.retention;
        let other_completed = self.entries.get(key).is_some_and(|entry| {
            entry.owner != *owner
                && matches!(entry.state, EntryState::Ended(RecordedOutcome::Completed { .. }))
        });
        if is_expired || other_completed {
            return;
        }
        let state = EntryState::Ended(self.without_oversized_answer(outcome));
        self.insert(key, Entry { owner: owner.clone(), fingerprint, state });
    }

    fn without_oversized_answer(&self, outcome: &RecordedOutcome) -> RecordedOutcome {
        match outcome {
            RecordedOutcome::Completed { answer: Some(answer) }
                if answer.len() > self.settings.max_answer_bytes =>
            {
                RecordedOutcome::Completed { answer: None }
            }
            outcome => outcome.clone(),
        }
    }

    /// Records that `owner` will not run the request, also if its claim has not arrived yet.
    fn release(&mut self, key: &ClaimKey, owner: &AttemptId, now: Timestamp) {
        let Ok(issued) = key::issued_at(&key.key) else { return };
        if issued <= self.floor || issued > now + self.settings.clock_skew {
            self.remove_granted(key, owner);
            return;
        }
        let is_settled = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.owner != *owner || matches!(entry.state, EntryState::Ended(_)));
        if !is_settled {
            let fingerprint = self.entries.get(key).map_or(Fingerprint(0), |entry| entry.fingerprint);
            self.insert(key, Entry { owner: owner.clone(), fingerprint, state: EntryState::Released });
        }
    }

    fn remove_granted(&mut self, key: &ClaimKey, owner: &AttemptId) {
        let is_running = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.owner == *owner && matches!(entry.state, EntryState::Granted { .. }));
        if is_running {
            self.remove(key);
        }
    }

    fn seal(&mut self, epoch: PlacementEpoch) -> ClaimReply {
        if epoch < self.epoch {
            return ClaimReply::Acknowledged;
        }
        if epoch > self.epoch {
            return ClaimReply::OtherEpoch { epoch: self.epoch };
        }
        self.sealed = true;
        ClaimReply::Acknowledged
    }

    /// Drops claims older than the retention, and the oldest ones above the memory bounds.
    fn drop_old(&mut self, now: Timestamp) {
        self.raise_floor(now - self.settings.retention);
        while self.entries.len() > self.settings.max_entries || self.bytes > self.settings.max_bytes {
            let Some((issued, _)) = self.by_age.first() else { return };
            let issued = *issued;
            self.raise_floor(issued);
        }
    }

    /// Drops all claims issued at or before `floor` and refuses such keys from now on.
    fn raise_floor(&mut self, floor: Timestamp) {
        self.floor = self.floor.max(floor);
        while let Some((issued, key)) = self.by_age.first() {
            if *issued > floor {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    fn insert(&mut self, key: &ClaimKey, entry: Entry) {
        self.remove(key);
        let Ok(issued) = key::issued_at(&key.key) else { return };
        self.bytes += entry_bytes(key, &entry);
        self.by_age.insert((issued, key.clone()));
        self.entries.insert(key.clone(), entry);
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.bytes -= entry_bytes(key, &entry);
        if let Ok(issued) = key::issued_at(&key.key) {
            self.by_age.remove(&(issued, key.clone()));
        }
    }
}

fn entry_bytes(key: &ClaimKey, entry: &Entry) -> usize {
    let answer = match &entry.state {
        EntryState::Ended(RecordedOutcome::Completed { answer: Some(answer) }) => answer.len(),
        _ => 0,
    };
    ENTRY_BYTES + 2 * (key.tenant.as_str().len() + key.key.as_str().len()) + answer
}
