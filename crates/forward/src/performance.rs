//! Records what this node observes of engines, and exchanges it with other nodes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::Choice,
    forecast::{EngineWorkload, NEUTRAL_SLOWNESS, RequestWork, time_to_first_event},
    performance::{EngineProfile, Performances},
};
use paddlemount_protocol::{
    fleet::{BackendProcess, EnginePerformance},
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use crate::{
    journal::Event,
    metrics::{Counter, Gauge},
    node::Node,
    node_state::NodeState,
};

/// The number of recent answers of a service by which times are forecast.
const MAX_RECENT: usize = 64;
/// The minimum number of them.
const MIN_RECENT: usize = 16;
/// The maximum number of log lines in one round of reports.
const MAX_LOGGED: usize = 16;

/// The state of a node's measurements of engines.
#[derive(Debug, Default)]
pub struct EngineRecords {
    pub performances: Performances,
    /// Whether the settings have nodes share them.
    pub are_shared: bool,
    recent: BTreeMap<ServiceId, RecentTimes>,
    /// Engines that are logged as silent.
    silent: BTreeSet<BackendProcess>,
}

/// The work and the times to the first event of a service's recent answers.
#[derive(Debug, Default)]
struct RecentTimes {
    /// Tokens to prefill and seconds.
    answers: VecDeque<(u64, f64)>,
}

impl RecentTimes {
    fn record(&mut self, tokens: u64, measured: Duration) {
        self.answers.push_back((tokens, measured.as_secs_f64()));
        if self.answers.len() > MAX_RECENT {
            self.answers.pop_front();
        }
    }

    /// The expected time of `tokens` at an engine of typical speed: the median time of answers with little
    /// work, and the median time per token of those with much.
    fn forecast(&self, tokens: u64) -> Option<Duration> {
        if self.answers.len() < MIN_RECENT {
            return None;
        }
        let middle = median(self.answers.iter().map(|(tokens, _)| *tokens as f64))?;
        let (little, much): (Vec<_>, Vec<_>) =
            self.answers.iter().partition(|(tokens, _)| *tokens as f64 <= middle);
        let overhead = median(little.iter().map(|(_, seconds)| *seconds))?;
        let per_token = much.iter().map(|(tokens, seconds)| (seconds - overhead).max(0.0) / *tokens as f64);
        let per_token = median(per_token).unwrap_or(0.0);
        let further = (tokens as f64 - middle).max(0.0);
        Duration::try_from_secs_f64(overhead + per_token * further).ok()
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl NodeState {
    /// What all nodes know of a back end.
    pub(crate) fn profile(&self, id: &BackendId, now: Timestamp) -> EngineProfile {
        self.engines.performances.profile(&self.backends.process_of(id), now)
    }

    /// The share of a measured time that is due to the request itself: with requests waiting for a slot, most
    /// of the time was spent in the queue.
    fn measurement_weight(&self, id: &BackendId) -> f64 {
        let slots = self.backends.get(id).map_or(1, |backend| backend.entry.slots.max(1));
        let waiting = self.chooser.loads.total_requests(id).saturating_sub(slots);
        1.0 / (1.0 + f64::from(waiting))
    }

    /// Engines that this node suspects by its requests without an answer.
    fn suspected_engines(&self, now: Timestamp) -> Vec<BackendProcess> {
        let suspects = self.chooser.loads.suspects(now).filter(|id| self.is_engine(id));
        suspects.map(|id| self.backends.process_of(id)).collect()
    }

    /// Engines that this node suspects by all that it waits for, and that do not load weights.
    fn overdue_engines(&mut self, now: Timestamp) -> Vec<BackendProcess> {
        let overdue = self.silences.overdue(now);
        let judged =
            overdue.filter(|process| self.is_engine(&process.id) && !self.may_pause(&process.id, now));
        let engines: Vec<BackendProcess> = judged.cloned().collect();
        engines.iter().for_each(|process| self.record_doubt(process, now));
        engines
    }

    /// Takes over which engines are silent by what other nodes report.
    fn receive_silences(&mut self, now: Timestamp) {
        let reported = self.engines.performances.reported_silent(now);
        let reported: Vec<(BackendProcess, Timestamp)> =
            reported.map(|(process, since)| (process.clone(), since)).collect();
        for (process, since) in reported {
            self.silences.record_report(&process, now);
            self.record_doubt(&process, since);
        }
    }

    fn is_engine(&self, id: &BackendId) -> bool {
        self.backends.get(id).is_some_and(|backend| !backend.entry.weights.is_empty())
    }

    /// The time to the first event that an engine of typical speed would need: by the rates that all nodes know,
    /// or by recent answers until there are any.
    fn expected_first_event(
        &self,
        service: &ServiceId,
        workload: EngineWorkload,
        tokens: u64,
        now: Timestamp,
    ) -> Option<Duration> {
        if let Some(rates) = self.trusted_rates(service, now) {
            let work = RequestWork { prefill_tokens: tokens, transfer: Duration::ZERO };
            return Some(time_to_first_event(&rates, NEUTRAL_SLOWNESS, workload, work));
        }
        self.engines.recent.get(service)?.forecast(tokens)
    }

    fn record_first_event(
        &mut self,
        process: &BackendProcess,
        workload: EngineWorkload,
        tokens: u64,
        measured: Duration,
        now: Timestamp,
    ) {
        let backend = self.backends.get(&process.id);
        let Some(service) = backend.map(|backend| backend.entry.service.clone()) else { return };
        let forecast = self.expected_first_event(&service, workload, tokens, now);
        let weight = self.measurement_weight(&process.id);
        self.engines.recent.entry(service).or_default().record(tokens, measured);
        let performances = &mut self.engines.performances;
        match forecast {
            Some(forecast) => {
                performances.record_weighted_first_event(process, forecast, measured, weight, now);
            }
            None => performances.record_contact(process, now),
        }
    }
}

impl Node {
    /// The engine process of a request whose performance is recorded, if nodes share that.
    pub(crate) fn recorded_engine(&self, choice: &Choice) -> Option<BackendProcess> {
        let is_recorded = choice.scope.is_some() && self.settings().load.share_performance;
        is_recorded.then(|| self.process_of(&choice.backend))
    }

    /// Records that a request is sent to an engine.
    pub(crate) fn record_engine_sent(&self, process: Option<&BackendProcess>) {
        let Some(process) = process else { return };
        let now = self.now();
        self.state.borrow_mut().engines.performances.record_sent(process, now);
    }

    /// Records the time to the first event of a request with `tokens` to prefill.
    pub(crate) fn record_engine_first_event(
        &self,
        process: &BackendProcess,
        workload: EngineWorkload,
        tokens: u64,
        measured: Duration,
    ) {
        let now = self.now();
        self.state.borrow_mut().record_first_event(process, workload, tokens, measured, now);
    }

    /// Records that a part of an answer arrived. Watched requests record it themselves.
    pub(crate) fn record_engine_contact(&self, process: Option<&BackendProcess>) {
        if let Some(process) = process.filter(|_| !self.leaves_silent_engines()) {
            self.share_contact(process);
        }
    }

    /// Lets other nodes know that an engine sends.
    pub(crate) fn share_contact(&self, process: &BackendProcess) {
        let now = self.now();
        self.state.borrow_mut().engines.performances.record_contact(process, now);
        self.report_urgent_conditions();
    }

    /// Records that an engine sends nothing. Watched requests are looked at by [`Node::tick_performance`].
    pub(crate) fn record_engine_silence(&self, process: Option<&BackendProcess>) {
        if let Some(process) = process.filter(|_| !self.leaves_silent_engines()) {
            self.share_silence(process);
        }
    }

    /// Lets other nodes know that an engine sends nothing.
    fn share_silence(&self, process: &BackendProcess) {
        self.metrics.count(Counter::EngineConditions("silent"));
        let now = self.now();
        self.state.borrow_mut().engines.performances.record_silence(process, now);
        self.report_urgent_conditions();
    }

    /// Records that an engine refused a request.
    pub(crate) fn record_engine_refusal(&self, process: Option<&BackendProcess>) {
        let Some(process) = process else { return };
        self.metrics.count(Counter::EngineConditions("full"));
        let now = self.now();
        self.state.borrow_mut().engines.performances.record_refusal(process, now);
        self.report_urgent_conditions();
    }

    /// Lets the next report go at once if the condition of an engine has changed.
    fn report_urgent_conditions(&self) {
        let now = self.now();
        if self.state.borrow_mut().engines.performances.take_urgent(now) {
            self.early_report.set(true);
            self.leader_known.notify_one();
        }
    }

    /// Looks for engines that leave requests unanswered, and removes expired entries. Must be called several
    /// times a second.
    pub(crate) fn tick_performance(&self) {
        let are_shared = self.settings().load.share_performance;
        self.state.borrow_mut().engines.are_shared = are_shared;
        if !are_shared {
            return;
        }
        let (now, nodes) = (self.now(), self.nodes().upper_bound());
        let leaves_silent = self.leaves_silent_engines();
        let suspects = {
            let mut state = self.state.borrow_mut();
            state.engines.performances.tick(nodes, now);
            if leaves_silent {
                state.receive_silences(now);
                state.overdue_engines(now)
            } else {
                state.suspected_engines(now)
            }
        };
        suspects.iter().for_each(|process| self.share_silence(process));
        self.log_silent_engines();
    }

    /// Logs which engines are avoided from now on, and which no longer.
    fn log_silent_engines(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let engines = &mut state.engines;
        let silent: BTreeSet<BackendProcess> = engines.performances.silent(now).cloned().collect();
        let began = silent.difference(&engines.silent).map(|process| (process, true));
        let ended = engines.silent.difference(&silent).map(|process| (process, false));
        for (process, silent) in began.chain(ended).take(MAX_LOGGED) {
            self.journal.log(&Event::EngineSilent { backend: process.id.as_str(), silent });
        }
        engines.silent = silent;
    }

    /// The entries for the next report to the parent.
    pub(crate) fn performance_report(&self) -> Vec<EnginePerformance> {
        if !self.settings().load.share_performance {
            return Vec::new();
        }
        let now = self.now();
        let entries = self.state.borrow_mut().engines.performances.report(now);
        self.metrics.add(Counter::PerformanceEntries("report"), entries.len() as u64);
        entries
    }

    /// Applies a child's report, the first one of its link if `is_first`.
    pub(crate) fn receive_performance(
        &self,
        child: &NodeId,
        is_first: bool,
        entries: &[EnginePerformance],
    ) -> Vec<EnginePerformance> {
        if !self.settings().load.share_performance {
            return Vec::new();
        }
        let now = self.now();
        let answer = {
            let performances = &mut self.state.borrow_mut().engines.performances;
            performances.receive_report(child, is_first, entries, now);
            performances.digest_for(child, now)
        };
        self.metrics.add(Counter::PerformanceEntries("digest"), answer.len() as u64);
        self.report_urgent_conditions();
        answer
    }

    /// Applies the parent's answer to a report that was sent at `sent_at`.
    pub(crate) fn apply_performance(&self, entries: &[EnginePerformance], sent_at: Timestamp) {
        if entries.is_empty() || !self.settings().load.share_performance {
            return;
        }
        let now = self.now();
        self.state.borrow_mut().engines.performances.receive_digest(entries, sent_at, now);
        self.report_urgent_conditions();
    }

    /// Drops what the parent has sent, as this node has another one or none.
    pub(crate) fn reset_parent_performance(&self) {
        let now = self.now();
        self.state.borrow_mut().engines.performances.reset_parent(now);
    }

    /// The gauges of engines' conditions.
    pub(crate) fn performance_gauges(&self) -> [Gauge; 2] {
        let (now, state) = (self.now(), self.state.borrow());
        let (known, full) = state.engines.performances.count_conditions(now);
        let silent = if state.engines.are_shared { known } else { state.silences.silent_engines(now) };
        [
            Gauge { name: "paddlemount_forward_engines_silent", value: silent as f64 },
            Gauge { name: "paddlemount_forward_engines_full", value: full as f64 },
        ]
    }
}
