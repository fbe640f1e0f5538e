//! What all nodes together know of the speed and the condition of each engine process.
//!
//! Each node adds up its own measurements. Reports carry the sums of a subtree upward, and digests carry
//! those of all other nodes downward, as far as they have changed. An entry replaces the one before it, and
//! what a neighbour has sent is left out of what it receives, so that no measurement counts twice. What a
//! neighbour has sent is dropped when it leaves; a node without neighbours goes by its own measurements.
//!
//! | module | responsibility |
//! |---|---|
//! | `speed` | the decaying mean of measured times relative to forecast ones |
//! | `condition` | whether an engine is silent or full, who probes it, and how nodes return to it |
//! | `exchange` | what is received from neighbours and sent to them |
//! | `outbox` | which changes a neighbour has yet to receive |

mod condition;
mod exchange;
mod outbox;
mod speed;

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    fleet::{BackendProcess, EngineCondition},
    identity::{EngineId, NodeId},
    time::Timestamp,
};

use super::forecast::NEUTRAL_SLOWNESS;

use self::{
    condition::{Return, Signs, Silence, due_probe, takes_part},
    exchange::{Neighbour, NeighbourId},
    speed::{MIN_WEIGHT, Speed},
};

/// The number of measurements of all nodes below which this node goes by its own.
const MIN_SAMPLES: f64 = 3.0;
/// How long the entries of a child are used after its last report.
const CHILD_TTL: Duration = Duration::from_millis(1_500);
/// How long an engine without further observations is remembered.
const SIGNS_TTL: Duration = Duration::from_secs(60);
/// The same for a silent one, which is only probed now and then.
const SILENCE_TTL: Duration = Duration::from_secs(600);
/// The time without a byte from an engine below which a node's own suspicion is not considered: other
/// requests of the node are being answered.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// The time between removals of expired entries.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// The minimum time between two reports that are sent early.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// What is known of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// The time to the first event relative to an engine of typical speed; 1 if unknown.
    pub slowness: f64,
    /// The number of measurements, weighted by their age.
    pub samples: f64,
    pub condition: EngineCondition,
}

impl EngineProfile {
    /// Whether there are enough measurements to tell the speed.
    pub fn is_measured(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// The slowness if it is measured, and that of a typical engine otherwise.
    pub fn known_slowness(self) -> f64 {
        if self.is_measured() { self.slowness } else { NEUTRAL_SLOWNESS }
    }
}

/// What some nodes have observed of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Observations {
    speed: Speed,
    signs: Signs,
}

impl Observations {
    fn add(&mut self, other: &Self, now: Timestamp) {
        self.speed.add(other.speed, now);
        self.signs.add(&other.signs);
    }

    /// Whether nothing of it matters any more.
    fn is_over(&self, now: Timestamp) -> bool {
        let newest = self.signs.contact_at.max(self.signs.refused_at);
        let is_recent = newest.is_some_and(|at| now.saturating_since(at) < SIGNS_TTL);
        let is_silent = self
            .signs
            .open_silence()
            .is_some_and(|silence| now.saturating_since(silence.since) < SILENCE_TTL);
        self.speed.samples(now) < MIN_WEIGHT && !is_recent && !is_silent
    }
}

/// What this node knows of an engine from all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    observations: Observations,
    /// The return to the engine after it had been silent.
    returning: Option<Return>,
    /// The probe that this node has sent, by the start of the silence and its number.
    probed: Option<(Timestamp, u32)>,
}

/// The performance of all engines, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct Performances {
    own: BTreeMap<BackendProcess, Observations>,
    parent: Option<Neighbour>,
    children: BTreeMap<NodeId, Neighbour>,
    known: BTreeMap<BackendProcess, Known>,
    /// The number of nodes, among which probes are divided.
    nodes: u32,
    /// Whether a condition has changed that the parent does not know yet.
    is_urgent: bool,
    urgent_at: Option<Timestamp>,
    pruned_at: Timestamp,
}

impl Performances {
    /// Records the time to the first event of an answer, against the one forecast for an engine of typical
    /// speed.
    pub fn record_first_event(
        &mut self,
        engine: &BackendProcess,
        forecast: Duration,
        measured: Duration,
        now: Timestamp,
    ) {
        self.record_weighted_first_event(engine, forecast, measured, 1.0, now);
    }

    /// The same with a weight from 0 to 1, lower the more of the time is due to other requests.
    pub fn record_weighted_first_event(
        &mut self,
        engine: &BackendProcess,
        forecast: Duration,
        measured: Duration,
        weight: f64,
        now: Timestamp,
    ) {
        self.record_contact(engine, now);
        if forecast.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / forecast.as_secs_f64();
        let measurement = Speed::of(weight.clamp(0.0, 1.0), ratio, now);
        self.update_own(engine, |own| own.speed.add(measurement, now));
        self.refresh(engine, now);
        self.neighbours_mut().for_each(|(_, neighbour)| neighbour.outbox.mark_speed(engine));
    }

