//! Keeps the bodies of callers' requests in memory, within the bounds of [`CallerMemory`].

use std::{
    collections::BTreeMap,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Poll,
};

use bytes::{Bytes, BytesMut};
use paddlemount_core::caller_memory::{BodyId, CallerMemory, Growth, Owner, Rooms};
use paddlemount_protocol::time::Timestamp;
use tokio::sync::Notify;

/// A body is kept in segments of this size while it arrives. The allocator reuses segments of one size for any body.
const SEGMENT_BYTES: usize = 16 << 10;
/// The first segment of a body whose caller states no length.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// A body up to this size usually comes with its head, in the server's first read.
const FIRST_READ_BYTES: usize = 8 << 10;

/// The body gave way to others, or there is no room for it. Its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this node has no memory for the body")]
pub struct NoMemory;

/// What the bodies of a process hold, and what became of others, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyUsage {
    pub held_bytes: usize,
    /// Bodies for which there was no room.
    pub refused: u64,
    /// Bodies that gave way while they arrived.
    pub evicted: u64,
}

/// All bodies of a process; clones share them.
#[derive(Clone, Debug)]
pub struct RequestBodies(Arc<Mutex<Bodies>>);

#[derive(Debug)]
struct Bodies {
    memory: CallerMemory,
    arriving: BTreeMap<BodyId, ReceivedPart>,
    refused: u64,
    evicted: u64,
}

/// The part of a body that has arrived.
#[derive(Debug)]
struct ReceivedPart {
    segments: Vec<BytesMut>,
    /// The size of the next segment.
    next_segment_bytes: usize,
    /// Notified when the body has given way.
    evicted: Arc<Notify>,
}

impl RequestBodies {
    /// The bodies of a process, none so far.
    pub fn new(rooms: Rooms) -> Self {
        let memory = CallerMemory::new(rooms);
        Self(Arc::new(Mutex::new(Bodies { memory, arriving: BTreeMap::new(), refused: 0, evicted: 0 })))
    }

    /// Replaces the rooms. Bodies that no longer fit stay.
    pub fn set_rooms(&self, rooms: Rooms) {
        self.lock().memory.set_rooms(rooms);
    }

    /// The size in bytes of the largest body that can be held.
    pub fn max_body_bytes(&self) -> usize {
        self.lock().memory.max_body_bytes()
    }

    /// What the bodies hold.
    pub fn usage(&self) -> BodyUsage {
        let bodies = self.lock();
        BodyUsage { held_bytes: bodies.memory.held_bytes(), refused: bodies.refused, evicted: bodies.evicted }
    }

    /// Begins to receive a body; `announced_bytes` is its length if the caller states it.
    pub fn begin(&self, owner: Owner, announced_bytes: Option<usize>, now: Timestamp) -> ArrivingBody {
        let evicted = Arc::new(Notify::new());
        let next_segment_bytes =
            announced_bytes.map_or(FIRST_SEGMENT_BYTES, |bytes| bytes.clamp(1, SEGMENT_BYTES));
        let received =
            ReceivedPart { segments: Vec::new(), next_segment_bytes, evicted: Arc::clone(&evicted) };
        let may_come_with_head = announced_bytes.is_some_and(|bytes| bytes <= FIRST_READ_BYTES);
        let mut bodies = self.lock();
        let id = bodies.memory.open(owner, announced_bytes, now);
        bodies.arriving.insert(id, received);
        drop(bodies);
        let account = BodyAccount { bodies: self.clone(), id };
        ArrivingBody { account, evicted, may_come_with_head, is_waited_for: false }
    }

    fn lock(&self) -> MutexGuard<'_, Bodies> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bodies {
    /// Appends bytes to a body.
    fn push(&mut self, id: BodyId, mut data: &[u8], now: Timestamp) -> Result<(), NoMemory> {
        self.memory.record_progress(id, now);
        while !data.is_empty() {
            let Some(body) = self.arriving.get_mut(&id) else { return Err(NoMemory) };
            let free = body.segments.last().map_or(0, |segment| segment.capacity() - segment.len());
            if free == 0 {
                let bytes = body.next_segment_bytes;
                self.add_segment(id, bytes, now)?;
                continue;
            }
            let (fitting, rest) = data.split_at(free.min(data.len()));
            if let Some(segment) = body.segments.last_mut() {
                segment.extend_from_slice(fitting);
            }
            data = rest;
        }
        Ok(())
    }

    fn add_segment(&mut self, id: BodyId, bytes: usize, now: Timestamp) -> Result<(), NoMemory> {
        let growth = self.memory.grow(id, bytes, now);
        self.apply(growth)?;
        let body = self.arriving.get_mut(&id).ok_or(NoMemory)?;
        body.segments.push(BytesMut::with_capacity(bytes));
        body.next_segment_bytes = SEGMENT_BYTES;
        Ok(())
    }

