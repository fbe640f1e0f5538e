//! Bounded records of a node's work, for operators: running requests, decision records, events of the
//! mechanisms, the audit trail and the engines' last reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use paddlemount_core::decisions::{
    DecisionCursor, DecisionRecord, DecisionRing, DecisionSettings, Journal, LimitHit, LimitKind, Mechanism,
    MechanismEvent, RequestEnding, RetentionReason,
};
use paddlemount_language::answer::WatchPosition;
use paddlemount_protocol::{
    engine::EngineStatus,
    identity::{EngineId, ModelId, PoolId, RequestId, TenantId},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

pub use super::audit::AuditEntry;
use super::{counters::ClassCounters, prefixes::PrefixCounts};
use crate::{clock::Clock, exchange::refused_ending, metrics::NodeMetrics};

/// Memory limit of the event journal, in bytes.
pub const EVENT_BYTES: usize = 1 << 20;
/// Memory limit of the audit trail, in bytes.
pub const AUDIT_BYTES: usize = 1 << 20;

/// The last status report of an engine.
#[derive(Clone, Debug)]
pub struct EngineReport {
    pub status: EngineStatus,
    pub at: Timestamp,
}

/// Entries after a position, the oldest first.
pub struct JournalPage {
    pub decisions: Vec<Arc<DecisionRecord>>,
    pub events: Vec<Arc<MechanismEvent>>,
    pub audit: Vec<Arc<AuditEntry>>,
    /// Entries that were evicted before they could be read.
    pub lost: LostCounts,
    /// The position of the next read.
    pub next: WatchPosition,
}

/// Counts of entries that were evicted before they could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LostCounts {
    pub decisions: u64,
    pub events: u64,
    pub audit: u64,
}

struct Journals {
    decisions: DecisionRing,
    events: Journal<Arc<MechanismEvent>>,
    audit: Journal<Arc<AuditEntry>>,
    next_sequence: u64,
}

