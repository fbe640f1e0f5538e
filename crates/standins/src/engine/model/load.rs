//! Load reports that lag behind the actual load.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::{engine::LoadReport, time::Timestamp};

/// Recent loads of an engine, as far back as reports lag.
#[derive(Clone, Debug)]
pub struct LoadHistory {
    lag: Duration,
    loads: VecDeque<LoadReport>,
}

impl LoadHistory {
    /// Creates a history whose reports lag by `lag`; before the first record, the load is zero.
    pub fn new(lag: Duration) -> Self {
        Self { lag, loads: VecDeque::from([LoadReport::default()]) }
    }

    /// Sets the lag of later reports.
    pub const fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Records a load under its own timestamp.
    pub fn record(&mut self, load: LoadReport) {
        match self.loads.back_mut() {
            Some(last) if last.measured_at == load.measured_at => *last = load,
            _ => self.loads.push_back(load),
        }
        let reported_at = load.measured_at - self.lag;
        while self.loads.get(1).is_some_and(|second| second.measured_at <= reported_at) {
            self.loads.pop_front();
        }
    }

    /// Returns the load report at `now`, which is the load of `now` minus the lag.
    pub fn report(&self, now: Timestamp) -> LoadReport {
        let reported_at = now - self.lag;
        let after = self.loads.partition_point(|load| load.measured_at <= reported_at);
        let load = self.loads.get(after.saturating_sub(1)).copied().unwrap_or_default();
        LoadReport { measured_at: reported_at, ..load }
    }
}
