//! Which changes of engines' performance one neighbour in the tree has yet to receive.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    fleet::{BackendProcess, EngineCondition, EnginePerformance},
    time::Timestamp,
};

use super::{
    Observations,
    condition::{MIN_FLEET_SILENCE, Signs, Silence},
    speed::Speed,
};

/// The maximum number of engines in a message whose condition has changed, about 50 bytes each.
const MAX_CONDITIONS: usize = 64;
/// The maximum number of engines whose speed is sent at a time.
const MAX_SPEEDS: usize = 48;
/// The minimum time between two messages with speeds, which change slowly.
const SPEED_INTERVAL: Duration = Duration::from_millis(900);
/// The minimum difference of a speed that is worth sending.
const MIN_DIFFERENCE: f64 = 0.08;
/// The time after which an entry is sent again, in case the neighbour has lost it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);
/// The minimum time by which a refusal must be newer than the one sent.
const MIN_REFUSAL_ADVANCE: Duration = Duration::from_millis(250);
/// The minimum change of the start of a silence that is worth sending.
const MIN_SILENCE_ADVANCE: Duration = Duration::from_millis(100);
/// The minimum time by which a contact with a suspected engine must be newer than the one sent: short enough
/// that a contact crosses the tree while it still contradicts suspicions.
const MIN_CONTACT_ADVANCE: Duration = Duration::from_millis(100);

/// What a neighbour knows by the last message.
#[derive(Clone, Copy, Debug)]
struct Sent {
    observations: Observations,
    at: Timestamp,
}

/// The changes for one neighbour.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    sent: BTreeMap<BackendProcess, Sent>,
    changed_speeds: BTreeSet<BackendProcess>,
    changed_conditions: BTreeSet<BackendProcess>,
    speeds_sent_at: Timestamp,
}

impl Outbox {
    /// Notes that the speed of an engine has changed.
    pub(super) fn mark_speed(&mut self, engine: &BackendProcess) {
        if !self.changed_speeds.contains(engine) {
            self.changed_speeds.insert(engine.clone());
        }
    }

    /// Notes that the condition of an engine may have changed.
    pub(super) fn mark_condition(&mut self, engine: &BackendProcess) {
        if !self.changed_conditions.contains(engine) {
            self.changed_conditions.insert(engine.clone());
        }
    }

    /// Takes the entries of the next message. `observed` gives what all others have observed of an engine;
    /// `received` holds what the neighbour itself has sent.
    pub(super) fn take(
        &mut self,
        observed: impl Fn(&BackendProcess) -> Observations,
        received: &BTreeMap<BackendProcess, Observations>,
        now: Timestamp,
    ) -> Vec<EnginePerformance> {
        let mut engines = self.due_conditions(&observed, received, now);
        if now.saturating_since(self.speeds_sent_at) >= SPEED_INTERVAL {
            self.speeds_sent_at = now;
            self.mark_expiring(now);
            engines.extend(self.due_speeds(&observed, now));
        }
        engines.into_iter().flat_map(|engine| self.send(engine, &observed, now)).collect()
    }

    fn send(
        &mut self,
        engine: BackendProcess,
        observed: &impl Fn(&BackendProcess) -> Observations,
        now: Timestamp,
    ) -> Vec<EnginePerformance> {
        let observations = observed(&engine);
        self.changed_conditions.remove(&engine);
        self.changed_speeds.remove(&engine);
        self.sent.insert(engine.clone(), Sent { observations, at: now });
        observations.to_messages(&engine, now)
    }

    /// Engines whose condition the neighbour has to know, as many as a message holds. Those it need not know are
    /// unmarked.
    fn due_conditions(
        &mut self,
        observed: &impl Fn(&BackendProcess) -> Observations,
        received: &BTreeMap<BackendProcess, Observations>,
        now: Timestamp,
    ) -> Vec<BackendProcess> {
        let sent = &self.sent;
        let is_due = |engine: &BackendProcess| {
            let last = sent.get(engine);
            let known = last.map(|sent| sent.observations.signs).unwrap_or_default();
            let suspected = received.get(engine).and_then(|received| received.signs.open_silence());
            let signs = observed(engine).signs;
            let expires = last.is_some_and(|sent| is_expiring(sent, now)) && signs.open_silence().is_some();
            expires || differs(&signs, &known, suspected, now)
        };
        self.changed_conditions.retain(is_due);
        self.changed_conditions.iter().take(MAX_CONDITIONS).cloned().collect()
    }

    /// Engines whose speed has changed most. Those with no significant change are unmarked.
    fn due_speeds(
        &mut self,
        observed: &impl Fn(&BackendProcess) -> Observations,
        now: Timestamp,
    ) -> Vec<BackendProcess> {
        let mut due = Vec::new();
        let sent = &self.sent;
        self.changed_speeds.retain(|engine| {
            let known = sent.get(engine).filter(|sent| !is_expiring(sent, now));
            let known = known.map_or(Speed::default(), |sent| sent.observations.speed);
            let difference = observed(engine).speed.difference(known, now);
            if difference >= MIN_DIFFERENCE {
                due.push((Reverse((difference * 1e6) as u64), engine.clone()));
            }
            difference >= MIN_DIFFERENCE
        });
        due.sort_unstable();
        due.into_iter().take(MAX_SPEEDS).map(|(_, engine)| engine).collect()
    }

