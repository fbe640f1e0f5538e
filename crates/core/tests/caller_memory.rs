//! The memory of callers' bodies: its bounds, and which body gives way.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::caller_memory::{
    ARRIVAL_BUFFER_BYTES, BodyId, CallerMemory, Growth, Owner, Rooms, SMALL_BODY_BYTES, STALL_TIMEOUT,
};
use paddlemount_protocol::{identity::TenantId, time::Timestamp};

const LARGE_BYTES: usize = 4 * SMALL_BODY_BYTES;
/// Room for four small bodies and for four large ones whose rest is waited for, and a part for small ones that come with
/// their head.
const ROOMS: Rooms = Rooms {
    small_bytes: 4 * (SMALL_BODY_BYTES + ARRIVAL_BUFFER_BYTES) * 4 / 3,
    large_bytes: 4 * (LARGE_BYTES + ARRIVAL_BUFFER_BYTES),
};
const PIECE_BYTES: usize = SMALL_BODY_BYTES / 4;

fn owner(name: &str) -> Owner {
    Some(TenantId::from(name))
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(milliseconds)
}

const fn granted() -> Growth {
    Growth { is_granted: true, evicted: Vec::new() }
}

/// Opens a body whose caller is waited for, and grows it to a size.
fn hold(memory: &mut CallerMemory, name: &str, bytes: usize, now: Timestamp) -> BodyId {
    let id = memory.open(owner(name), Some(bytes), now);
    assert_eq!(memory.wait_for_rest(id, now), granted());
    assert_eq!(memory.grow(id, bytes, now), granted());
    id
}

#[test]
fn the_largest_body_is_held_where_nothing_else_is() {
    let mut memory = CallerMemory::new(ROOMS);
    let id = memory.open(owner("alpha"), None, at(0));
    assert_eq!(memory.wait_for_rest(id, at(0)), granted());
    for _ in 0..memory.max_body_bytes() / PIECE_BYTES {
        assert_eq!(memory.grow(id, PIECE_BYTES, at(0)), granted());
    }
    assert_eq!(memory.held_bytes(), ROOMS.large_bytes);
    assert!(!memory.grow(id, 1, at(0)).is_granted);
    memory.complete(id, memory.max_body_bytes());
    assert_eq!(memory.held_bytes(), memory.max_body_bytes());
}

#[test]
fn announcements_hold_no_room() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..100 {
        memory.open(owner("alpha"), Some(ROOMS.large_bytes), at(0));
    }
    let largest = memory.max_body_bytes();
    hold(&mut memory, "alpha", largest, at(0));
}

#[test]
fn many_bodies_of_a_few_bytes_are_bounded() {
    let mut memory = CallerMemory::new(ROOMS);
    let arriving = (0..100).filter(|_| {
        let id = memory.open(owner("alpha"), Some(SMALL_BODY_BYTES), at(0));
        memory.wait_for_rest(id, at(0)).is_granted
    });
    assert!(arriving.count() <= ROOMS.small_bytes / ARRIVAL_BUFFER_BYTES);
}

#[test]
fn a_small_body_that_comes_with_its_head_has_room_beside_those_that_are_waited_for() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..4 {
        hold(&mut memory, "alpha", SMALL_BODY_BYTES, at(0));
    }
    let waiting = memory.open(owner("alpha"), Some(SMALL_BODY_BYTES), at(0));
    assert!(!memory.wait_for_rest(waiting, at(0)).is_granted);
    let at_once = memory.open(owner("alpha"), Some(SMALL_BODY_BYTES), at(0));
    assert_eq!(memory.grow(at_once, SMALL_BODY_BYTES, at(0)), granted());
    memory.complete(at_once, SMALL_BODY_BYTES);
}

#[test]
fn complete_bodies_have_no_buffers() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..7 {
        let id = hold(&mut memory, "alpha", SMALL_BODY_BYTES, at(0));
        memory.complete(id, SMALL_BODY_BYTES);
    }
    assert_eq!(memory.held_bytes(), 7 * SMALL_BODY_BYTES);
}

#[test]
fn large_bodies_leave_the_room_of_small_ones_alone() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..4 {
        hold(&mut memory, "alpha", LARGE_BYTES, at(0));
    }
    hold(&mut memory, "alpha", SMALL_BODY_BYTES, at(0));
}

/// Chunked bodies state no length.
#[test]
fn a_body_that_grows_large_leaves_the_room_of_small_ones() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..8 {
        let id = memory.open(owner("alpha"), None, at(0));
        assert_eq!(memory.grow(id, SMALL_BODY_BYTES, at(0)), granted());
        assert_eq!(memory.grow(id, 1, at(0)), granted());
    }
    for _ in 0..4 {
        hold(&mut memory, "alpha", SMALL_BODY_BYTES, at(0));
    }
}

#[test]
fn a_body_without_progress_gives_way() {
    let mut memory = CallerMemory::new(ROOMS);
    let bodies: Vec<BodyId> = (0..4).map(|_| hold(&mut memory, "alpha", LARGE_BYTES, at(0))).collect();
    let later = at(0) + STALL_TIMEOUT;
    for id in [bodies[0], bodies[1], bodies[3]] {
        memory.record_progress(id, later);
    }
    let id = memory.open(owner("alpha"), Some(LARGE_BYTES), later);
    assert_eq!(memory.grow(id, 1, later), Growth { is_granted: true, evicted: vec![bodies[2]] });
}