    /// Accounts for the buffers of a connection on which the rest of a body is waited for.
    fn wait_for_rest(&mut self, id: BodyId, now: Timestamp) -> Result<(), NoMemory> {
        let growth = self.memory.wait_for_rest(id, now);
        self.apply(growth)
    }

    /// Frees the bodies that give way to a growth, granted or not.
    fn apply(&mut self, Growth { is_granted, evicted }: Growth) -> Result<(), NoMemory> {
        for other in evicted {
            self.evicted += 1;
            if let Some(body) = self.arriving.remove(&other) {
                body.evicted.notify_one();
            }
        }
        if is_granted {
            return Ok(());
        }
        self.refused += 1;
        Err(NoMemory)
    }

    /// Takes a complete body.
    fn complete(&mut self, id: BodyId) -> Result<BytesMut, NoMemory> {
        let ReceivedPart { mut segments, .. } = self.arriving.remove(&id).ok_or(NoMemory)?;
        let body = if segments.len() == 1 { segments.remove(0) } else { join(segments) };
        self.memory.complete(id, body.capacity());
        Ok(body)
    }
}

/// Joins segments in memory of their exact size, and frees each once it is copied.
fn join(segments: Vec<BytesMut>) -> BytesMut {
    let mut body = BytesMut::with_capacity(segments.iter().map(BytesMut::len).sum());
    segments.into_iter().for_each(|segment| body.extend_from_slice(&segment));
    body
}

/// A body that is being received. Dropping it frees its memory.
#[derive(Debug)]
pub struct ArrivingBody {
    account: BodyAccount,
    evicted: Arc<Notify>,
    may_come_with_head: bool,
    is_waited_for: bool,
}

impl ArrivingBody {
    /// Receives the next piece from `next`.
    ///
    /// # Errors
    ///
    /// If the body has given way to others, or its rest has not come with its head and there is no memory to wait for it.
    pub async fn receive<T>(
        &mut self,
        next: impl Future<Output = T>,
        now: impl Fn() -> Timestamp,
    ) -> Result<T, NoMemory> {
        let mut next = pin!(next);
        if self.may_come_with_head {
            // The server hands out what it has read of the body in its next turn.
            tokio::select! {
                biased;
                piece = next.as_mut() => return Ok(piece),
                () = tokio::task::yield_now() => {}
            }
            if let Poll::Ready(piece) = futures_util::poll!(next.as_mut()) {
                return Ok(piece);
            }
            self.may_come_with_head = false;
        }
        self.wait_for_rest(now())?;
        tokio::select! {
            piece = next => Ok(piece),
            () = self.evicted.notified() => Err(NoMemory),
        }
    }

    fn wait_for_rest(&mut self, now: Timestamp) -> Result<(), NoMemory> {
        if !self.is_waited_for {
            self.account.bodies.lock().wait_for_rest(self.account.id, now)?;
            self.is_waited_for = true;
        }
        Ok(())
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// If there is no memory for them, or the body has given way to others. What it held may be free already.
    pub fn push(&mut self, data: &[u8], now: Timestamp) -> Result<(), NoMemory> {
        self.account.bodies.lock().push(self.account.id, data, now)
    }

    /// The complete body. It counts until all clones of it have been dropped.
    ///
    /// # Errors
    ///
    /// If the body has given way to others.
    pub fn finish(self) -> Result<Bytes, NoMemory> {
        let bytes = self.account.bodies.lock().complete(self.account.id)?;
        Ok(Bytes::from_owner(HeldBody { bytes, _account: self.account }))
    }

    /// Parses the complete body. What is parsed takes its place in memory, and counts as much as the body until the
    /// account is dropped.
    ///
    /// # Errors
    ///
    /// If the body has given way to others.
    pub fn finish_with<T>(self, parse: impl FnOnce(&[u8]) -> T) -> Result<(T, BodyAccount), NoMemory> {
        let bytes = self.account.bodies.lock().complete(self.account.id)?;
        Ok((parse(&bytes), self.account))
    }
}

/// The account of a body, closed when dropped.
#[derive(Debug)]
pub struct BodyAccount {
    bodies: RequestBodies,
    id: BodyId,
}

impl Drop for BodyAccount {
    fn drop(&mut self) {
        let mut bodies = self.bodies.lock();
        bodies.memory.close(self.id);
        bodies.arriving.remove(&self.id);
    }
}

struct HeldBody {
    bytes: BytesMut,
    _account: BodyAccount,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
