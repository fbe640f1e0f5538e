//! How much of an answer is read beyond its data.

use paddlemount_core::forwarding::read_allowance::{MAX_BUFFERED_BYTES, ReadAllowance};

/// Four times the bytes that may be buffered: more than heads, framing and buffered data may have together.
const FAR_TOO_MANY_BYTES: usize = 4 * MAX_BUFFERED_BYTES;
/// The framing of a chunk without extensions: its size in 16 digits, and two line ends.
const CHUNK_FRAMING_BYTES: usize = 20;

/// Bytes that are read in pieces of this size before no more may be read, if nothing is delivered.
fn read_without_delivery(piece: usize) -> usize {
    let (mut allowance, mut read) = (ReadAllowance::default(), 0);
    while allowance.may_read() && read < 2 * FAR_TOO_MANY_BYTES {
        allowance = allowance.after_read(piece);
        read += piece;
    }
    read
}

#[test]
fn bytes_that_are_not_data_are_bounded_whatever_their_pieces() {
    for piece in [1, 20, 8_192, MAX_BUFFERED_BYTES] {
        let read = read_without_delivery(piece);
        assert!((MAX_BUFFERED_BYTES..=FAR_TOO_MANY_BYTES).contains(&read), "{read} in pieces of {piece}");
    }
}

#[test]
fn many_small_chunks_may_be_read() {
    let mut allowance = ReadAllowance::default();
    for _ in 0..FAR_TOO_MANY_BYTES {
        assert!(allowance.may_read());
        allowance = allowance.after_read(CHUNK_FRAMING_BYTES + 1).after_delivery(1);
    }
}

/// Otherwise a long answer would allow as many bytes that are not data after it.
#[test]
fn delivered_data_allows_no_more_bytes_that_are_not_data() {
    let delivered =
        ReadAllowance::default().after_read(MAX_BUFFERED_BYTES).after_delivery(FAR_TOO_MANY_BYTES);
    assert_eq!(delivered, ReadAllowance::default());
}

/// A reader may lag behind by one buffer and one piece of data on its way, beside a head of one buffer.
#[test]
fn data_that_waits_for_its_reader_may_be_read() {
    bolero::check!().with_type::<Vec<(u16, bool)>>().for_each(|steps| {
        let (mut allowance, mut waiting) = (ReadAllowance::default().after_read(MAX_BUFFERED_BYTES / 2), 0);
        for (bytes, delivers) in steps {
            let bytes = usize::from(*bytes) % MAX_BUFFERED_BYTES;
            if *delivers || waiting + bytes > 2 * MAX_BUFFERED_BYTES {
                allowance = allowance.after_delivery(waiting);
                waiting = 0;
            }
            assert!(allowance.may_read(), "{waiting} bytes wait");
            allowance = allowance.after_read(bytes);
            waiting += bytes;
        }
    });
}
