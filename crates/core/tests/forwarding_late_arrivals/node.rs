//! A node with its budget, and the attempts of its requests that may still be read.

use std::time::Duration;

use paddlemount_core::forwarding::{
    budget::{WindowBudget, WindowBudgetSettings},
    late_arrivals::{LateArrivals, RequestRetries, RetriedRequest},
    retry_reserve::Reserve,
};
use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

pub const WINDOW_MS: u64 = 10_000;

pub fn process(number: usize) -> BackendProcess {
    BackendProcess { id: format!("server-{number}").as_str().into(), started_at: None }
}

pub fn service() -> ServiceId {
    ServiceId::from("service")
}

/// The budget of one node, and its attempts that may still arrive.
pub struct Node {
    pub budget: WindowBudget,
    pub late: LateArrivals,
}

impl Node {
    pub fn new(share_per_mille: u32, reserve: Reserve, draw: f64) -> Self {
        let mut budget = WindowBudget::new(WindowBudgetSettings {
            share_per_mille,
            window: Duration::from_millis(WINDOW_MS),
            started: Timestamp::ZERO,
            draw,
        });
        budget.set_reserve(reserve);
        Self { budget, late: LateArrivals::default() }
    }

    /// A node that has saved up a number of retries, and earns none.
    pub fn with_saved(retries: u32) -> Self {
        // It may save up somewhat over 179 thousandths of its share.
        Self::new(0, Reserve::share_of(retries * 1_000, 179), 0.0)
    }

    pub fn count_dated(&mut self, now: Timestamp) {
        for retry in self.late.take_dated(now) {
            self.budget.record_dated(retry.at);
        }
    }

    pub fn draw(&mut self, retries: &mut RequestRetries, now: Timestamp) -> bool {
        self.count_dated(now);
        let granted = self.budget.try_retry(now);
        if granted {
            self.late.record_drawn(retries, &service(), &mut self.budget, now);
        }
        granted
    }

    pub fn give_up(&mut self, retries: &RequestRetries, now: Timestamp) -> Option<RetriedRequest> {
        let request = retries.request()?;
        self.late.record_unread(request, now);
        Some(request)
    }
}

/// A time when processes have run for long.
pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100 * WINDOW_MS + ms)
}