#[test]
fn bodies_with_progress_of_the_same_owner_stay() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..4 {
        hold(&mut memory, "alpha", LARGE_BYTES, at(0));
    }
    let id = memory.open(owner("alpha"), Some(LARGE_BYTES), at(1));
    assert_eq!(memory.grow(id, 1, at(1)), Growth { is_granted: false, evicted: Vec::new() });
}

#[test]
fn the_owner_that_holds_most_gives_way_to_another() {
    let mut memory = CallerMemory::new(ROOMS);
    hold(&mut memory, "beta", LARGE_BYTES, at(0));
    let largest = hold(&mut memory, "alpha", 2 * LARGE_BYTES, at(0));
    hold(&mut memory, "alpha", LARGE_BYTES, at(0));
    let id = memory.open(owner("gamma"), Some(LARGE_BYTES), at(0));
    assert_eq!(memory.grow(id, LARGE_BYTES, at(0)), Growth { is_granted: true, evicted: vec![largest] });
}

#[test]
fn complete_bodies_never_give_way() {
    let mut memory = CallerMemory::new(ROOMS);
    for _ in 0..4 {
        let id = hold(&mut memory, "alpha", LARGE_BYTES, at(0));
        memory.complete(id, LARGE_BYTES);
    }
    let later = at(0) + 10 * STALL_TIMEOUT;
    let id = memory.open(owner("beta"), Some(2 * LARGE_BYTES), later);
    assert_eq!(memory.grow(id, 2 * LARGE_BYTES, later), Growth { is_granted: false, evicted: Vec::new() });
}

#[derive(Debug, bolero::TypeGenerator)]
enum Step {
    Open { owner: u8, announced: Option<u32> },
    Grow { body: u8, bytes: u16, passed_ms: u16 },
    Wait { body: u8 },
    Complete { body: u8, omitted: u16 },
    Close { body: u8 },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Expected {
    bytes: usize,
    buffer_bytes: usize,
    is_complete: bool,
}

/// No order of arrivals, ends, stalls and departures passes a bound or loses a byte of the account.
#[test]
fn the_account_is_exact_and_within_its_bounds() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut memory = CallerMemory::new(ROOMS);
        let mut expected: BTreeMap<BodyId, Expected> = BTreeMap::new();
        let mut now = at(0);
        for step in steps {
            let nth = |number: u8| expected.keys().nth(usize::from(number) % expected.len().max(1)).copied();
            match *step {
                Step::Open { owner: number, announced } => {
                    let announced = announced.map(|bytes| bytes as usize);
                    let id = memory.open(owner(&(number % 3).to_string()), announced, now);
                    assert_eq!(expected.insert(id, Expected::default()), None, "an id is used again");
                }
                Step::Grow { body, bytes, passed_ms } => {
                    let Some(id) = nth(body).filter(|id| !expected[id].is_complete) else { continue };
                    now = now + Duration::from_millis(passed_ms.into());
                    let growth = memory.grow(id, bytes.into(), now);
                    for evicted in growth.evicted {
                        assert_ne!(evicted, id);
                        assert_eq!(expected.remove(&evicted).map(|body| body.is_complete), Some(false));
                    }
                    if growth.is_granted {
                        memory.record_progress(id, now);
                        let body = expected.entry(id).or_default();
                        body.bytes += usize::from(bytes);
                    }
                }
                Step::Wait { body } => {
                    let Some(id) = nth(body).filter(|id| expected[id].buffer_bytes == 0) else { continue };
                    if expected[&id].is_complete {
                        continue;
                    }
                    let growth = memory.wait_for_rest(id, now);
                    for evicted in growth.evicted {
                        assert_eq!(expected.remove(&evicted).map(|body| body.is_complete), Some(false));
                    }
                    if growth.is_granted {
                        expected.entry(id).or_default().buffer_bytes = ARRIVAL_BUFFER_BYTES;
                    }
                }
                Step::Complete { body, omitted } => {
                    let Some(id) = nth(body).filter(|id| !expected[id].is_complete) else { continue };
                    let left = expected[&id].bytes.saturating_sub(omitted.into());
                    memory.complete(id, left);
                    expected.insert(id, Expected { bytes: left, buffer_bytes: 0, is_complete: true });
                }
                Step::Close { body } => {
                    let Some(id) = nth(body) else { continue };
                    memory.close(id);
                    expected.remove(&id);
                }
            }
            let held: usize = expected.values().map(|body| body.bytes + body.buffer_bytes).sum();
            assert_eq!(memory.held_bytes(), held);
            assert_eq!(memory.bodies(), expected.len());
            assert!(held <= ROOMS.small_bytes + ROOMS.large_bytes, "{held} bytes are held");
        }
        expected.keys().for_each(|id| memory.close(*id));
        assert_eq!(memory.held_bytes(), 0);
    });
}
