//! The exchange of observations with the neighbours in the tree of nodes.

use std::collections::BTreeMap;

use paddlemount_protocol::{
    fleet::{BackendProcess, EnginePerformance},
    identity::NodeId,
    time::Timestamp,
};

use super::{MIN_URGENT_INTERVAL, Observations, Performances, outbox::Outbox};

/// A neighbour in the tree of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NeighbourId<'a> {
    Parent,
    Child(&'a NodeId),
}

/// What a neighbour has sent, and what it has yet to receive.
#[derive(Clone, Debug, Default)]
pub(super) struct Neighbour {
    pub(super) received: BTreeMap<BackendProcess, Observations>,
    pub(super) outbox: Outbox,
    pub(super) heard_at: Timestamp,
}

impl Performances {
    /// Removes a child that reports elsewhere from now on.
    pub fn remove_child(&mut self, node: &NodeId, now: Timestamp) {
        let Some(child) = self.children.remove(node) else { return };
        self.refresh_all(child.received.keys(), None, now);
    }

    /// Starts anew with another parent, or with none: what the one before has sent is dropped.
    pub fn reset_parent(&mut self, now: Timestamp) {
        let Some(parent) = self.parent.take() else { return };
        self.refresh_all(parent.received.keys(), Some(NeighbourId::Parent), now);
    }

    /// Takes the entries for the next report to the parent.
    pub fn report(&mut self, now: Timestamp) -> Vec<EnginePerformance> {
        self.is_urgent = false;
        let is_new = self.parent.is_none();
        let mut parent = self.parent.take().unwrap_or_default();
        if is_new {
            self.mark_all(&mut parent.outbox);
        }
        let observed = |engine: &BackendProcess| self.sum(engine, now);
        let entries = parent.outbox.take(observed, &parent.received, now);
        self.parent = Some(parent);
        entries
    }

    /// Applies a report. The first one of a child's link replaces all that it has sent before.
    pub fn receive_report(
        &mut self,
        child: &NodeId,
        is_first: bool,
        entries: &[EnginePerformance],
        now: Timestamp,
    ) {
        if is_first {
            self.remove_child(child, now);
        }
        if !self.children.contains_key(child) {
            let mut neighbour = Neighbour::default();
            self.mark_all(&mut neighbour.outbox);
            self.children.insert(child.clone(), neighbour);
        }
        let Some(neighbour) = self.children.get_mut(child) else { return };
        neighbour.heard_at = now;
        receive(neighbour, entries, now);
        self.apply(entries, NeighbourId::Child(child), now);
    }

    /// Takes the entries for the answer to a child's report.
    pub fn digest_for(&mut self, child: &NodeId, now: Timestamp) -> Vec<EnginePerformance> {
        let Some(mut neighbour) = self.children.remove(child) else { return Vec::new() };
        let observed = |engine: &BackendProcess| self.sum(engine, now);
        let entries = neighbour.outbox.take(observed, &neighbour.received, now);
        self.children.insert(child.clone(), neighbour);
        entries
    }

    /// Applies the parent's answer to a report that was sent at `sent_at`.
    pub fn receive_digest(&mut self, entries: &[EnginePerformance], sent_at: Timestamp, now: Timestamp) {
        let Some(parent) = &mut self.parent else { return };
        receive(parent, entries, sent_at);
        self.apply(entries, NeighbourId::Parent, now);
    }

    /// Whether the next report should not wait, as the condition of an engine has changed.
    pub fn take_urgent(&mut self, now: Timestamp) -> bool {
        let waited =
            self.urgent_at.is_none_or(|urgent_at| now.saturating_since(urgent_at) >= MIN_URGENT_INTERVAL);
        let is_urgent = self.is_urgent && waited;
        if is_urgent {
            self.urgent_at = Some(now);
            self.is_urgent = false;
        }
        is_urgent
    }

    /// Whether there is a changed condition for the parent.
    pub const fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    fn apply(&mut self, entries: &[EnginePerformance], from: NeighbourId<'_>, now: Timestamp) {
        for engine in entries.iter().map(|entry| &entry.process) {
            let before = self.known.get(engine).map(|known| known.observations.signs).unwrap_or_default();
            self.refresh(engine, now);
            let after = self.known.get(engine).map(|known| known.observations.signs).unwrap_or_default();
            // A suspicion that this node can contradict must not spread further.
            self.is_urgent |= before.silence != after.silence && after.open_silence().is_none();
            if before.silence != after.silence
                || before.contact_at != after.contact_at && after.silence.or(before.silence).is_some()
                || before.refused_at != after.refused_at
            {
                self.mark_condition(engine, Some(from));
            }
            let others = self.neighbours_mut().filter(|(id, _)| *id != from);
            others.for_each(|(_, neighbour)| neighbour.outbox.mark_speed(engine));
        }
    }

    fn mark_all(&self, outbox: &mut Outbox) {
        for engine in self.known.keys() {
            outbox.mark_speed(engine);
            outbox.mark_condition(engine);
        }
    }

    pub(super) fn neighbours_mut(&mut self) -> impl Iterator<Item = (NeighbourId<'_>, &mut Neighbour)> {
        let parent = self.parent.iter_mut().map(|parent| (NeighbourId::Parent, parent));
        parent.chain(self.children.iter_mut().map(|(node, child)| (NeighbourId::Child(node), child)))
    }
}

/// Replaces what a neighbour has sent of these engines before.
fn receive(neighbour: &mut Neighbour, entries: &[EnginePerformance], written_at: Timestamp) {
    for entry in entries {
        let mut observations = Observations::from_message(entry, written_at);
        // The entry of a silent engine has no contact; the last one known still contradicts new suspicions.
        let known = neighbour.received.get(&entry.process).map(|known| known.signs.contact_at);
        observations.signs.contact_at = observations.signs.contact_at.max(known.flatten());
        neighbour.received.insert(entry.process.clone(), observations);
    }
}
