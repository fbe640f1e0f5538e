//! How long whole answers have lately taken, and how long one may take that is to begin.
//!
//! The answers of a route differ by a factor of a hundred in length. What a request guesses of its own tells more of it than
//! the longest answer of its route: the streams that a planned stop cut were guessed two to four times as long as most, while
//! requests that it refused for a long one before them were short.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::time::Timestamp;

/// The time of which the longest answer is kept apart.
const SLICE: Duration = Duration::from_secs(10);
/// Slices that count, the present one included: answers are remembered for 50 to 60 s.
const SLICE_COUNT: usize = 6;

/// How much longer than by its guess an answer is reckoned with: guesses are right in the median, and an answer that is cut
/// costs its caller far more than a round trip to another node.
const ESTIMATE_MARGIN_PER_MILLE: u64 = 2_500;
/// Thousandths in a whole.
const PER_MILLE: u64 = 1_000;

/// How long an answer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// From the request's arrival to the first part of the answer.
    pub first_chunk: Duration,
    /// To its end.
    pub total: Duration,
    /// Tokens that its request guessed it to have.
    pub estimated_tokens: Option<u32>,
}

/// The times of some answers.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    /// The longest of them.
    longest: Duration,
    /// The longest time to a first part.
    slowest_first_chunk: Duration,
    /// The time from the first part to the end of all answers whose length was guessed, and the tokens that were guessed.
    streaming: Duration,
    estimated: u64,
}

impl Times {
    fn add(&mut self, other: &Self) {
        self.longest = self.longest.max(other.longest);
        self.slowest_first_chunk = self.slowest_first_chunk.max(other.slowest_first_chunk);
        self.streaming += other.streaming;
        self.estimated += other.estimated;
    }
}

impl From<AnswerTime> for Times {
    fn from(time: AnswerTime) -> Self {
        let estimated = u64::from(time.estimated_tokens.unwrap_or(0));
        let streaming = time.total.saturating_sub(time.first_chunk);
        Self {
            longest: time.total,
            slowest_first_chunk: time.first_chunk,
            streaming: if estimated > 0 { streaming } else { Duration::ZERO },
            estimated,
        }
    }
}

/// The times of one route's answers, by slices of time.
#[derive(Clone, Copy, Debug, Default)]
struct RecentTimes {
    /// The number of the newest slice, counted from the clock's zero.
    newest: u64,
    by_slice: [Times; SLICE_COUNT],
}

impl RecentTimes {
    /// Empties the slices that have grown too old by `now`.
    fn advance(&mut self, now: Timestamp) {
        let present = slice_of(now);
        let passed = present.saturating_sub(self.newest);
        for number in 1..=passed.min(SLICE_COUNT as u64) {
            self.by_slice[index(self.newest + number)] = Times::default();
        }
        self.newest = self.newest.max(present);
    }
}

fn slice_of(now: Timestamp) -> u64 {
    now.as_millis() / SLICE.as_millis() as u64
}

fn index(slice: u64) -> usize {
    (slice % SLICE_COUNT as u64) as usize
}

/// How long recent answers took, by route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    by_route: BTreeMap<String, RecentTimes>,
}

impl AnswerTimes {
    /// An answer has ended whole.
    pub fn record(&mut self, route: &str, time: AnswerTime, now: Timestamp) {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.to_owned(), RecentTimes::default());
        }
        let Some(recent) = self.by_route.get_mut(route) else { return };
        recent.advance(now);
        recent.by_slice[index(slice_of(now))].add(&time.into());
    }

    /// The longest answer of the last minute; nothing where none has ended.
    pub fn longest(&self, route: &str, now: Timestamp) -> Option<Duration> {
        Some(self.recent(route, now)?.longest)
    }

    /// How long an answer is reckoned to take that is guessed to have so many tokens, by what recent guesses were worth; as
    /// long as the longest where nothing is guessed. Nothing where none has ended.
    pub fn expected(&self, route: &str, estimated_tokens: Option<u32>, now: Timestamp) -> Option<Duration> {
        let recent = self.recent(route, now)?;
        let Some(estimated) = estimated_tokens.filter(|_| recent.estimated > 0) else {
            return Some(recent.longest);
        };
        let micros = recent.streaming.as_micros() as u64 / recent.estimated * u64::from(estimated);
        let streaming = Duration::from_micros(micros.saturating_mul(ESTIMATE_MARGIN_PER_MILLE) / PER_MILLE);
        Some(recent.slowest_first_chunk + streaming)
    }

    /// The times of the last minute.
    fn recent(&self, route: &str, now: Timestamp) -> Option<Times> {
        let mut recent = *self.by_route.get(route)?;
        recent.advance(now);
        let mut all = Times::default();
        recent.by_slice.iter().for_each(|times| all.add(times));
        (!all.longest.is_zero()).then_some(all)
    }

    /// Forgets routes without a recent answer.
    pub fn sweep(&mut self, now: Timestamp) {
        let by_route = std::mem::take(&mut self.by_route);
        self.by_route = by_route
            .into_iter()
            .filter(|(_, recent)| slice_of(now).saturating_sub(recent.newest) < SLICE_COUNT as u64)
            .collect();
    }
}