/// Records of a node's work, for operators.
pub struct Observations {
    counters: ClassCounters,
    clock: Clock,
    settings: DecisionSettings,
    journals: Mutex<Journals>,
    running: Mutex<BTreeMap<RequestId, Arc<Mutex<DecisionRecord>>>>,
    reports: Mutex<BTreeMap<EngineId, EngineReport>>,
    pub prefixes: PrefixCounts,
    /// Requests that a limit has refused, by tenant.
    refusals: Mutex<BTreeMap<TenantId, u64>>,
    draining: Mutex<BTreeSet<EngineId>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Observations {
    /// Creates empty records.
    pub fn new(clock: Clock, settings: DecisionSettings, metrics: Arc<NodeMetrics>) -> Self {
        let journals = Journals {
            decisions: DecisionRing::new(settings.clone()),
            events: Journal::new(EVENT_BYTES),
            audit: Journal::new(AUDIT_BYTES),
            next_sequence: 1,
        };
        Self {
            counters: ClassCounters::new(metrics),
            clock,
            settings,
            journals: Mutex::new(journals),
            running: Mutex::default(),
            reports: Mutex::default(),
            prefixes: PrefixCounts::default(),
            refusals: Mutex::default(),
            draining: Mutex::default(),
        }
    }

    /// Starts the record of a request; it ends when the returned value is dropped.
    pub fn begin(self: &Arc<Self>, record: DecisionRecord) -> LiveRecord {
        let request = record.request.clone();
        let record = Arc::new(Mutex::new(record));
        lock(&self.running).insert(request.clone(), Arc::clone(&record));
        LiveRecord { observations: Arc::clone(self), request, record }
    }

    /// Records a request that was refused before it was routed.
    pub fn record_refusal(&self, request: &RequestId, tenant: &TenantId, refusal: &Refusal) {
        let now = self.clock.now();
        let (pool, model) = (PoolId::from(""), ModelId::from(""));
        let mut record = DecisionRecord::new(request.clone(), tenant.clone(), pool, model, now);
        record.ending = refused_ending(refusal);
        let limit = match refusal.code {
            RefusalCode::QuotaExceeded => Some(LimitKind::Quota),
            RefusalCode::Overloaded => Some(LimitKind::Queue),
            RefusalCode::DeadlineExceeded => Some(LimitKind::Deadline),
            _ => None,
        };
        if let Some(limit) = limit {
            record.record_limit(LimitHit { limit, refused: true, waited_ms: 0 });
        }
        self.record_ended(record, now);
    }

    /// Records an event of a mechanism.
    pub fn event(
        &self,
        mechanism: Mechanism,
        event: &str,
        subject: impl ToString,
        detail: impl Into<String>,
    ) {
        self.counters.count_event(mechanism, event);
        let event = MechanismEvent {
            mechanism,
            at: self.clock.now(),
            subject: subject.to_string(),
            event: event.to_owned(),
            detail: detail.into(),
        };
        let mut journals = lock(&self.journals);
        let sequence = journals.allocate_sequence();
        journals.events.push(sequence, Arc::new(event));
    }

    /// Adds an entry to the audit trail.
    pub fn audit(&self, entry: AuditEntry) {
        let mut journals = lock(&self.journals);
        let sequence = journals.allocate_sequence();
        journals.audit.push(sequence, Arc::new(entry));
    }

    /// Stores an engine's status report.
    pub fn report(&self, status: &EngineStatus) {
        let report = EngineReport { status: status.clone(), at: self.clock.now() };
        lock(&self.reports).insert(status.engine.clone(), report);
    }

    /// Stores whether an engine is draining; a change is recorded as an event.
    pub fn engine_draining(&self, engine: &EngineId, draining: bool, reason: &str) {
        let mut draining_engines = lock(&self.draining);
        let changed =
            if draining { draining_engines.insert(engine.clone()) } else { draining_engines.remove(engine) };
        drop(draining_engines);
        if changed {
            let event = if draining { "draining" } else { "takes_work" };
            self.event(Mechanism::Drains, event, engine, reason);
        }
    }

    /// Records that an engine has requested a back-off from this node.
    pub fn engine_backed_off(&self, engine: &EngineId, back_off: Duration) {
        self.event(
            Mechanism::Drains,
            "rests",
            engine,
            format!("no requests for {} ms", back_off.as_millis()),
        );
    }

    /// Removes an engine that no longer exists.
    pub fn remove_engine(&self, engine: &EngineId) {
        lock(&self.draining).remove(engine);
        lock(&self.reports).remove(engine);
    }

    /// The last status report of each engine.
    pub fn reports(&self) -> Vec<EngineReport> {
        lock(&self.reports).values().cloned().collect()
    }

    /// The records of active requests.
    pub fn running(&self) -> Vec<DecisionRecord> {
        let running: Vec<_> = lock(&self.running).values().cloned().collect();
        running.iter().map(|record| lock(record).clone()).collect()
    }

    /// Runs `work` with the decision records locked. It must be short.
    pub fn decisions<T>(&self, work: impl FnOnce(&DecisionRing) -> T) -> T {
        work(&lock(&self.journals).decisions)
    }

    /// The number of a tenant's requests that a limit has refused since the node started.
    pub fn refusals_of(&self, tenant: &TenantId) -> u64 {
        lock(&self.refusals).get(tenant).copied().unwrap_or_default()
    }

    /// The recorded events, the newest first.
    pub fn events(&self) -> Vec<Arc<MechanismEvent>> {
        lock(&self.journals).events.iter().rev().map(|entry| Arc::clone(&entry.value)).collect()
    }

    /// The audit trail, the newest entry first.
    pub fn audit_trail(&self) -> Vec<Arc<AuditEntry>> {
        lock(&self.journals).audit.iter().rev().map(|entry| Arc::clone(&entry.value)).collect()
    }

    /// Reads entries after `position`, at most `limit` of each kind.
    pub fn read_after(&self, position: WatchPosition, limit: usize) -> JournalPage {
        let journals = lock(&self.journals);
        let cursor = DecisionCursor { sampled: position.sampled, notable: position.notable };
        let decisions = journals.decisions.read_after(cursor, limit);
        let events = journals.events.read_after(position.events, limit);
        let audit = journals.audit.read_after(position.audit, limit);
        JournalPage {
            decisions: decisions.entries.iter().map(|entry| Arc::clone(&entry.value)).collect(),
            events: events.entries.iter().map(|entry| Arc::clone(&entry.value)).collect(),
            audit: audit.entries.iter().map(|entry| Arc::clone(&entry.value)).collect(),
            lost: LostCounts { decisions: decisions.lost, events: events.lost, audit: audit.lost },
            next: WatchPosition {
                sampled: decisions.next.sampled,
                notable: decisions.next.notable,
                events: events.next,
                audit: audit.next,
            },
        }
    }

    /// The position after the last entry.
    pub fn end(&self) -> WatchPosition {
        let journals = lock(&self.journals);
        let decisions = journals.decisions.end();
        WatchPosition {
            sampled: decisions.sampled,
            notable: decisions.notable,
            events: journals.events.last_position(),
            audit: journals.audit.last_position(),
        }
    }

    /// The record of a request, and whether the request is still running.
    pub fn find(&self, request: &RequestId) -> Option<(DecisionRecord, bool)> {
        let running = lock(&self.running).get(request).cloned();
        if let Some(record) = running {
            return Some((lock(&record).clone(), true));
        }
        let ended = self.decisions(|decisions| decisions.find(request).cloned());
        ended.map(|record| (record.as_ref().clone(), false))
    }

    /// The memory limit of records, events and the audit trail, in bytes; running requests and engine reports
    /// are bounded by their number.
    pub fn memory_bound(&self) -> usize {
        self.settings.memory_bound() + EVENT_BYTES + AUDIT_BYTES
    }

    /// Why a record is retained regardless of load.
    pub fn notable_reason(&self, record: &DecisionRecord) -> Option<RetentionReason> {
        self.settings.notable_reason(record)
    }

    fn ended(&self, request: &RequestId, record: &Mutex<DecisionRecord>) {
        lock(&self.running).remove(request);
        let now = self.clock.now();
        let mut record = lock(record).clone();
        record.timings.total_ms = now.saturating_since(record.at).as_millis() as u64;
        self.record_ended(record, now);
    }

    fn record_ended(&self, record: DecisionRecord, now: Timestamp) {
        if record.limits.iter().any(|limit| limit.refused) {
            *lock(&self.refusals).entry(record.tenant.clone()).or_default() += 1;
        }
        let events = events_of(&record, now);
        self.counters.count(&record);
        events.iter().for_each(|event| self.counters.count_event(event.mechanism, &event.event));
        let mut journals = lock(&self.journals);
        let retained = journals.decisions.offer(record, now);
        for event in events {
            if retained.is_some_and(|retained| {
                retained != RetentionReason::Sampled || event.mechanism == Mechanism::Routing
            }) {
                let sequence = journals.allocate_sequence();
                journals.events.push(sequence, Arc::new(event));
            }
        }
    }
}

impl Journals {
    const fn allocate_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }
}

