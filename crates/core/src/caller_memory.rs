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
/// What a connection has in buffers while the rest of a body is waited for, in bytes. It counts as the body's, so that
/// many bodies of a few bytes are bounded as well.
pub const ARRIVAL_BUFFER_BYTES: usize = 64 << 10;
/// How long a body may arrive without progress before it gives way while its room is short. Longer than a lost packet
/// or a slow link delays a caller.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Each room is this part of the machine's memory. The rest is for the process's state, connections and answers.
const ROOM_PARTS: usize = 6;
/// Small bodies whose callers are waited for leave this part of their room to those that come with their head, as those
/// of ordinary callers do.
const RESERVED_PARTS: usize = 4;

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

    /// What bodies whose callers are waited for may hold of a room.
    const fn bytes_of_waiting(self, class: SizeClass) -> usize {
        match class {
            SizeClass::Small => self.small_bytes - self.small_bytes / RESERVED_PARTS,
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
    /// [`ARRIVAL_BUFFER_BYTES`] while the rest of the body is waited for.
    buffer_bytes: usize,
    /// When the latest byte arrived; `None` once the body is complete.
    progressed_at: Option<Timestamp>,
}

impl Body {
    const fn held_bytes(&self) -> usize {
        self.bytes + self.buffer_bytes
    }

    const fn is_waited_for(&self) -> bool {
        self.buffer_bytes > 0
    }
}

/// What follows from a request for memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Growth {
    pub is_granted: bool,
    /// Bodies that gave way. They hold nothing any more, and their requests are to be refused as not run.
    pub evicted: Vec<BodyId>,
}

