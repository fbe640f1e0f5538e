//! The settings of admission control and the retry budget.

use paddlemount_core::{admission::AdmissionSettings, retry::RetrySettings};

use super::reader::{Document, Section};

/// The settings of admission control and the retry budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadSettings {
    /// The queue and the limit of requests in flight.
    pub admission: AdmissionSettings,
    pub retries: RetrySettings,
}

/// Reads the tables `admission` and `retries`.
pub fn read(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> OverloadSettings {
    OverloadSettings { admission: read_admission(document, root), retries: read_retries(document, root) }
}

fn read_admission(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> AdmissionSettings {
    let mut admission = AdmissionSettings::default();
    let mut section = root.table(document, "admission");
    let length = admission.queue_length as u64;
    admission.queue_length = section.number(document, "queue_length", length, 0..=100_000) as usize;
    admission.max_wait = section.milliseconds(document, "longest_wait_ms", 2_000, 1..=60_000);
    let reserved = section.number(document, "reserved_percent", 10, 0..=50);
    admission.reserved_fraction = reserved as f64 / 100.0;
    admission.concurrency.target_queueing =
        section.milliseconds(document, "target_queueing_ms", 200, 1..=10_000);
    section.finish(document);
    admission
}

fn read_retries(document: &mut Document<'_>, root: &mut Section<'_, '_>) -> RetrySettings {
    let mut retries = RetrySettings::default();
    let mut section = root.table(document, "retries");
    let share = u64::from(retries.share_per_mille) / 10;
    retries.share_per_mille = section.number(document, "share_percent", share, 0..=100) as u32 * 10;
    let reserve = u64::from(retries.reserve);
    retries.reserve = section.number(document, "reserve", reserve, 0..=10_000) as u32;
    section.finish(document);
    retries
}