    /// Marks what was sent long ago, and forgets it if nothing of it is left.
    fn mark_expiring(&mut self, now: Timestamp) {
        self.sent.retain(|_, sent| !sent.observations.is_over(now));
        for (engine, sent) in &self.sent {
            if is_expiring(sent, now) {
                self.changed_speeds.insert(engine.clone());
                self.changed_conditions.insert(engine.clone());
            }
        }
    }
}

fn is_expiring(sent: &Sent, now: Timestamp) -> bool {
    now.saturating_since(sent.at) >= REFRESH_INTERVAL
}

/// Whether a neighbour that knows `known` and itself reports `suspected` has to learn of `signs`.
fn differs(signs: &Signs, known: &Signs, suspected: Option<Silence>, now: Timestamp) -> bool {
    let is_disputed = signs.silence.or(known.silence).or(suspected).is_some();
    let is_contact_news = is_disputed
        && signs.contact_at.is_some_and(|at| {
            at.saturating_since(known.contact_at.unwrap_or_default()) >= MIN_CONTACT_ADVANCE
        });
    match (signs.open_silence(), known.open_silence()) {
        (Some(silence), Some(sent)) => {
            return silence.nodes.min(2) != sent.nodes.min(2)
                || silence.since.saturating_since(sent.since) >= MIN_SILENCE_ADVANCE
                || is_contact_news;
        }
        (Some(_), None) | (None, Some(_)) => return true,
        (None, None) => {}
    }
    // A contact is only of interest to nodes that suspect the engine.
    let contradicts = suspected.is_some_and(|silence| {
        signs.contact_at > Some(silence.since) && known.contact_at <= Some(silence.since)
    });
    let refused_before = known.refused_at.unwrap_or_default();
    let is_refused = signs.fullness(now) > 0.0
        && signs.refused_at.is_some_and(|at| at.saturating_since(refused_before) >= MIN_REFUSAL_ADVANCE);
    contradicts || is_contact_news || is_refused
}

impl Observations {
    /// The entries of a message. That of a suspicion follows one with the newest contact, which readers keep: a
    /// node that does not know it would hold an engine for silent that answers others.
    fn to_messages(self, process: &BackendProcess, now: Timestamp) -> Vec<EnginePerformance> {
        let Some(silence) = self.signs.open_silence() else {
            return vec![self.without_silence(process, now)];
        };
        let is_recent = |at: &Timestamp| now.saturating_since(*at) < MIN_FLEET_SILENCE;
        let contact = self.signs.contact_at.filter(is_recent);
        let contact = contact.map(|at| self.entry(process, EngineCondition::Responsive, Some(at), 0, now));
        let silent = self.entry(process, EngineCondition::Silent, Some(silence.since), silence.nodes, now);
        contact.into_iter().chain([silent]).collect()
    }

    fn without_silence(self, process: &BackendProcess, now: Timestamp) -> EnginePerformance {
        if self.signs.fullness(now) > 0.0 {
            return self.entry(process, EngineCondition::Full, self.signs.refused_at, 0, now);
        }
        self.entry(process, EngineCondition::Responsive, self.signs.contact_at, 0, now)
    }

    fn entry(
        self,
        process: &BackendProcess,
        condition: EngineCondition,
        since: Option<Timestamp>,
        observers: u32,
        now: Timestamp,
    ) -> EnginePerformance {
        let speed = self.speed.decayed(now);
        EnginePerformance {
            process: process.clone(),
            condition,
            samples_per_mille: (speed.samples(now) * 1_000.0) as u32,
            slowness_per_mille: (speed.mean_ratio() * 1_000.0) as u32,
            age_ms: now.saturating_since(since.unwrap_or_default()).as_millis() as u64,
            observers,
        }
    }

    /// What a message written at `now` says.
    pub(super) fn from_message(message: &EnginePerformance, now: Timestamp) -> Self {
        let weight = f64::from(message.samples_per_mille) / 1_000.0;
        let ratio = f64::from(message.slowness_per_mille) / 1_000.0;
        let at = now - Duration::from_millis(message.age_ms);
        let mut signs = Signs::default();
        match message.condition {
            EngineCondition::Silent => {
                signs.silence = Some(Silence { since: at, nodes: message.observers.max(1) });
            }
            EngineCondition::Full => (signs.contact_at, signs.refused_at) = (Some(at), Some(at)),
            EngineCondition::Responsive => signs.contact_at = Some(at),
        }
        Self { speed: Speed::of(weight, ratio, now), signs }
    }
}