    /// Records that any byte of an answer arrived.
    pub fn record_contact(&mut self, engine: &BackendProcess, now: Timestamp) {
        self.update_own(engine, |own| own.signs.contact_at = own.signs.contact_at.max(Some(now)));
        match self.known.get_mut(engine).map(|known| &mut known.observations.signs) {
            // Parts of streams arrive often, and matter only for an engine that some node suspects.
            Some(signs) if signs.silence.is_none() => signs.contact_at = signs.contact_at.max(Some(now)),
            Some(_) => {
                self.refresh(engine, now);
                self.mark_condition(engine, None);
            }
            None => self.refresh(engine, now),
        }
    }

    /// Records that an engine has left a request of this node unanswered for longer than its answers take.
    pub fn record_silence(&mut self, engine: &BackendProcess, now: Timestamp) {
        let own = self.own.get(engine).map(|own| own.signs).unwrap_or_default();
        let is_answering = own.contact_at.is_some_and(|at| now.saturating_since(at) < MIN_SILENCE);
        if is_answering || own.open_silence().is_some() {
            return;
        }
        // Probes that fail belong to the silence that is already known, and must not restart its back-off.
        let known = self.known.get(engine).and_then(|known| known.observations.signs.open_silence());
        let since = known.map_or(now, |known| known.since);
        self.update_own(engine, |own| own.signs.silence = Some(Silence { since, nodes: 1 }));
        self.refresh(engine, now);
        self.mark_condition(engine, None);
    }

    /// Records that an engine refused a request because it is full.
    pub fn record_refusal(&mut self, engine: &BackendProcess, now: Timestamp) {
        self.record_contact(engine, now);
        self.update_own(engine, |own| own.signs.refused_at = Some(now));
        self.refresh(engine, now);
        self.mark_condition(engine, None);
    }

    /// Records that this node sends a request: to a silent engine it sends one a probe.
    pub fn record_sent(&mut self, engine: &BackendProcess, now: Timestamp) {
        let Some(known) = self.known.get_mut(engine) else { return };
        let signs = &known.observations.signs;
        if let Some(silence) = signs.open_silence().filter(|_| signs.is_silent(now)) {
            known.probed = due_probe(silence.since, now).map(|probe| (silence.since, probe));
        }
    }

    /// What all nodes know of an engine: speed 1 and no samples if nothing.
    pub fn profile(&self, engine: &BackendProcess, now: Timestamp) -> EngineProfile {
        let observations = self.known.get(engine).map(|known| known.observations).unwrap_or_default();
        EngineProfile {
            slowness: observations.speed.slowness(now),
            samples: observations.speed.samples(now),
            condition: observations.signs.condition(now),
        }
    }

    /// Whether a node may send requests to an engine; `draw` is drawn uniformly from 0 to 1, once for each
    /// node and engine. A silent engine gets single probes of a few nodes. Nodes return to an engine that
    /// answers again, or was full, one after another.
    pub fn may_send(&self, engine: &BackendProcess, draw: f64, now: Timestamp) -> bool {
        let Some(known) = self.known.get(engine) else { return true };
        let signs = &known.observations.signs;
        if let Some(silence) = signs.open_silence().filter(|_| signs.is_silent(now)) {
            return due_probe(silence.since, now).is_some_and(|probe| {
                known.probed != Some((silence.since, probe)) && takes_part(draw, probe, self.nodes)
            });
        }
        let returned = known.returning.map_or(1.0, |returning| returning.share(now));
        draw <= returned && draw >= signs.fullness(now)
    }

    /// The number of engines in each condition other than responsive: silent and full ones.
    pub fn count_conditions(&self, now: Timestamp) -> (usize, usize) {
        let conditions = self.known.values().map(|known| known.observations.signs.condition(now));
        conditions.fold((0, 0), |(silent, full), condition| match condition {
            EngineCondition::Silent => (silent + 1, full),
            EngineCondition::Full => (silent, full + 1),
            EngineCondition::Responsive => (silent, full),
        })
    }

    /// The engine processes that are silent.
    pub fn silent(&self, now: Timestamp) -> impl Iterator<Item = &BackendProcess> {
        self.known
            .iter()
            .filter(move |(_, known)| known.observations.signs.is_silent(now))
            .map(|(engine, _)| engine)
    }

