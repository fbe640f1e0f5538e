//! What back ends announce of themselves, against entries, starts and time in any order.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use paddlemount_core::{
    forwarding::{
        announcements::{Announcements, BackOff, Departure},
        backends::{BackendEntry, BackendId, BackendState, Backends},
        replacement::EntrySource,
    },
    rest::MAX_BACK_OFF,
};
use paddlemount_protocol::{
    fleet::BackendProcess,
    identity::{ServiceId, ZoneId},
    time::Timestamp,
};

/// Back ends of a history.
const BACKENDS: u8 = 4;
/// How long a back end that leaves may still get requests where nobody else is left.
const PARTING: Duration = Duration::from_secs(1);
/// How long the rest of an earlier start holds.
const LATE_NEWS: Duration = Duration::from_secs(3);
/// How long it is remembered that a process leaves whose entry is gone.
const REMEMBERED: Duration = Duration::from_secs(600);

fn id(number: u8) -> BackendId {
    BackendId::from(format!("b{number}").as_str())
}

fn entry(number: u8, born: u64) -> BackendEntry {
    BackendEntry {
        id: id(number),
        service: ServiceId::from("s"),
        address: ([127, 0, 0, 1], 1_000 + u16::from(number)).into(),
        zone: ZoneId::from("z"),
        slots: 1,
        leaving: false,
        weights: BTreeMap::new(),
        born: Some(born),
    }
}

fn process(number: u8, born: u64) -> BackendProcess {
    BackendProcess { id: id(number), born: Some(born) }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn state(backends: &Backends, number: u8) -> Option<BackendState> {
    backends.get(&id(number)).map(|known| known.state)
}

fn takes_requests(backends: &Backends, number: u8, now: Timestamp) -> bool {
    backends.get(&id(number)).is_some_and(|known| backends.takes_requests(known, PARTING, now))
}

fn usable(backends: &Backends) -> usize {
    backends.pool(&ServiceId::from("s")).map_or(0, |pool| pool.usable().count())
}

#[test]
fn an_older_entry_takes_nothing_back_and_a_new_start_ends_it() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    assert_eq!(backends.observe_draining(&process(0, 1), at(0)), Departure::Leaves);
    assert_eq!(backends.observe_draining(&process(0, 1), at(5)), Departure::Known);
    let departing = Some(BackendState::Departing { since: at(0) });
    backends.apply_entry(BackendEntry { slots: 2, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(state(&backends, 0), departing);
    backends.remove(&id(0), at(10));
    backends.apply_entry(entry(0, 1), EntrySource::Listing);
    assert_eq!(state(&backends, 0), departing, "it counts from when it was first heard");
    backends.apply_entry(BackendEntry { leaving: true, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Leaving));
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready));
}

#[test]
fn what_an_earlier_process_said_is_no_news_of_the_one_that_has_started_since() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(backends.observe_draining(&process(0, 1), at(0)), Departure::Known);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready));
    backends.announcements.observe_back_off(&process(0, 1), Duration::from_secs(60), at(0));
    // The registry tells of a start some time after it: this may be the word of the new process.
    assert!(!takes_requests(&backends, 0, at(2_999)) && takes_requests(&backends, 0, at(3_000)));
    assert_eq!(backends.observe_draining(&process(0, 2), at(2)), Departure::Leaves);
    assert_eq!(backends.observe_draining(&process(0, 1), at(3)), Departure::Known);
    assert_eq!(state(&backends, 0), Some(BackendState::Departing { since: at(2) }));
}

/// A store that had come back from a copy told an entry of the start before, and a rest of 2 s ended after 0.5 s: the entry was
/// taken for a new start.
#[test]
fn an_entry_of_an_earlier_start_ends_nothing_that_a_later_process_has_said() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    backends.announcements.observe_back_off(&process(0, 2), Duration::from_secs(2), at(0));
    backends.apply_entry(entry(0, 1), EntrySource::Listing);
    assert!(!takes_requests(&backends, 0, at(530)) && takes_requests(&backends, 0, at(2_000)));
    backends.observe_draining(&process(0, 2), at(3_000));
    assert_eq!(state(&backends, 0), Some(BackendState::Departing { since: at(3_000) }));
    backends.apply_entry(entry(0, 2), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Departing { since: at(3_000) }));
    backends.apply_entry(entry(0, 3), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Ready), "a new start ends it");
}

