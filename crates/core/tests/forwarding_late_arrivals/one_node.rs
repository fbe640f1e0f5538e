//! Retries of single requests at one node.

use paddlemount_core::forwarding::late_arrivals::{RequestRetries, RetriedRequest};

use crate::node::{Node, WINDOW_MS, at, process};

/// A node whose request was retried after an attempt that may not have been read, and that request.
fn node_with_an_unread_attempt(reserve: u32) -> (Node, RequestRetries, RetriedRequest) {
    let mut node = Node::with_saved(reserve);
    let mut retries = RequestRetries::default();
    assert!(node.draw(&mut retries, at(0)));
    let request = node.give_up(&retries, at(0)).expect("the request was retried");
    (node, retries, request)
}

#[test]
fn a_retry_counts_in_every_window_until_the_attempt_before_it_is_read() {
    let (mut node, mut retries, request) = node_with_an_unread_attempt(2);
    node.late.record_shown(&mut retries, at(50));
    node.count_dated(at(3 * WINDOW_MS));
    assert_eq!(node.budget.remaining(at(3 * WINDOW_MS)), 1);
    node.late.record_read(request, at(3 * WINDOW_MS));
    node.count_dated(at(3 * WINDOW_MS + 1_000));
    assert_eq!(node.budget.remaining(at(3 * WINDOW_MS + 1_000)), 1, "it has just arrived");
    assert_eq!(node.budget.remaining(at(5 * WINDOW_MS)), 2);
}

/// A retry may wait on a connection of its own.
#[test]
fn a_retry_counts_in_every_window_until_it_shows_itself() {
    let mut node = Node::with_saved(2);
    let mut retries = RequestRetries::default();
    node.late.record_shown(&mut retries, at(0));
    assert!(node.draw(&mut retries, at(0)));
    node.count_dated(at(2 * WINDOW_MS));
    assert_eq!(node.budget.remaining(at(2 * WINDOW_MS)), 1);
    node.late.record_shown(&mut retries, at(2 * WINDOW_MS));
    node.count_dated(at(2 * WINDOW_MS));
    assert_eq!(node.budget.remaining(at(2 * WINDOW_MS)), 1, "it has just arrived");
    assert_eq!(node.budget.remaining(at(4 * WINDOW_MS)), 2);
}

/// A process with several workers serves others while one of them stands still.
#[test]
fn bytes_of_the_same_process_do_not_date_an_attempt_with_a_connection_of_its_own() {
    let (mut node, mut retries, _) = node_with_an_unread_attempt(2);
    node.late.record_shown(&mut retries, at(50));
    node.late.record_heard(&process(0), at(500));
    assert_eq!(node.late.take_dated(at(5_000)).count(), 0);
}

#[test]
fn bytes_of_its_process_date_an_attempt_whose_connection_has_failed() {
    let (mut node, mut retries, request) = node_with_an_unread_attempt(2);
    node.late.record_shown(&mut retries, at(50));
    node.late.record_unobserved(request, &process(0));
    node.late.record_heard(&process(1), at(10));
    assert_eq!(node.late.take_dated(at(5_000)).count(), 0, "another process");
    node.late.record_heard(&process(0), at(5_000));
    assert_eq!(node.late.take_dated(at(6_000)).count(), 1);
}

/// Which of two late arrivals is the repeated one shows only with the second.
#[test]
fn a_retry_between_two_unread_attempts_counts_with_the_last() {
    let (mut node, retries, request) = node_with_an_unread_attempt(2);
    assert_eq!(node.give_up(&retries, at(600)), Some(request));
    node.late.record_over(&retries, at(600));
    node.late.record_read(request, at(2_000));
    assert_eq!(node.late.take_dated(at(3_000)).count(), 0);
    node.late.record_read(request, at(9_000));
    assert_eq!(node.late.take_dated(at(10_000)).count(), 1);
    assert!(node.late.is_empty());
}

/// What a process has not read is gone with it.
#[test]
fn the_end_of_a_process_dates_a_retry() {
    let (mut node, mut retries, request) = node_with_an_unread_attempt(1);
    node.late.record_shown(&mut retries, at(50));
    node.late.record_over(&retries, at(60));
    node.late.record_unobserved(request, &process(0));
    node.late.record_ended(&process(0), at(2_000));
    node.count_dated(at(3_000));
    assert!(node.late.is_empty());
    assert_eq!(node.budget.remaining(at(3_000)), 0);
    assert_eq!(node.budget.remaining(at(23_000)), 1);
}

/// A request may end after it has drawn a retry that finds no back end.
#[test]
fn a_retry_that_is_never_sent_counts_when_its_request_ends() {
    let mut node = Node::with_saved(1);
    let mut retries = RequestRetries::default();
    node.late.record_shown(&mut retries, at(0));
    assert!(node.draw(&mut retries, at(0)));
    node.late.record_over(&retries, at(100));
    node.count_dated(at(100));
    assert!(node.late.is_empty());
    assert_eq!(node.budget.remaining(at(100)), 0);
    assert_eq!(node.budget.remaining(at(2 * WINDOW_MS)), 1);
}

/// A server that never goes on must not take retries from the budget for ever.
#[test]
fn a_process_that_stays_silent_does_not_hold_the_budget_for_ever() {
    let (mut node, mut retries, _) = node_with_an_unread_attempt(1);
    node.late.record_shown(&mut retries, at(0));
    node.late.record_over(&retries, at(0));
    node.late.sweep(at(29_000));
    node.count_dated(at(29_000));
    assert_eq!(node.budget.remaining(at(29_000)), 0);
    node.late.sweep(at(31_000));
    node.count_dated(at(31_000));
    assert_eq!(node.budget.remaining(at(80_000)), 1);
    assert!(node.late.is_empty());
}
