//! Which changes of the store another node has to receive, given the revision that it knows.

use paddlemount_core::forwarding::{
    backends::BackendId,
    change_log::{ChangeLog, EntryKey, is_newer},
};
use paddlemount_protocol::identity::Revision;

fn backend(number: u64) -> EntryKey {
    EntryKey::Backend(BackendId::from(format!("e{number}")))
}

fn count(log: &ChangeLog, known: u64, newest: u64) -> Option<usize> {
    log.since(Revision(known), Revision(newest)).map(|subjects| subjects.len())
}

#[test]
fn each_entry_changed_since_the_known_revision_is_listed_once() {
    let mut log = ChangeLog::default();
    log.reset(Revision(5));
    log.record(backend(1), Revision(6));
    log.record(EntryKey::Document, Revision(7));
    log.record(backend(1), Revision(9));
    assert_eq!(count(&log, 9, 9), Some(0));
    assert_eq!(count(&log, 7, 9), Some(1));
    assert_eq!(count(&log, 6, 9), Some(2));
    assert_eq!(count(&log, 5, 9), Some(2));
}

#[test]
fn revisions_outside_the_log_yield_nothing() {
    let mut log = ChangeLog::default();
    assert_eq!(count(&log, 3, 4), None, "the log is empty");
    log.reset(Revision(5));
    log.record(backend(1), Revision(6));
    assert_eq!(count(&log, 4, 6), None, "earlier changes are not recorded");
    assert_eq!(count(&log, 8, 6), None, "the reader is ahead");
}

#[test]
fn a_truncated_log_never_passes_for_a_complete_one() {
    let mut log = ChangeLog::default();
    log.reset(Revision(0));
    for revision in 1..=10_000 {
        log.record(backend(revision), Revision(revision));
    }
    assert_eq!(count(&log, 0, 10_000), None);
    assert_eq!(count(&log, 10_000 - 4_096, 10_000), Some(4_096));
    assert_eq!(count(&log, 10_000 - 4_097, 10_000), None);
    // Several entries of one revision are dropped one by one: a reader that lacks any of them gets nothing.
    let mut log = ChangeLog::default();
    log.reset(Revision(0));
    for number in 0..4_096 {
        log.record(backend(number), Revision(1));
    }
    assert_eq!(count(&log, 0, 1), Some(4_096));
    log.record(backend(5_000), Revision(2));
    assert_eq!(count(&log, 0, 2), None);
    assert_eq!(count(&log, 1, 2), Some(1));
}

/// Guards against a node that applies an older snapshot and so serves an old configuration.
#[test]
fn a_snapshot_never_reverts_a_known_revision() {
    assert!(is_newer(Revision(16), None));
    assert!(is_newer(Revision(29), Some(Revision(28))));
    assert!(!is_newer(Revision(28), Some(Revision(28))));
    assert!(!is_newer(Revision(16), Some(Revision(28))));
}