#[test]
fn one_whose_entry_had_lapsed_is_dropped_and_leaves_still_when_the_entry_is_back() {
    let mut backends = Backends::default();
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    backends.registry.failed();
    backends.remove(&id(0), at(0));
    assert_eq!(backends.observe_draining(&process(0, 1), at(1)), Departure::Dropped);
    assert_eq!(backends.iter().count(), 0);
    backends.apply_entry(entry(0, 1), EntrySource::Update);
    assert_eq!(state(&backends, 0), Some(BackendState::Departing { since: at(1) }));
}

#[test]
fn those_that_depart_serve_only_where_nobody_else_is_left_and_for_a_while() {
    let mut backends = Backends::default();
    for number in 0..2 {
        backends.apply_entry(entry(number, 1), EntrySource::Update);
    }
    backends.observe_draining(&process(0, 1), at(0));
    assert_eq!(usable(&backends), 1);
    backends.observe_draining(&process(1, 1), at(500));
    assert_eq!(usable(&backends), 2, "nobody else is left");
    assert!(takes_requests(&backends, 0, at(999)) && takes_requests(&backends, 1, at(999)));
    assert!(!takes_requests(&backends, 0, at(1_000)) && takes_requests(&backends, 1, at(1_000)));
    backends.apply_entry(entry(2, 1), EntrySource::Update);
    assert_eq!(usable(&backends), 1, "somebody else is there");
}

#[test]
fn the_latest_end_that_was_named_holds() {
    let mut announcements = Announcements::default();
    let mut asked = |seconds: f64, now: u64| {
        announcements.observe_back_off(&process(0, 1), Duration::from_secs_f64(seconds), at(now))
    };
    assert_eq!(asked(0.0, 0), None, "no time is no rest");
    assert_eq!(asked(3.0, 0), Some(BackOff { until: at(3_000), begins: true, is_cut: false }));
    assert_eq!(asked(1.0, 100), Some(BackOff { until: at(3_000), begins: false, is_cut: false }));
    assert_eq!(asked(3.0, 100), Some(BackOff { until: at(3_100), begins: false, is_cut: false }));
    assert_eq!(asked(0.5, 4_000), Some(BackOff { until: at(4_500), begins: true, is_cut: false }));
    let longest = at(5_000) + MAX_BACK_OFF;
    assert_eq!(asked(1e9, 5_000), Some(BackOff { until: longest, begins: true, is_cut: true }));
    assert_eq!(announcements.expire(at(4_500)), Vec::new());
    assert_eq!(announcements.expire(longest), [id(0)]);
    assert_eq!(announcements.count_backed_off(at(5_001)), 0);
}

#[test]
fn callers_may_come_back_when_the_first_rest_is_over_and_only_where_all_rest() {
    let mut backends = Backends::default();
    for number in 0..2 {
        backends.apply_entry(entry(number, 1), EntrySource::Update);
    }
    let least =
        |backends: &Backends, now| backends.next_opening(backends.iter(), at(now)).map(|opening| opening.at);
    assert_eq!(least(&backends, 0), None);
    backends.announcements.observe_back_off(&process(0, 1), Duration::from_secs(3), at(0));
    assert_eq!(least(&backends, 0), None);
    backends.announcements.observe_back_off(&process(1, 1), Duration::from_secs(2), at(500));
    assert_eq!(least(&backends, 500), Some(at(2_500)));
    assert_eq!(least(&backends, 2_500), None);
    assert_eq!(Backends::default().next_opening(std::iter::empty(), at(0)), None);
}

#[test]
fn other_nodes_are_told_for_two_seconds_and_of_a_bounded_number() {
    let mut backends = Backends::default();
    backends.observe_draining(&process(0, 1), at(0));
    backends.observe_draining(&process(0, 1), at(1_500));
    let announcements = &backends.announcements;
    assert_eq!(announcements.pending_draining_gossip(at(1_999)), [process(0, 1)]);
    assert!(announcements.has_pending_gossip(at(1_999)) && !announcements.has_pending_gossip(at(2_000)));
    assert_eq!(announcements.pending_draining_gossip(at(2_000)), []);
    for number in 0..20_000 {
        let process = BackendProcess { id: BackendId::from(format!("p{number}").as_str()), born: None };
        backends.observe_draining(&process, at(3_000 + number));
    }
    assert_eq!(backends.announcements.pending_draining_gossip(at(23_000)).len(), 128);
    let first = BackendProcess { id: BackendId::from("p0"), born: None };
    backends.apply_entry(BackendEntry { id: first.id, ..entry(0, 1) }, EntrySource::Update);
    assert_eq!(backends.iter().next().map(|known| known.state), Some(BackendState::Ready), "forgotten");
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// The registry tells of an entry, of the present process or of the one before it.
    Entry { backend: u8, leaving: bool, is_older: bool, slots: u8, in_listing: bool },
    /// The entry is gone.
    Gone { backend: u8 },
    /// The process starts again under its identity, and its entry says so.
    Start { backend: u8 },
    /// An answer or another node told that the present or the earlier process leaves.
    Leaves { backend: u8, is_older: bool },
    /// An answer of the present process asked for rest.
    Rests { backend: u8, tenths: u8 },
    /// Calls to the registry fail, or are answered again.
    Registry { answers: bool },
    /// Time passes, and what no longer holds is forgotten.
    Wait { tenths: u8, sweep: bool },
}