    /// The engine processes that are silent by what other nodes have observed, with the start of their silence.
    /// This node's own suspicion does not count, so that it never confirms itself.
    pub fn reported_silent(&self, now: Timestamp) -> impl Iterator<Item = (&BackendProcess, Timestamp)> {
        let silent = self.known.iter().filter(move |(_, known)| known.observations.signs.is_silent(now));
        silent.filter_map(move |(engine, known)| {
            let mut signs = self.received_signs(engine);
            signs.contact_at = known.observations.signs.contact_at;
            let silence = signs.open_silence().filter(|_| signs.is_silent(now))?;
            Some((engine, silence.since))
        })
    }

    /// What the neighbours have sent of an engine's condition.
    fn received_signs(&self, engine: &BackendProcess) -> Signs {
        let neighbours = self.parent.iter().chain(self.children.values());
        let received = neighbours.filter_map(|neighbour| neighbour.received.get(engine));
        received.fold(Signs::default(), |mut signs, observations| {
            signs.add(&observations.signs);
            signs
        })
    }

    /// Drops what this node has observed of a back end that is gone or has restarted.
    pub fn forget(&mut self, engine: &EngineId, now: Timestamp) {
        let is_gone = |process: &&BackendProcess| process.id == *engine;
        let gone: Vec<BackendProcess> = self.own.keys().filter(is_gone).cloned().collect();
        for process in &gone {
            self.own.remove(process);
        }
        self.refresh_all(gone.iter(), None, now);
    }

    /// Removes children that no longer report, and expired entries. `nodes` is the number of nodes.
    pub fn tick(&mut self, nodes: u32, now: Timestamp) {
        self.nodes = nodes;
        let is_gone = |child: &Neighbour| now.saturating_since(child.heard_at) >= CHILD_TTL;
        let gone: Vec<NodeId> =
            self.children.iter().filter(|(_, child)| is_gone(child)).map(|(node, _)| node.clone()).collect();
        for node in gone {
            self.remove_child(&node, now);
        }
        if now.saturating_since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.prune(now);
        }
    }

    fn prune(&mut self, now: Timestamp) {
        self.own.retain(|_, own| !own.is_over(now));
        self.known.retain(|_, known| !known.observations.is_over(now));
        for (_, neighbour) in self.neighbours_mut() {
            neighbour.received.retain(|_, received| !received.is_over(now));
        }
    }

    fn refresh_all<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a BackendProcess>,
        from: Option<NeighbourId<'_>>,
        now: Timestamp,
    ) {
        for engine in engines {
            self.refresh(engine, now);
            self.mark_condition(engine, from);
            self.neighbours_mut().for_each(|(_, neighbour)| neighbour.outbox.mark_speed(engine));
        }
    }

    /// Adds up again what is known of an engine, and notes when a silence ends.
    fn refresh(&mut self, engine: &BackendProcess, now: Timestamp) {
        let observations = self.sum(engine, now);
        let known = match self.known.get_mut(engine) {
            Some(known) => known,
            None => self.known.entry(engine.clone()).or_default(),
        };
        let before = &known.observations.signs;
        if let Some(silence) = before.open_silence().filter(|_| before.is_silent(now))
            && observations.signs.open_silence().is_none()
        {
            (known.returning, known.probed) = (Some(Return::after(silence, now)), None);
        }
        known.observations = observations;
        // A contact of any node clears this node's own suspicion for good.
        let contact_at = observations.signs.contact_at;
        if let Some(own) = self.own.get_mut(engine) {
            own.signs.silence = own.signs.silence.filter(|silence| contact_at <= Some(silence.since));
        }
    }

    /// The observations of this node and its neighbours.
    fn sum(&self, engine: &BackendProcess, now: Timestamp) -> Observations {
        let mut sum = self.own.get(engine).copied().unwrap_or_default();
        for neighbour in self.parent.iter().chain(self.children.values()) {
            if let Some(received) = neighbour.received.get(engine) {
                sum.add(received, now);
            }
        }
        sum
    }

    /// Marks an engine for all neighbours except the one that its condition was received from.
    fn mark_condition(&mut self, engine: &BackendProcess, from: Option<NeighbourId<'_>>) {
        self.is_urgent |= from != Some(NeighbourId::Parent);
        self.neighbours_mut().for_each(|(_, neighbour)| neighbour.outbox.mark_condition(engine));
    }

    fn update_own(&mut self, engine: &BackendProcess, update: impl FnOnce(&mut Observations)) {
        match self.own.get_mut(engine) {
            Some(own) => update(own),
            None => {
                let mut own = Observations::default();
                update(&mut own);
                self.own.insert(engine.clone(), own);
            }
        }
    }
}
