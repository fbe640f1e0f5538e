//! Which back ends are left because their answers have heads or framing without end.
//!
//! Such an answer costs as much to read as the allowance for it permits ([`super::read_allowance`]). A single one may be
//! due to its request, so a back end is left after several in a row, and longer each time until it completes an answer.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::fleet::BackendProcess;

use super::backends::BackendId;

/// Oversized answers in a row after which a back end is left.
const TOLERATED_IN_A_ROW: u32 = 3;
/// The first time for which a back end is left.
const FIRST_BACK_OFF: Duration = Duration::from_secs(1);
/// The number of times that the back-off doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Oversized answers of back ends since the last complete one.
#[derive(Debug, Default)]
pub struct OversizedAnswers {
    in_a_row: BTreeMap<BackendProcess, u32>,
}

impl OversizedAnswers {
    /// Records an oversized answer, and returns for how long its back end gets no requests, if it is left.
    pub fn record(&mut self, process: &BackendProcess) -> Option<Duration> {
        let count = self.in_a_row.entry(process.clone()).or_default();
        *count = count.saturating_add(1);
        let doublings = count.checked_sub(TOLERATED_IN_A_ROW)?.min(MAX_DOUBLINGS);
        Some(FIRST_BACK_OFF * (1 << doublings))
    }

    /// Records a complete answer.
    pub fn record_complete(&mut self, process: &BackendProcess) {
        self.in_a_row.remove(process);
    }

    /// Removes all state of a back end that is gone.
    pub fn forget(&mut self, backend: &BackendId) {
        self.in_a_row.retain(|process, _| process.id != *backend);
    }
}
