//! What another node must be told of the store, by what it knows.

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
fn a_reader_is_told_each_subject_that_has_changed_since_once() {
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
fn a_reader_that_knows_less_than_the_log_or_more_than_the_teller_is_told_nothing() {
    let mut log = ChangeLog::default();
    assert_eq!(count(&log, 3, 4), None, "nothing is known yet");
    log.reset(Revision(5));
    log.record(backend(1), Revision(6));
    assert_eq!(count(&log, 4, 6), None, "what changed before the beginning is not remembered");
    assert_eq!(count(&log, 8, 6), None, "the reader knows more");
}

#[test]
fn what_falls_out_of_the_log_is_told_to_nobody_as_if_it_were_all() {
    let mut log = ChangeLog::default();
    log.reset(Revision(0));
    for revision in 1..=10_000 {
        log.record(backend(revision), Revision(revision));
    }
    assert_eq!(count(&log, 0, 10_000), None);
    assert_eq!(count(&log, 10_000 - 4_096, 10_000), Some(4_096));
    assert_eq!(count(&log, 10_000 - 4_097, 10_000), None);
    // Several subjects of one revision fall out one by one: the reader that lacks any of them is told nothing.
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

/// A node whose history was lost took the snapshot of a node that was cut off from the store, twelve revisions older than
/// what it knew. It asked for what followed, which the store had forgotten, took the same snapshot again, and served by an old
/// configuration for four seconds.
#[test]
fn a_snapshot_never_takes_back_what_is_known() {
    assert!(is_newer(Revision(16), None));
    assert!(is_newer(Revision(29), Some(Revision(28))));
    assert!(!is_newer(Revision(28), Some(Revision(28))));
    assert!(!is_newer(Revision(16), Some(Revision(28))));
}
