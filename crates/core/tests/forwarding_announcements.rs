//! Announcements of back ends, with entries, restarts and time in any order.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use paddlemount_core::{
    back_off::MAX_BACK_OFF,
    forwarding::{
        announcements::{Announcements, BackOff, DrainingEffect},
        backends::{BackendEntry, BackendId, BackendState, Backends},
        replacement::EntrySource,
    },
};
use paddlemount_protocol::{
    fleet::BackendProcess,
    identity::{ServiceId, ZoneId},
    time::Timestamp,
};

/// The number of back ends in a history.
const BACKENDS: u8 = 4;
/// How long a draining back end may still get requests where no other is left.
const DRAINING_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the back-off of an earlier incarnation holds.
const REGISTRY_DELAY: Duration = Duration::from_secs(3);
/// How long the announcements of a process are kept after its last one.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(600);

fn id(number: u8) -> BackendId {
    BackendId::from(format!("b{number}").as_str())
}

fn entry(number: u8, started_at: u64) -> BackendEntry {
    BackendEntry {
        software: None,
        id: id(number),
        service: ServiceId::from("s"),
        address: ([127, 0, 0, 1], 1_000 + u16::from(number)).into(),
        zone: ZoneId::from("z"),
        slots: 1,
        leaving: false,
        weights: BTreeMap::new(),
        started_at: Some(started_at),
    }
}

fn process(number: u8, started_at: u64) -> BackendProcess {
    BackendProcess { id: id(number), started_at: Some(started_at) }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn state(backends: &Backends, number: u8) -> Option<BackendState> {
    backends.get(&id(number)).map(|known| known.state)
}

fn takes_requests(backends: &Backends, number: u8, now: Timestamp) -> bool {
    backends.get(&id(number)).is_some_and(|known| backends.takes_requests(known, DRAINING_TIMEOUT, now))
}

fn usable(backends: &Backends) -> usize {
    backends.pool(&ServiceId::from("s")).map_or(0, |pool| pool.usable().count())
}

#[test]
fn a_repeated_entry_does_not_end_draining_and_a_restart_does() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    assert_eq!(backends.observe_draining(&process(0, 1), at(0)), DrainingEffect::Leaves);
    assert_eq!(backends.observe_draining(&process(0, 1), at(5)), DrainingEffect::Known);
    let draining = Some(BackendState::Draining { since: at(0) });
    backends.apply_entry(BackendEntry { slots: 2, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(state(&backends, 0), draining);
    backends.remove(&id(0), at(10));
    backends.apply_entry(entry(0, 1), EntrySource::Listing);
    assert_eq!(state(&backends, 0), draining, "it counts from the first observation");
    backends.apply_entry(BackendEntry { leaving: true, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Leaving));
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready));
}

#[test]
fn announcements_of_an_earlier_incarnation_do_not_apply_to_the_next_one() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(backends.observe_draining(&process(0, 1), at(0)), DrainingEffect::Known);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready));
    backends.announcements.observe_back_off(&process(0, 1), Duration::from_secs(60), at(0));
    // The registry may show a restart late, so this may come from the new process.
    assert!(!takes_requests(&backends, 0, at(2_999)) && takes_requests(&backends, 0, at(3_000)));
    assert_eq!(backends.observe_draining(&process(0, 2), at(2)), DrainingEffect::Leaves);
    assert_eq!(backends.observe_draining(&process(0, 1), at(3)), DrainingEffect::Known);
    assert_eq!(state(&backends, 0), Some(BackendState::Draining { since: at(2) }));
}

/// Guards against a stale entry, as from a restored store, being taken for a restart that ends a back-off.
#[test]
fn a_stale_entry_does_not_end_announcements_of_a_later_incarnation() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    backends.announcements.observe_back_off(&process(0, 2), Duration::from_secs(2), at(0));
    backends.apply_entry(entry(0, 1), EntrySource::Listing);
    assert!(!takes_requests(&backends, 0, at(530)) && takes_requests(&backends, 0, at(2_000)));
    backends.observe_draining(&process(0, 2), at(3_000));
    assert_eq!(state(&backends, 0), Some(BackendState::Draining { since: at(3_000) }));
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Draining { since: at(3_000) }));
    backends.apply_entry(entry(0, 3), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready), "a restart ends it");
}

#[test]
fn a_draining_suspect_is_dropped_and_still_drains_when_its_entry_returns() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    backends.registry.failed();
    backends.remove(&id(0), at(0));
    assert_eq!(backends.observe_draining(&process(0, 1), at(1)), DrainingEffect::Dropped);
    assert_eq!(backends.iter().count(), 0);
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Draining { since: at(1) }));
}

