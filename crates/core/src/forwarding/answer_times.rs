//! How long whole answers have lately taken.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::time::Timestamp;

/// The time of which the longest answer is kept apart.
const SLICE: Duration = Duration::from_secs(10);
/// Slices that count, the present one included: answers are remembered for 50 to 60 s.
const SLICES: usize = 6;

/// The longest answers of one route, by slices of time.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    /// The number of the newest slice, counted from the clock's zero.
    newest: u64,
    by_slice: [Duration; SLICES],
}

impl Longest {
    /// Empties the slices that have grown too old by `now`.
    fn advance(&mut self, now: Timestamp) {
        let present = slice_of(now);
        let passed = present.saturating_sub(self.newest);
        for number in 1..=passed.min(SLICES as u64) {
            self.by_slice[index(self.newest + number)] = Duration::ZERO;
        }
        self.newest = self.newest.max(present);
    }
}

fn slice_of(now: Timestamp) -> u64 {
    now.as_millis() / SLICE.as_millis() as u64
}

fn index(slice: u64) -> usize {
    (slice % SLICES as u64) as usize
}

/// The longest recent answers by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    by_route: BTreeMap<String, Longest>,
}

impl AnswerTimes {
    /// An answer has ended whole, `took` after its request arrived.
    pub fn ended(&mut self, route: &str, took: Duration, now: Timestamp) {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.to_owned(), Longest::default());
        }
        let Some(longest) = self.by_route.get_mut(route) else { return };
        longest.advance(now);
        let slice = &mut longest.by_slice[index(slice_of(now))];
        *slice = took.max(*slice);
    }

    /// The longest answer of the last minute; nothing where none has ended.
    pub fn longest(&self, route: &str, now: Timestamp) -> Option<Duration> {
        let mut longest = *self.by_route.get(route)?;
        longest.advance(now);
        longest.by_slice.into_iter().max().filter(|longest| !longest.is_zero())
    }

    /// Forgets routes without a recent answer.
    pub fn sweep(&mut self, now: Timestamp) {
        let by_route = std::mem::take(&mut self.by_route);
        self.by_route = by_route
            .into_iter()
            .filter(|(_, longest)| slice_of(now).saturating_sub(longest.newest) < SLICES as u64)
            .collect();
    }
}
