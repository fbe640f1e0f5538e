//! Retry budget: retries are a bounded share of requests, so that they cannot amplify an outage.
//!
//! Each request earns a fraction of a retry; each retry spends a whole one. What is unspent is kept up to a reserve,
//! so that the streams of one crashed engine can all continue elsewhere at once. Over any interval
//!
//! `retries <= reserve + share * requests`
//!
//! whatever the back ends do. Every further try counts, also one after a refusal "not run" and one that continues a
//! broken stream: each costs a back end work while it may be in trouble.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Thousandths of a retry that each request earns.
    pub share_per_mille: u32,
    /// Unspent whole retries that are kept at most; a new budget begins with them.
    pub reserve: u32,
    /// Tries of one request at most, the first included.
    pub attempts_per_request: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { share_per_mille: 100, reserve: 20, attempts_per_request: 4 }
    }
}

/// Whether a request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may; the retry has been paid for.
    Granted,
    /// The node's budget is spent: the request must end now.
    BudgetSpent,
    /// The request has used all of its tries.
    AttemptsSpent,
}

/// Thousandths of a retry in one retry.
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
    /// A budget with a full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        let balance = u64::from(settings.reserve) * RETRY_COST;
        Self { settings, balance, requests: 0, retries: 0, refused: 0 }
    }

    /// A request arrived and gets its first try.
    pub fn request(&mut self) {
        self.requests += 1;
        let ceiling = u64::from(self.settings.reserve) * RETRY_COST;
        let earned = self.balance + u64::from(self.settings.share_per_mille);
        self.balance = earned.min(ceiling.max(RETRY_COST));
    }

    /// A request that has been tried `attempts` times asks for one more try.
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

    /// Counts since the node started.
    pub const fn counts(&self) -> RetryCounts {
        RetryCounts {
            requests: self.requests,
            retries: self.retries,
            refused: self.refused,
            available: self.balance / RETRY_COST,
        }
    }
}

/// What a [`RetryBudget`] has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests that got their first try.
    pub requests: u64,
    /// Retries granted.
    pub retries: u64,
    /// Retries refused because the budget was spent.
    pub refused: u64,
    /// Retries that could be granted now.
    pub available: u64,
}
