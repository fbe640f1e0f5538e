//! The memory that bodies of callers' requests hold in a process, and which of them gives way when it runs short.
//!
//! A body is held from its first byte until its request has ended. Small bodies have a room of their own, so that a
//! crowd of large ones never shuts ordinary callers out. Bodies that have arrived completely never give way, as a back
//! end may have them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{identity::TenantId, time::Timestamp};

/// The size in bytes up to which a body is small.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// How long a body may arrive without progress before it gives way while its room is short. Longer than a lost packet
/// or a slow link delays a caller.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Each room is this part of the machine's memory. The rest is for the process's state, connections and answers.
const ROOM_PARTS: usize = 6;

/// Identifies a body within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// On whose account a body is held; `None` for callers without a tenant.
pub type Owner = Option<TenantId>;

/// The bytes that bodies may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rooms {
    pub small_bytes: usize,
    pub large_bytes: usize,
}

impl Rooms {
    /// The rooms of a process on a machine with so many bytes of memory.
    pub const fn of_machine(memory_bytes: usize) -> Self {
        Self { small_bytes: memory_bytes / ROOM_PARTS, large_bytes: memory_bytes / ROOM_PARTS }
    }

    const fn bytes(self, class: SizeClass) -> usize {
        match class {
            SizeClass::Small => self.small_bytes,
            SizeClass::Large => self.large_bytes,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SizeClass {
    Small,
    Large,
}

impl SizeClass {
    const fn of(bytes: usize) -> Self {
        if bytes > SMALL_BODY_BYTES { Self::Large } else { Self::Small }
    }
}

#[derive(Clone, Debug)]
struct Body {
    owner: Owner,
    class: SizeClass,
    bytes: usize,
    /// When the latest byte arrived; `None` once the body is complete.
    progressed_at: Option<Timestamp>,
}

/// What follows from a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Growth {
    pub is_granted: bool,
    /// Bodies that gave way. They hold nothing any more, and their requests are to be refused as not run.
    pub evicted: Vec<BodyId>,
}

/// The account of all bodies of a process.
#[derive(Clone, Debug)]
pub struct CallerMemory {
    rooms: Rooms,
    last_id: u64,
    bodies: BTreeMap<BodyId, Body>,
    /// Bodies that still arrive, within a class by the time of their latest byte.
    arriving: BTreeSet<(SizeClass, Timestamp, BodyId)>,
    held: BTreeMap<SizeClass, usize>,
    held_by_owner: BTreeMap<(SizeClass, Owner), usize>,
}

impl CallerMemory {
    /// An account without bodies.
    pub const fn new(rooms: Rooms) -> Self {
        Self {
            rooms,
            last_id: 0,
            bodies: BTreeMap::new(),
            arriving: BTreeSet::new(),
            held: BTreeMap::new(),
            held_by_owner: BTreeMap::new(),
        }
    }

    /// Replaces the rooms. Bodies that no longer fit stay.
    pub const fn set_rooms(&mut self, rooms: Rooms) {
        self.rooms = rooms;
    }

    /// The size in bytes of the largest body that can be held.
    pub const fn max_body_bytes(&self) -> usize {
        self.rooms.large_bytes
    }

    /// The bytes that all bodies hold.
    pub fn held_bytes(&self) -> usize {
        self.held.values().sum()
    }

    /// The number of bodies.
    pub fn bodies(&self) -> usize {
        self.bodies.len()
    }

    /// Opens the account of a body that begins to arrive; `announced_bytes` is its length if the caller states it.
    /// An announcement reserves nothing.
    pub fn open(&mut self, owner: Owner, announced_bytes: Option<usize>, now: Timestamp) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let class = SizeClass::of(announced_bytes.unwrap_or_default());
        self.bodies.insert(id, Body { owner, class, bytes: 0, progressed_at: Some(now) });
        self.arriving.insert((class, now, id));
        id
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, id: BodyId, now: Timestamp) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let Some(before) = body.progressed_at.replace(now) else { return };
        self.arriving.remove(&(body.class, before, id));
        self.arriving.insert((body.class, now, id));
    }