#[test]
fn draining_back_ends_are_used_only_if_no_other_is_left_and_for_a_while() {
    let mut backends = Backends::default();
    for number in 0..2 {
        backends.apply_entry(entry(number, 1), EntrySource::Update);
    }
    backends.observe_draining(&process(0, 1), at(0));
    assert_eq!(usable(&backends), 1);
    backends.observe_draining(&process(1, 1), at(500));
    assert_eq!(usable(&backends), 2, "no other is left");
    assert!(takes_requests(&backends, 0, at(999)) && takes_requests(&backends, 1, at(999)));
    assert!(!takes_requests(&backends, 0, at(1_000)) && takes_requests(&backends, 1, at(1_000)));
    backends.apply_entry(entry(2, 1), EntrySource::Update);
    assert_eq!(usable(&backends), 1, "another one is ready");
}

#[test]
fn the_latest_end_of_a_back_off_applies() {
    let mut announcements = Announcements::default();
    let mut requested = |seconds: f64, now: u64| {
        announcements.observe_back_off(&process(0, 1), Duration::from_secs_f64(seconds), at(now))
    };
    assert_eq!(requested(0.0, 0), None, "no time is no back-off");
    assert_eq!(requested(3.0, 0), Some(BackOff { until: at(3_000), begins: true, is_cut: false }));
    assert_eq!(requested(1.0, 100), Some(BackOff { until: at(3_000), begins: false, is_cut: false }));
    assert_eq!(requested(3.0, 100), Some(BackOff { until: at(3_100), begins: false, is_cut: false }));
    assert_eq!(requested(0.5, 4_000), Some(BackOff { until: at(4_500), begins: true, is_cut: false }));
    let max_end = at(5_000) + MAX_BACK_OFF;
    assert_eq!(requested(1e9, 5_000), Some(BackOff { until: max_end, begins: true, is_cut: true }));
    assert_eq!(announcements.expire(at(4_500)), Vec::new());
    assert_eq!(announcements.expire(max_end), [id(0)]);
    assert_eq!(announcements.count_backed_off(at(5_001)), 0);
}

#[test]
fn the_next_opening_is_the_first_end_of_a_back_off_if_all_are_backed_off() {
    let mut backends = Backends::default();
    for number in 0..2 {
        backends.apply_entry(entry(number, 1), EntrySource::Update);
    }
    let first_opening =
        |backends: &Backends, now| backends.next_opening(backends.iter(), at(now)).map(|opening| opening.at);
    assert_eq!(first_opening(&backends, 0), None);
    backends.announcements.observe_back_off(&process(0, 1), Duration::from_secs(3), at(0));
    assert_eq!(first_opening(&backends, 0), None);
    backends.announcements.observe_back_off(&process(1, 1), Duration::from_secs(2), at(500));
    assert_eq!(first_opening(&backends, 500), Some(at(2_500)));
    assert_eq!(first_opening(&backends, 2_500), None);
    assert_eq!(Backends::default().next_opening(std::iter::empty(), at(0)), None);
}

