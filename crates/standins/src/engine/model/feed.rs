//! The feed of cache events, with configurable delay and loss.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::{
    engine::{CacheChange, CacheEvent, CacheEventBatch},
    identity::{EventSequence, Incarnation},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::engine::settings::FeedSettings;

struct Recorded {
    visible_at: Timestamp,
    sequence: EventSequence,
    /// `None` if the event is lost.
    change: Option<CacheChange>,
}

/// The feed of one incarnation of an engine.
pub struct EventFeed {
    settings: FeedSettings,
    random: SmallRng,
    last: EventSequence,
    recorded: VecDeque<Recorded>,
    lose_next: u32,
}

impl EventFeed {
    /// Creates an empty feed.
    pub fn new(settings: FeedSettings, seed: u64) -> Self {
        Self {
            settings,
            random: SmallRng::seed_from_u64(seed),
            last: EventSequence(0),
            recorded: VecDeque::new(),
            lose_next: 0,
        }
    }

    /// Sets the delay and loss of later events.
    pub const fn configure(&mut self, settings: FeedSettings) {
        self.settings = settings;
    }

    /// Loses the next `events` events.
    pub const fn lose_next(&mut self, events: u32) {
        self.lose_next = events;
    }

    /// Sequence number of the last event, whether lost or not.
    pub const fn last(&self) -> EventSequence {
        self.last
    }

    /// Records a cache change at `now`.
    pub fn record(&mut self, change: CacheChange, now: Timestamp) {
        self.last = self.last.next();
        let change = if self.is_lost() { None } else { Some(change) };
        let visible_at = now + Duration::from_millis(self.settings.delay_ms);
        self.recorded.push_back(Recorded { visible_at, sequence: self.last, change });
        while self.recorded.len() > self.settings.retained_events {
            self.recorded.pop_front();
        }
    }

    fn is_lost(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.settings.loss > 0.0 && self.random.random::<f64>() < self.settings.loss
    }

    /// Returns up to `limit` events after `after` that are visible at `now`.
    pub fn batch(
        &self,
        incarnation: Incarnation,
        after: EventSequence,
        limit: usize,
        now: Timestamp,
    ) -> CacheEventBatch {
        let start = self.recorded.partition_point(|recorded| recorded.sequence <= after);
        let visible = self.recorded.iter().skip(start).take_while(|recorded| recorded.visible_at <= now);
        let mut events = Vec::new();
        let mut last = after;
        for recorded in visible.take(limit) {
            last = recorded.sequence;
            if let Some(change) = &recorded.change {
                events.push(CacheEvent { sequence: recorded.sequence, change: change.clone() });
            }
        }
        CacheEventBatch { incarnation, events, last }
    }

    /// The time at which the first event after `after` becomes visible, if it exists already.
    pub fn visible_at(&self, after: EventSequence) -> Option<Timestamp> {
        let start = self.recorded.partition_point(|recorded| recorded.sequence <= after);
        self.recorded.get(start).map(|recorded| recorded.visible_at)
    }
}