    /// Asks for `bytes` more for a body that arrives. Where room is short, the body that has made no progress for
    /// longest gives way if that is [`STALL_TIMEOUT`] or more, and else the largest one of the owner that holds most,
    /// if it holds more than the owner of this body would.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Timestamp) -> Growth {
        let mut growth = Growth { is_granted: false, evicted: Vec::new() };
        let Some(body) = self.bodies.get(&id) else { return growth };
        let (owner, before) = (body.owner.clone(), body.class);
        let class = before.max(SizeClass::of(body.bytes + bytes));
        let needed = if class == before { bytes } else { body.bytes + bytes };
        while self.held_in(class) + needed > self.rooms.bytes(class) {
            let Some(victim) = self.victim(class, id, &owner, needed, now) else { return growth };
            self.close(victim);
            growth.evicted.push(victim);
        }
        self.reclassify(id, class);
        self.add(id, bytes);
        growth.is_granted = true;
        growth
    }

    /// Records that a body is complete and holds `bytes`, no more than before.
    pub fn complete(&mut self, id: BodyId, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let freed = body.bytes.saturating_sub(bytes);
        if let Some(progressed_at) = body.progressed_at.take() {
            self.arriving.remove(&(body.class, progressed_at, id));
        }
        self.subtract(id, freed);
    }

    /// Closes the account of a body, whose memory is free again.
    pub fn close(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get(&id) else { return };
        let (class, progressed_at, bytes) = (body.class, body.progressed_at, body.bytes);
        if let Some(progressed_at) = progressed_at {
            self.arriving.remove(&(class, progressed_at, id));
        }
        self.subtract(id, bytes);
        self.bodies.remove(&id);
    }

    fn held_in(&self, class: SizeClass) -> usize {
        self.held.get(&class).copied().unwrap_or_default()
    }

    fn held_by(&self, class: SizeClass, owner: &Owner) -> usize {
        self.held_by_owner.get(&(class, owner.clone())).copied().unwrap_or_default()
    }

    /// The body that gives way to `needed` bytes of body `id`.
    fn victim(
        &self,
        class: SizeClass,
        id: BodyId,
        owner: &Owner,
        needed: usize,
        now: Timestamp,
    ) -> Option<BodyId> {
        let arriving = || {
            let in_class = self.arriving.iter().filter(move |(other, ..)| *other == class);
            in_class.filter(move |(_, _, other)| *other != id)
        };
        if let Some((_, progressed_at, stalled)) = arriving().next()
            && now.saturating_since(*progressed_at) >= STALL_TIMEOUT
        {
            return Some(*stalled);
        }
        let own_share = self.held_by(class, owner) + needed;
        let candidates = arriving().filter_map(|(_, _, other)| {
            let body = self.bodies.get(other)?;
            let share = self.held_by(class, &body.owner);
            (body.owner != *owner && share > own_share).then_some((share, body.bytes, *other))
        });
        candidates.max().map(|(_, _, other)| other)
    }

    /// Moves a body that arrives to another room.
    fn reclassify(&mut self, id: BodyId, class: SizeClass) {
        let Some(body) = self.bodies.get(&id) else { return };
        let (before, bytes, progressed_at) = (body.class, body.bytes, body.progressed_at);
        if before == class {
            return;
        }
        self.subtract(id, bytes);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.class = class;
        }
        self.add(id, bytes);
        if let Some(progressed_at) = progressed_at {
            self.arriving.remove(&(before, progressed_at, id));
            self.arriving.insert((class, progressed_at, id));
        }
    }

    fn add(&mut self, id: BodyId, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.bytes += bytes;
        *self.held.entry(body.class).or_default() += bytes;
        *self.held_by_owner.entry((body.class, body.owner.clone())).or_default() += bytes;
    }

    fn subtract(&mut self, id: BodyId, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.bytes -= bytes;
        *self.held.entry(body.class).or_default() -= bytes;
        let key = (body.class, body.owner.clone());
        if let Some(held) = self.held_by_owner.get_mut(&key) {
            *held -= bytes;
            if *held == 0 {
                self.held_by_owner.remove(&key);
            }
        }
    }
}