/// The mechanism events that a record implies.
fn events_of(record: &DecisionRecord, now: Timestamp) -> Vec<MechanismEvent> {
    let event = |mechanism, event: &str, subject: String, detail: String| MechanismEvent {
        mechanism,
        at: now,
        subject,
        event: event.to_owned(),
        detail,
    };
    let mut events = Vec::new();
    if let Some(engine) = record.engine() {
        let detail = format!(
            "request {} of {} for {}; {} of {} prompt tokens were cached",
            record.request, record.tenant, record.pool, record.cached_tokens, record.prompt_tokens
        );
        events.push(event(Mechanism::Routing, "served", engine.to_string(), detail));
    }
    for limit in &record.limits {
        let name = if limit.refused { "refused" } else { "delayed" };
        let detail = format!(
            "request {} met {} after {} ms",
            record.request,
            snake_case(&limit.limit),
            limit.waited_ms
        );
        events.push(event(Mechanism::Limits, name, record.tenant.to_string(), detail));
    }
    for attempt in record.attempts.iter().skip(1) {
        let detail = format!("request {} as {}", record.request, attempt.attempt);
        events.push(event(Mechanism::Retries, "sent", attempt.precondition.engine.to_string(), detail));
    }
    if let RequestEnding::NotRun { code } | RequestEnding::Unknown { code } = &record.ending
        && record.limits.is_empty()
    {
        let detail = format!("request {} ended as {}", record.request, snake_case(code));
        events.push(event(Mechanism::Routing, "refused", record.tenant.to_string(), detail));
    }
    events
}

/// The serialized name of a unit variant.
pub fn snake_case<T: serde::Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(text)) => text,
        Ok(other) => other.to_string(),
        Err(_) => String::new(),
    }
}

/// The record of a running request. Dropping it ends the record with the last [`DecisionRecord::ending`] set,
/// which is `Cancelled` by default.
pub struct LiveRecord {
    observations: Arc<Observations>,
    request: RequestId,
    record: Arc<Mutex<DecisionRecord>>,
}

impl LiveRecord {
    /// Updates the record. The work must be short.
    pub fn update(&self, work: impl FnOnce(&mut DecisionRecord)) {
        work(&mut lock(&self.record));
    }
}

impl Drop for LiveRecord {
    fn drop(&mut self) {
        self.observations.ended(&self.request, &self.record);
    }
}
