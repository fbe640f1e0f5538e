//! Retry budget: bounds retries to a share of requests, so that they cannot amplify an outage.
//!
//! Each request earns a fraction of a retry and each retry spends a whole one. Unspent retries accumulate up
//! to a reserve, so that the streams of one crashed engine can all continue elsewhere at once. Over any
//! interval
//!
//! `retries <= reserve + share * requests`
//!
//! regardless of the back ends. Every further attempt counts, including those after a "not run" refusal and
//! those that continue a broken stream, because each adds load to a back end that may be in trouble.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Thousandths of a retry that each request earns.
    pub share_per_mille: u32,
    /// Maximum number of unspent retries. A new budget starts with all of them.
    pub reserve: u32,
    /// Maximum number of attempts per request, including the first.
    pub attempts_per_request: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share_per_mille: 100, reserve: 20, attempts_per_request: 4 }
    }
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The retry is allowed and has been deducted from the budget.
    Granted,
    /// The node's budget is exhausted.
    BudgetSpent,
    /// The request has used all of its attempts.
    AttemptsSpent,
}

/// Cost of a retry in thousandths.
const RETRY_COST: u64 = 1_000;

/// The retry budget of one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Thousandths of a retry.
    balance: u64,
    requests: u64,
    retries: u64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget with a full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        let balance = u64::from(settings.reserve) * RETRY_COST;
        Self { settings, balance, requests: 0, retries: 0, refused: 0 }
    }

    /// Counts a request's first attempt, which earns a fraction of a retry.
    pub fn request(&mut self) {
        self.requests += 1;
        let ceiling = u64::from(self.settings.reserve) * RETRY_COST;
        let earned = self.balance + u64::from(self.settings.share_per_mille);
        self.balance = earned.min(ceiling.max(RETRY_COST));
    }

    /// Requests a retry for a request that has had `attempts` attempts.
    pub fn retry(&mut self, attempts: u32) -> RetryDecision {
        if attempts >= self.settings.attempts_per_request {
            return RetryDecision::AttemptsSpent;
        }
        if self.balance < RETRY_COST {
            self.refused += 1;
            return RetryDecision::BudgetSpent;
        }
        self.balance -= RETRY_COST;
        self.retries += 1;
        RetryDecision::Granted
    }

    /// Returns the counts since the node started.
    pub const fn counts(&self) -> RetryCounts {
        RetryCounts {
            requests: self.requests,
            retries: self.retries,
            refused: self.refused,
            available: self.balance / RETRY_COST,
        }
    }
}

/// Counters of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests with a first attempt.
    pub requests: u64,
    pub retries: u64,
    /// Retries refused because the budget was exhausted.
    pub refused: u64,
    /// Retries that the budget would grant now.
    pub available: u64,
}