#[test]
fn draining_is_gossiped_for_two_seconds_and_for_a_bounded_number() {
    let mut backends = Backends::default();
    backends.observe_draining(&process(0, 1), at(0));
    backends.observe_draining(&process(0, 1), at(1_500));
    let announcements = &backends.announcements;
    assert_eq!(announcements.pending_draining_gossip(at(1_999)), [process(0, 1)]);
    assert!(announcements.has_pending_gossip(at(1_999)) && !announcements.has_pending_gossip(at(2_000)));
    assert_eq!(announcements.pending_draining_gossip(at(2_000)), []);
    for number in 0..20_000 {
        let process = BackendProcess { id: BackendId::from(format!("p{number}").as_str()), started_at: None };
        backends.observe_draining(&process, at(3_000 + number));
    }
    assert_eq!(backends.announcements.pending_draining_gossip(at(23_000)).len(), 128);
    let first = BackendProcess { id: BackendId::from("p0"), started_at: None };
    backends.apply_entry(BackendEntry { id: first.id, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(
        backends.iter().next().map(|known| known.state),
        Some(BackendState::Ready),
        "the oldest one is dropped"
    );
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// The registry sends an entry of the present incarnation or of the one before it.
    Entry { backend: u8, leaving: bool, is_older: bool, slots: u8, in_listing: bool },
    /// The registry removes the entry.
    Removed { backend: u8 },
    /// The process restarts under its identity, and its entry shows it.
    Restart { backend: u8 },
    /// An answer or another node reports that the present or the previous incarnation drains.
    Drains { backend: u8, is_older: bool },
    /// An answer of the present incarnation requests a back-off.
    BackOff { backend: u8, tenths: u8 },
    /// Calls to the registry fail, or succeed again.
    Registry { answers: bool },
    /// Time passes, and expired announcements are dropped.
    Wait { tenths: u8, sweep: bool },
}

/// What a process has announced, and what the registry last reported of it.
#[derive(Default)]
struct Recorded {
    draining_since: Option<u64>,
    backed_off_until: u64,
    back_off_requested_at: u64,
    registry_says_leaving: bool,
}

#[derive(Default)]
struct History {
    backends: Backends,
    now: u64,
    /// The present incarnation of each back end.
    started_at: BTreeMap<u8, u64>,
    /// By back end and incarnation.
    recorded: BTreeMap<(u8, u64), Recorded>,
}

impl History {
    fn started_at(&self, backend: u8) -> u64 {
        self.started_at.get(&backend).copied().unwrap_or(1)
    }

    fn recorded(&mut self, backend: u8, started_at: u64) -> &mut Recorded {
        self.recorded.entry((backend, started_at)).or_default()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Entry { backend, leaving, is_older, slots, in_listing } => {
                let backend = backend % BACKENDS;
                let started_at =
                    self.started_at(backend) - u64::from(is_older && self.started_at(backend) > 1);
                self.apply_entry(
                    BackendEntry { leaving, slots: slots.into(), ..entry(backend, started_at) },
                    in_listing,
                );
            }
            Step::Removed { backend } => {
                let now = at(self.now);
                self.backends.remove(&id(backend % BACKENDS), now);
            }
            Step::Restart { backend } => {
                let backend = backend % BACKENDS;
                let started_at = self.started_at(backend) + 1;
                self.started_at.insert(backend, started_at);
                self.apply_entry(entry(backend, started_at), false);
            }
            Step::Drains { backend, is_older } => {
                let backend = backend % BACKENDS;
                let started_at =
                    self.started_at(backend) - u64::from(is_older && self.started_at(backend) > 1);
                let now = self.now;
                self.recorded(backend, started_at).draining_since.get_or_insert(now);
                self.backends.observe_draining(&process(backend, started_at), at(now));
            }
            Step::BackOff { backend, tenths } => {
                let backend = backend % BACKENDS;
                let (started_at, now) = (self.started_at(backend), self.now);
                let requested = u64::from(tenths) * 100;
                let recorded = self.recorded(backend, started_at);
                recorded.backed_off_until = recorded.backed_off_until.max(now + requested);
                if requested > 0 {
                    recorded.back_off_requested_at = now;
                }
                let requested = Duration::from_millis(requested);
                self.backends.announcements.observe_back_off(
                    &process(backend, started_at),
                    requested,
                    at(now),
                );
            }
            Step::Registry { answers: true } => self.backends.registry.answered(at(self.now)),
            Step::Registry { answers: false } => self.backends.registry.failed(),
            Step::Wait { tenths, sweep } => {
                self.now += u64::from(tenths) * 100;
                if sweep {
                    self.backends.expire(at(self.now));
                    self.backends.announcements.expire(at(self.now));
                }
            }
        }
    }

    fn apply_entry(&mut self, entry: BackendEntry, in_listing: bool) {
        let source = if in_listing { EntrySource::Listing } else { EntrySource::Update };
        self.backends.apply_entry(entry, source);
    }

    fn check(&mut self) {
        let (now, self_now) = (at(self.now), self.now);
        for backend in 0..BACKENDS {
            let Some(known) = self.backends.get(&id(backend)) else { continue };
            let started_at = known.entry.started_at.expect("all entries have a start time");
            let (state, takes) = (known.state, self.backends.takes_requests(known, DRAINING_TIMEOUT, now));
            let is_present = started_at == self.started_at(backend);
            let earlier_back_off = (1..started_at).any(|earlier| {
                let recorded = self.recorded(backend, earlier);
                at(self_now)
                    < at(recorded.backed_off_until).min(at(recorded.back_off_requested_at) + REGISTRY_DELAY)
            });
            let recorded = self.recorded(backend, started_at);
            recorded.registry_says_leaving |= state == BackendState::Leaving;
            let is_leaving = recorded.draining_since.is_some() || recorded.registry_says_leaving;
            let drained_for = recorded.draining_since.map(|since| now.saturating_since(at(since)));
            let backed_off = now < at(recorded.backed_off_until);
            if backed_off {
                assert!(
                    !takes,
                    "b{backend} is backed off until {}, and it is {now:?}",
                    recorded.backed_off_until
                );
            }
            if drained_for
                .is_some_and(|drained_for| drained_for >= DRAINING_TIMEOUT && drained_for < ANNOUNCEMENT_TTL)
            {
                assert!(!takes, "b{backend} has been draining for {drained_for:?}");
            }
            if is_present && !is_leaving && !backed_off && !earlier_back_off {
                assert!(takes, "b{backend} is ready, but is left out as {state:?}");
            }
        }
    }
}

#[test]
fn announcements_hold_until_they_end_and_no_other_back_end_is_left_out() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut history = History::default();
        for step in steps {
            history.apply(step);
            history.check();
        }
    });
}
