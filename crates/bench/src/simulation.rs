//! A virtual-time kernel: a queue of events in time order, and a simulated network.
//!
//! Both are generic over what an event is, own no threads and read no clock. All randomness comes
//! from seeds, so a run is repeated exactly by its seed.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The seed of one independent source of randomness within a run, named after its purpose.
///
/// Sources with separate seeds do not disturb each other: drawing once more from one leaves the
/// others as they were.
pub fn derived_seed(seed: u64, purpose: &str) -> u64 {
    xxh3_64_with_seed(purpose.as_bytes(), seed)
}

struct Scheduled<E> {
    at: Timestamp,
    order: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events that lie ahead, in time order. Events of the same time come out in the order they went in.
pub struct EventQueue<E> {
    now: Timestamp,
    next_order: u64,
    pending: BinaryHeap<Reverse<Scheduled<E>>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}

impl<E> EventQueue<E> {
    /// An empty queue at time zero.
    pub const fn new() -> Self {
        Self { now: Timestamp::ZERO, next_order: 0, pending: BinaryHeap::new() }
    }

    /// The time of the event taken last.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Adds an event at `at`, or at the present time where `at` has passed.
    pub fn schedule_at(&mut self, at: Timestamp, event: E) {
        let order = self.next_order;
        self.next_order += 1;
        self.pending.push(Reverse(Scheduled { at: at.max(self.now), order, event }));
    }

    /// Adds an event `delay` after the present time.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// The time of the next event.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.pending.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Takes the next event and moves the present time to it.
    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        let Reverse(scheduled) = self.pending.pop()?;
        self.now = scheduled.at;
        Some((scheduled.at, scheduled.event))
    }

    /// Takes the next event where it is not later than `until`.
    pub fn pop_until(&mut self, until: Timestamp) -> Option<(Timestamp, E)> {
        if self.next_at()? > until {
            return None;
        }
        self.pop()
    }
}

/// A simulated process's place in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub usize);

/// A zone, counted over all regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub usize);

/// A region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub usize);

/// One end of a cut: one process, or all of a zone or region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// One process.
    Endpoint(Endpoint),
    /// All processes of a zone.
    Zone(Zone),
    /// All processes of a region.
    Region(Region),
}

/// One-way delay and loss of a message over one kind of distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkQuality {
    /// The shortest delay.
    pub delay: Duration,
    /// Added to it at most, evenly distributed; messages may overtake each other.
    pub jitter: Duration,
    /// The share of messages that are lost, from 0.0 to 1.0.
    pub loss: f64,
}

/// Link quality by distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkSettings {
    /// Between processes of one zone.
    pub within_zone: LinkQuality,
    /// Between zones of one region.
    pub between_zones: LinkQuality,
    /// Between regions.
    pub between_regions: LinkQuality,
}

struct Location {
    zone: Zone,
    region: Region,
}

/// The simulated network: decides whether and after what delay a message arrives.
pub struct Links {
    settings: LinkSettings,
    locations: Vec<Location>,
    cuts: BTreeSet<(Scope, Scope)>,
    random: StdRng,
}

impl Links {
    /// A network without processes.
    pub fn new(settings: LinkSettings, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(derived_seed(seed, "links"));
        Self { settings, locations: Vec::new(), cuts: BTreeSet::new(), random }
    }

    /// Adds a process.
    pub fn add(&mut self, zone: Zone, region: Region) -> Endpoint {
        self.locations.push(Location { zone, region });
        Endpoint(self.locations.len() - 1)
    }

    /// Cuts all messages from `from` to `to`; the other way stays open.
    pub fn cut(&mut self, from: Scope, to: Scope) {
        self.cuts.insert((from, to));
    }

    /// Cuts both ways.
    pub fn cut_between(&mut self, one: Scope, other: Scope) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Ends a cut both ways.
    pub fn heal_between(&mut self, one: Scope, other: Scope) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Ends all cuts.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// The shortest one-way delay between two processes, cuts and losses aside.
    pub fn distance(&self, from: Endpoint, to: Endpoint) -> Duration {
        self.quality(from, to).delay
    }

    /// Whether a cut stands between two processes, in this direction.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        if self.cuts.is_empty() {
            return false;
        }
        let targets = self.scopes(to);
        self.scopes(from).iter().any(|from| targets.iter().any(|to| self.cuts.contains(&(*from, *to))))
    }

    /// The delay of one message that is sent now; none where it is lost.
    pub fn transmit(&mut self, from: Endpoint, to: Endpoint) -> Option<Duration> {
        if self.is_cut(from, to) {
            return None;
        }
        let quality = self.quality(from, to);
        if quality.loss > 0.0 && self.random.random_bool(quality.loss.clamp(0.0, 1.0)) {
            return None;
        }
        Some(quality.delay + quality.jitter.mul_f64(self.random.random::<f64>()))
    }

    fn quality(&self, from: Endpoint, to: Endpoint) -> LinkQuality {
        let (from, to) = (&self.locations[from.0], &self.locations[to.0]);
        if from.region != to.region {
            self.settings.between_regions
        } else if from.zone != to.zone {
            self.settings.between_zones
        } else {
            self.settings.within_zone
        }
    }

    fn scopes(&self, endpoint: Endpoint) -> [Scope; 3] {
        let location = &self.locations[endpoint.0];
        [Scope::Endpoint(endpoint), Scope::Zone(location.zone), Scope::Region(location.region)]
    }
}
