//! How long recent answers took, and how long the answer to a new request is expected to take.
//!
//! Answers of one route differ by orders of magnitude in length, so a request's own estimate predicts its
//! duration better than the longest answer of its route.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::time::Timestamp;

/// The interval over which times are aggregated.
const SLICE: Duration = Duration::from_secs(10);
/// The number of slices that count, including the current one: answers are remembered for 50 to 60 s.
const SLICE_COUNT: usize = 6;

/// The factor applied to an estimate, in thousandths. Estimates are right in the median, and an answer that
/// is cut off costs its caller far more than a round trip to another node.
const ESTIMATE_MARGIN_PER_MILLE: u64 = 2_500;
/// The number of thousandths in one.
const PER_MILLE: u64 = 1_000;

/// How long an answer took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTime {
    /// From the request's arrival to the first chunk of the answer.
    pub first_chunk: Duration,
    /// From the request's arrival to the end of the answer.
    pub total: Duration,
    /// The answer's length as estimated by its request.
    pub estimated_tokens: Option<u32>,
}

/// Aggregated times of some answers.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    longest: Duration,
    slowest_first_chunk: Duration,
    /// The sums, over all answers with an estimated length, of the time from the first chunk to the end, and
    /// of the estimated tokens.
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
    /// The number of the newest slice since the epoch.
    newest: u64,
    by_slice: [Times; SLICE_COUNT],
}

impl RecentTimes {
    /// Clears the slices that have expired by `now`.
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
    /// Records an answer that has ended completely.
    pub fn record(&mut self, route: &str, time: AnswerTime, now: Timestamp) {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.to_owned(), RecentTimes::default());
        }
        let Some(recent) = self.by_route.get_mut(route) else { return };
        recent.advance(now);
        recent.by_slice[index(slice_of(now))].add(&time.into());
    }

    /// The longest answer of the last minute; `None` if none has ended.
    pub fn longest(&self, route: &str, now: Timestamp) -> Option<Duration> {
        Some(self.recent(route, now)?.longest)
    }

    /// The expected duration of an answer with this estimated length, derived from the rate of recent
    /// answers; the longest recent duration without an estimate. `None` if no answer has ended recently.
    pub fn expected(&self, route: &str, estimated_tokens: Option<u32>, now: Timestamp) -> Option<Duration> {
        let recent = self.recent(route, now)?;
        let Some(estimated) = estimated_tokens.filter(|_| recent.estimated > 0) else {
            return Some(recent.longest);
        };
        let micros = recent.streaming.as_micros() as u64 / recent.estimated * u64::from(estimated);
        let streaming = Duration::from_micros(micros.saturating_mul(ESTIMATE_MARGIN_PER_MILLE) / PER_MILLE);
        Some(recent.slowest_first_chunk + streaming)
    }

    /// The aggregated times of the last minute.
    fn recent(&self, route: &str, now: Timestamp) -> Option<Times> {
        let mut recent = *self.by_route.get(route)?;
        recent.advance(now);
        let mut all = Times::default();
        recent.by_slice.iter().for_each(|times| all.add(times));
        (!all.longest.is_zero()).then_some(all)
    }

    /// Removes routes without a recent answer.
    pub fn sweep(&mut self, now: Timestamp) {
        let by_route = std::mem::take(&mut self.by_route);
        self.by_route = by_route
            .into_iter()
            .filter(|(_, recent)| slice_of(now).saturating_sub(recent.newest) < SLICE_COUNT as u64)
            .collect();
    }
}