/// What a process has said, and the registry last told of it.
#[derive(Default)]
struct Told {
    left_at: Option<u64>,
    backed_off_until: u64,
    back_off_requested_at: u64,
    registry_says_leaving: bool,
}

#[derive(Default)]
struct History {
    backends: Backends,
    now: u64,
    /// How often each back end has started again.
    born: BTreeMap<u8, u64>,
    /// By back end and start.
    told: BTreeMap<(u8, u64), Told>,
}

impl History {
    fn born(&self, backend: u8) -> u64 {
        self.born.get(&backend).copied().unwrap_or(1)
    }

    fn told(&mut self, backend: u8, born: u64) -> &mut Told {
        self.told.entry((backend, born)).or_default()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Entry { backend, leaving, is_older, slots, in_listing } => {
                let backend = backend % BACKENDS;
                let born = self.born(backend) - u64::from(is_older && self.born(backend) > 1);
                self.apply_entry(
                    BackendEntry { leaving, slots: slots.into(), ..entry(backend, born) },
                    in_listing,
                );
            }
            Step::Gone { backend } => {
                let now = at(self.now);
                self.backends.remove(&id(backend % BACKENDS), now);
            }
            Step::Start { backend } => {
                let backend = backend % BACKENDS;
                let born = self.born(backend) + 1;
                self.born.insert(backend, born);
                self.apply_entry(entry(backend, born), false);
            }
            Step::Leaves { backend, is_older } => {
                let backend = backend % BACKENDS;
                let born = self.born(backend) - u64::from(is_older && self.born(backend) > 1);
                let now = self.now;
                self.told(backend, born).left_at.get_or_insert(now);
                self.backends.observe_draining(&process(backend, born), at(now));
            }
            Step::Rests { backend, tenths } => {
                let backend = backend % BACKENDS;
                let (born, now) = (self.born(backend), self.now);
                let asked = u64::from(tenths) * 100;
                let told = self.told(backend, born);
                told.backed_off_until = told.backed_off_until.max(now + asked);
                if asked > 0 {
                    told.back_off_requested_at = now;
                }
                let asked = Duration::from_millis(asked);
                self.backends.announcements.observe_back_off(&process(backend, born), asked, at(now));
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
        let heard = if in_listing { EntrySource::Listing } else { EntrySource::Update };
        self.backends.apply_entry(entry, heard);
    }

    fn check(&mut self) {
        let (now, self_now) = (at(self.now), self.now);
        for backend in 0..BACKENDS {
            let Some(known) = self.backends.get(&id(backend)) else { continue };
            let born = known.entry.born.expect("entries of this test tell");
            let (state, takes) = (known.state, self.backends.takes_requests(known, PARTING, now));
            let is_present = born == self.born(backend);
            let rest_of_earlier = (1..born).any(|earlier| {
                let told = self.told(backend, earlier);
                at(self_now) < at(told.backed_off_until).min(at(told.back_off_requested_at) + LATE_NEWS)
            });
            let told = self.told(backend, born);
            told.registry_says_leaving |= state == BackendState::Leaving;
            let leaves = told.left_at.is_some() || told.registry_says_leaving;
            let left_for = told.left_at.map(|left| now.saturating_since(at(left)));
            let rests = now < at(told.backed_off_until);
            if rests {
                assert!(!takes, "b{backend} rests until {}, and it is {now:?}", told.backed_off_until);
            }
            if left_for.is_some_and(|left_for| left_for >= PARTING && left_for < REMEMBERED) {
                assert!(!takes, "b{backend} has said that it leaves {left_for:?} ago");
            }
            if is_present && !leaves && !rests && !rest_of_earlier {
                assert!(takes, "b{backend} lives, and is left out as {state:?}");
            }
        }
    }
}

#[test]
fn what_a_process_has_said_holds_until_it_is_over_and_no_other_is_left_out() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut history = History::default();
        for step in steps {
            history.apply(step);
            history.check();
        }
    });
}