/// What a growth takes of a room.
#[derive(Clone, Copy, Debug)]
struct Need {
    class: SizeClass,
    bytes: usize,
    /// The part that counts for a body whose rest is waited for.
    waiting_bytes: usize,
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
    held_waiting: BTreeMap<SizeClass, usize>,
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
            held_waiting: BTreeMap::new(),
            held_by_owner: BTreeMap::new(),
        }
    }

    /// Replaces the rooms. Bodies that no longer fit stay.
    pub const fn set_rooms(&mut self, rooms: Rooms) {
        self.rooms = rooms;
    }

    /// The size in bytes of the largest body that can be held.
    pub const fn max_body_bytes(&self) -> usize {
        self.rooms.large_bytes.saturating_sub(ARRIVAL_BUFFER_BYTES)
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
        self.insert(id, Body { owner, class, bytes: 0, buffer_bytes: 0, progressed_at: Some(now) });
        id
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, id: BodyId, now: Timestamp) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let Some(progressed_at) = &mut body.progressed_at else { return };
        self.arriving.remove(&(body.class, *progressed_at, id));
        *progressed_at = now;
        self.arriving.insert((body.class, now, id));
    }

    /// Asks for `bytes` more for a body that arrives. Where room is short, the body that has made no progress for
    /// longest gives way if that is [`STALL_TIMEOUT`] or more, and else the largest one of the owner that holds most,
    /// if it holds more than the owner of this body would.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Timestamp) -> Growth {
        let Some(body) = self.bodies.get(&id) else { return Growth::default() };
        let class = body.class.max(SizeClass::of(body.bytes + bytes));
        let moved_bytes = if class == body.class { 0 } else { body.held_bytes() };
        let needed = moved_bytes + bytes;
        let waiting_bytes = if body.is_waited_for() { needed } else { 0 };
        let growth = self.make_room(id, Need { class, bytes: needed, waiting_bytes }, now);
        if growth.is_granted {
            self.update(id, |body| {
                body.class = class;
                body.bytes += bytes;
            });
        }
        growth
    }

    /// Asks for the buffers of the connection of a body whose rest has not come with its head, as [`Self::grow`] does.
    pub fn wait_for_rest(&mut self, id: BodyId, now: Timestamp) -> Growth {
        let Some(body) = self.bodies.get(&id).filter(|body| !body.is_waited_for()) else {
            return Growth::default();
        };
        let waiting_bytes = body.bytes + ARRIVAL_BUFFER_BYTES;
        let need = Need { class: body.class, bytes: ARRIVAL_BUFFER_BYTES, waiting_bytes };
        let growth = self.make_room(id, need, now);
        if growth.is_granted {
            self.update(id, |body| body.buffer_bytes = ARRIVAL_BUFFER_BYTES);
        }
        growth
    }

    /// Records that a body is complete and holds `bytes`, no more than before.
    pub fn complete(&mut self, id: BodyId, bytes: usize) {
        self.update(id, |body| {
            body.bytes = body.bytes.min(bytes);
            body.buffer_bytes = 0;
            body.progressed_at = None;
        });
    }

    /// Closes the account of a body, whose memory is free again.
    pub fn close(&mut self, id: BodyId) {
        self.remove(id);
    }

    /// Lets bodies give way to a growth of body `id` until it fits.
    fn make_room(&mut self, id: BodyId, need: Need, now: Timestamp) -> Growth {
        let mut evicted = Vec::new();
        while !self.fits(need) {
            let Some(victim) = self.victim(id, need, now) else {
                return Growth { is_granted: false, evicted };
            };
            self.close(victim);
            evicted.push(victim);
        }
        Growth { is_granted: true, evicted }
    }

    fn fits(&self, Need { class, bytes, waiting_bytes }: Need) -> bool {
        let held = self.held.get(&class).copied().unwrap_or_default();
        let waiting = self.held_waiting.get(&class).copied().unwrap_or_default();
        let fits_waiting =
            waiting_bytes == 0 || waiting + waiting_bytes <= self.rooms.bytes_of_waiting(class);
        fits_waiting && held + bytes <= self.rooms.bytes(class)
    }

    /// The body that gives way to a growth of body `id`.
    fn victim(&self, id: BodyId, need: Need, now: Timestamp) -> Option<BodyId> {
        let arriving = || {
            let in_class = self.arriving.iter().filter(|(class, ..)| *class == need.class);
            in_class.filter(|(_, _, other)| *other != id)
        };
        if let Some((_, progressed_at, stalled)) = arriving().next()
            && now.saturating_since(*progressed_at) >= STALL_TIMEOUT
        {
            return Some(*stalled);
        }
        let owner = &self.bodies.get(&id)?.owner;
        let own_share = self.held_by(need.class, owner) + need.bytes;
        let candidates = arriving().filter_map(|(_, _, other)| {
            let body = self.bodies.get(other)?;
            let share = self.held_by(need.class, &body.owner);
            (body.owner != *owner && share > own_share).then_some((share, body.held_bytes(), *other))
        });
        candidates.max().map(|(_, _, other)| other)
    }

    fn held_by(&self, class: SizeClass, owner: &Owner) -> usize {
        self.held_by_owner.get(&(class, owner.clone())).copied().unwrap_or_default()
    }

    fn update(&mut self, id: BodyId, change: impl FnOnce(&mut Body)) {
        if let Some(mut body) = self.remove(id) {
            change(&mut body);
            self.insert(id, body);
        }
    }

    /// Adds a body to all sums.
    fn insert(&mut self, id: BodyId, body: Body) {
        let bytes = body.held_bytes();
        if let Some(progressed_at) = body.progressed_at {
            self.arriving.insert((body.class, progressed_at, id));
        }
        if body.is_waited_for() {
            *self.held_waiting.entry(body.class).or_default() += bytes;
        }
        *self.held.entry(body.class).or_default() += bytes;
        *self.held_by_owner.entry((body.class, body.owner.clone())).or_default() += bytes;
        self.bodies.insert(id, body);
    }

    /// Takes a body out of all sums.
    fn remove(&mut self, id: BodyId) -> Option<Body> {
        let body = self.bodies.remove(&id)?;
        let bytes = body.held_bytes();
        if let Some(progressed_at) = body.progressed_at {
            self.arriving.remove(&(body.class, progressed_at, id));
        }
        if body.is_waited_for() {
            *self.held_waiting.entry(body.class).or_default() -= bytes;
        }
        *self.held.entry(body.class).or_default() -= bytes;
        let key = (body.class, body.owner.clone());
        if let Some(held) = self.held_by_owner.get_mut(&key) {
            *held -= bytes;
            if *held == 0 {
                self.held_by_owner.remove(&key);
            }
        }
        Some(body)
    }
}
