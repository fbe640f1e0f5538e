//! A virtual-time simulation kernel: an event queue in time order, and a simulated network.
//!
//! Both are generic over the event type, start no threads and read no clock. All randomness comes from seeds,
//! so that a run is determined by its seed.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Derives the seed of an independent random source, named after its purpose.
///
/// A source with its own seed is not affected by draws from the others.
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

/// An event queue in virtual time. Events of the same time are delivered in insertion order.
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

    /// The current virtual time: that of the event taken last.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Schedules an event at `at`, or now if `at` has passed.
    pub fn schedule_at(&mut self, at: Timestamp, event: E) {
        let order = self.next_order;
        self.next_order += 1;
        self.pending.push(Reverse(Scheduled { at: at.max(self.now), order, event }));
    }

    /// Schedules an event `delay` from now.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// The time of the next event.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.pending.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Takes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        let Reverse(scheduled) = self.pending.pop()?;
        self.now = scheduled.at;
        Some((scheduled.at, scheduled.event))
    }

    /// Takes the next event if it is not later than `until`.
    pub fn pop_until(&mut self, until: Timestamp) -> Option<(Timestamp, E)> {
        if self.next_at()? > until {
            return None;
        }
        self.pop()
    }
}

/// A process in the simulated network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub usize);

/// A zone, numbered over all regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub usize);

/// A region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Region(pub usize);

/// One side of a partition: a process, a zone or a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    Endpoint(Endpoint),
    Zone(Zone),
    Region(Region),
}

/// One-way delay and loss of a message between two locations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkQuality {
    /// Minimum delay.
    pub delay: Duration,
    /// Maximum extra delay, uniformly distributed; messages may overtake each other.
    pub jitter: Duration,
    /// Probability of loss, from 0.0 to 1.0.
    pub loss: f64,
}

/// Link quality by distance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkSettings {
    /// Between processes of one zone.
    pub within_zone: LinkQuality,
    /// Between zones of one region.
    pub between_zones: LinkQuality,
    pub between_regions: LinkQuality,
}

struct Location {
    zone: Zone,
    region: Region,
}

/// The simulated network. It decides whether and when a message arrives.
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

    /// Drops all messages from `from` to `to`; the reverse direction is not affected.
    pub fn cut(&mut self, from: Scope, to: Scope) {
        self.cuts.insert((from, to));
    }

    /// Drops all messages in both directions.
    pub fn cut_between(&mut self, one: Scope, other: Scope) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Ends a partition in both directions.
    pub fn heal_between(&mut self, one: Scope, other: Scope) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Ends all partitions.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// The minimum one-way delay between two processes, regardless of partitions.
    pub fn distance(&self, from: Endpoint, to: Endpoint) -> Duration {
        self.quality(from, to).delay
    }

    /// Whether messages in this direction are dropped by a partition.
    pub fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        if self.cuts.is_empty() {
            return false;
        }
        let targets = self.scopes(to);
        self.scopes(from).iter().any(|from| targets.iter().any(|to| self.cuts.contains(&(*from, *to))))
    }

    /// The delay of one message that is sent now; none if it is lost.
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
