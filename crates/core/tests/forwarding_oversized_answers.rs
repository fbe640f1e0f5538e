//! Back ends whose answers have heads or framing without end.

use std::time::Duration;

use paddlemount_core::forwarding::{backends::BackendId, oversized_answers::OversizedAnswers};
use paddlemount_protocol::fleet::BackendProcess;

fn process(started_at: u64) -> BackendProcess {
    BackendProcess { id: BackendId::from("engine"), started_at: Some(started_at) }
}

#[test]
fn a_back_end_is_left_after_some_oversized_answers_in_a_row_and_longer_each_time() {
    let mut answers = OversizedAnswers::default();
    let back_offs: Vec<Option<u64>> =
        (0..10).map(|_| answers.record(&process(1)).map(|back_off| back_off.as_secs())).collect();
    let expected = [None, None, Some(1), Some(2), Some(4), Some(8), Some(16), Some(32), Some(32), Some(32)];
    assert_eq!(back_offs, expected);
}

/// Guards against a request that makes each back end answer so, and whose back ends serve others well.
#[test]
fn oversized_answers_between_complete_ones_leave_no_back_end() {
    let mut answers = OversizedAnswers::default();
    for _ in 0..10 {
        assert_eq!(answers.record(&process(1)), None);
        assert_eq!(answers.record(&process(1)), None);
        answers.record_complete(&process(1));
    }
}

#[test]
fn another_process_of_a_back_end_begins_anew() {
    let mut answers = OversizedAnswers::default();
    for _ in 0..3 {
        answers.record(&process(1));
    }
    assert_eq!(answers.record(&process(2)), None);
    answers.forget(&process(1).id);
    assert_eq!(answers.record(&process(1)), None);
    assert_eq!(answers.record(&process(1)), None);
    assert_eq!(answers.record(&process(1)), Some(Duration::from_secs(1)));
}
