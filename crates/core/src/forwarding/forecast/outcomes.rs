//! Sums of outcomes, which nodes can add up.
//!
//! The fastest outcomes of a prompt size are those of a histogram: unlike quantiles, histograms of several nodes
//! can be added.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::OutcomeSum, time::Timestamp};

use super::{EngineWorkload, RequestWork};

/// The upper bounds of all size classes but the last, in tokens to prefill.
const SIZE_BOUNDS: [u64; 4] = [512, 2_048, 8_192, 32_768];
/// The number of size classes.
pub(super) const SIZE_CLASSES: u8 = SIZE_BOUNDS.len() as u8 + 1;
/// Buckets of times in each size class and load, the last one unbounded: from 10 ms to 10 s.
const BUCKETS: u8 = 20;
/// The upper bound of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.01;
/// The number of buckets by which times double.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// An engine is busy if it runs at least its slots divided by this.
const BUSY_DIVISOR: u32 = 4;
/// The time constant with which outcomes lose weight: engines are replaced and change speed.
const DECAY: Duration = Duration::from_secs(15);
/// The weight below which outcomes of a bucket are left out.
const MIN_COUNT: f64 = 0.02;

/// Where an outcome belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cell {
    pub size_class: u8,
    pub is_busy: bool,
    /// The bucket of the time to the first event.
    pub bucket: u8,
}

impl Cell {
    fn of(workload: EngineWorkload, work: RequestWork, seconds: f64) -> Self {
        let size_class = SIZE_BOUNDS.partition_point(|bound| *bound <= work.prefill_tokens) as u8;
        let is_busy = workload.requests.saturating_mul(BUSY_DIVISOR) >= workload.slots.max(1);
        let doublings = (seconds / FIRST_BUCKET_SECONDS).max(1.0).log2();
        let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil().min(f64::from(BUCKETS - 1)) as u8;
        Self { size_class, is_busy, bucket }
    }

    const fn number(self) -> u8 {
        (self.size_class * 2 + self.is_busy as u8) * BUCKETS + self.bucket
    }

    /// The cell with this number; `None` for one of another build.
    pub(super) fn from_number(number: u8) -> Option<Self> {
        let (group, bucket) = (number / BUCKETS, number % BUCKETS);
        let cell = Self { size_class: group / 2, is_busy: group % 2 == 1, bucket };
        (cell.size_class < SIZE_CLASSES).then_some(cell)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: f64,
    tokens: f64,
    requests: f64,
    seconds: f64,
}

impl Sum {
    fn scaled(self, factor: f64) -> Self {
        Self {
            count: self.count * factor,
            tokens: self.tokens * factor,
            requests: self.requests * factor,
            seconds: self.seconds * factor,
        }
    }
}

/// The outcomes of one node for one service.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    by_cell: BTreeMap<u8, Sum>,
    at: Timestamp,
}

impl Outcomes {
    /// Records the time until the first event of a request.
    pub(super) fn record(
        &mut self,
        workload: EngineWorkload,
        work: RequestWork,
        measured: Duration,
        now: Timestamp,
    ) {
        let remaining = self.remaining(now);
        self.by_cell.values_mut().for_each(|sum| *sum = sum.scaled(remaining));
        self.at = now;
        let seconds = measured.saturating_sub(work.transfer).as_secs_f64();
        let sum = self.by_cell.entry(Cell::of(workload, work, seconds).number()).or_default();
        sum.count += 1.0;
        sum.tokens += work.prefill_tokens as f64;
        sum.requests += f64::from(workload.requests.min(workload.slots));
        sum.seconds += seconds;
    }

    /// The sums at `now`, ordered by cell.
    pub(super) fn sums(&self, now: Timestamp) -> Vec<OutcomeSum> {
        let remaining = self.remaining(now);
        let aged = self.by_cell.iter().map(|(cell, sum)| (*cell, sum.scaled(remaining)));
        let message = |(cell, sum): (u8, Sum)| OutcomeSum {
            cell,
            count_per_mille: (sum.count * 1e3) as u64,
            tokens: sum.tokens as u64,
            requests_per_mille: (sum.requests * 1e3) as u64,
            micros: (sum.seconds * 1e6) as u64,
        };
        aged.filter(|(_, sum)| sum.count >= MIN_COUNT).map(message).collect()
    }

    fn remaining(&self, now: Timestamp) -> f64 {
        (-now.saturating_since(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}
