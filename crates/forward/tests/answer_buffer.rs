//! The memory of answers that are read to their end.

use paddlemount_forward::answer_buffer::{AnswerBuffer, AnswerMemory};

static CHUNK: [u8; 64 << 10] = [0; 64 << 10];
const MIB: usize = 1 << 20;
/// A machine whose memory does not bound answers further.
const MACHINE_BYTES: usize = 256 * MIB;

/// Appends chunks until one is rejected, and returns the bytes of the answer.
fn fill(answer: &mut AnswerBuffer) -> usize {
    (0..).take_while(|_| answer.push(&CHUNK)).count() * CHUNK.len()
}

#[test]
fn one_answer_is_bounded() {
    let memory = AnswerMemory::for_requests(MACHINE_BYTES);
    assert_eq!(fill(&mut memory.begin()), 16 * MIB);
}

#[test]
fn answers_without_end_share_one_bound_and_leave_room_for_short_ones() {
    let memory = AnswerMemory::for_requests(MACHINE_BYTES);
    let mut endless: Vec<AnswerBuffer> = (0..8).map(|_| memory.begin()).collect();
    let held: usize = endless.iter_mut().map(fill).sum();
    assert!(held <= 16 * MIB + 8 * CHUNK.len(), "{held} bytes");
    assert!(memory.begin().push(b"a short answer"));
    drop(endless);
    assert_eq!(memory.used(), 0);
    assert_eq!(fill(&mut memory.begin()), 16 * MIB);
}

#[test]
fn answers_to_calls_have_a_smaller_bound_of_their_own() {
    let memory = AnswerMemory::for_calls();
    let mut endless: Vec<AnswerBuffer> = (0..9).map(|_| memory.begin()).collect();
    let held: usize = endless.iter_mut().map(fill).sum();
    assert!(held <= 8 * MIB + 9 * CHUNK.len(), "{held} bytes");
    assert!(memory.begin().push(b"a short answer"));
}

#[test]
fn a_small_machine_holds_fewer_answers() {
    let memory = AnswerMemory::for_requests(48 * MIB);
    assert_eq!(fill(&mut memory.begin()), 8 * MIB);
}

#[test]
fn a_complete_answer_counts_until_it_has_been_taken() {
    let memory = AnswerMemory::for_requests(MACHINE_BYTES);
    let mut answer = memory.begin();
    assert!(answer.push(&CHUNK) && answer.push(b"end"));
    let answer = answer.finish();
    assert_eq!(memory.used(), 3);
    let part = answer.slice(..1);
    drop(answer);
    assert_eq!(memory.used(), 3);
    drop(part);
    assert_eq!(memory.used(), 0);
}

#[test]
fn a_complete_answer_frees_its_memory() {
    let memory = AnswerMemory::for_requests(MACHINE_BYTES);
    let mut answer = memory.begin();
    assert!(answer.push(&CHUNK) && answer.push(b"end"));
    assert_eq!(answer.finish().len(), CHUNK.len() + 3);
    assert_eq!(memory.used(), 0);
}
