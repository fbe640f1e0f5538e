//! Reads the cache event feeds that this node owns, and closes their gaps by snapshots.
//!
//! What is read becomes belief at once. Nothing here is needed for a right answer: without feeds the
//! router goes on by what answers say.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use paddlemount_core::{feed_owners, routing::RouterEvent};
use paddlemount_protocol::{
    engine::{CacheEventBatch, CacheSnapshot},
    identity::{EngineId, EventSequence, Incarnation},
    time::Timestamp,
};
use tokio::task::{AbortHandle, JoinSet};

use crate::{client::ClientError, state::NodeState};

/// Every node reads every feed of its region where there are at most so many engines: the hit rate gains by it,
/// and a small fleet's feeds are small.
pub const MAX_ENGINES_FOLLOWED_BY_ALL: usize = 32;

/// Time between two checks of ownership.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long an engine may wait for an event before it answers.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a read, so that a busy feed is read in batches.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two snapshots of one engine at least: a feed that loses much must not turn into snapshots alone.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);
/// Blocks of one page of a snapshot.
const SNAPSHOT_PAGE_BLOCKS: usize = 4_096;

/// Starts and stops readers as ownership changes; never returns.
pub async fn run(state: Arc<NodeState>) {
    let mut ticks = tokio::time::interval(OWNERSHIP_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    let mut readers: BTreeMap<EngineId, AbortHandle> = BTreeMap::new();
    loop {
        ticks.tick().await;
        let owned = owned_engines(&state);
        readers.retain(|engine, reader| {
            let keep = owned.contains(engine);
            if !keep {
                reader.abort();
            }
            keep
        });
        for engine in owned {
            readers
                .entry(engine.clone())
                .or_insert_with(|| tasks.spawn(Reader::new(Arc::clone(&state), engine).run()));
        }
        while tasks.try_join_next().is_some() {}
    }
}

fn owned_engines(state: &NodeState) -> BTreeSet<EngineId> {
    let region = &state.settings.region;
    let mut engines = state.directory.engines();
    engines.retain(|(_, entry)| entry.region == *region);
    let few = engines.len() <= MAX_ENGINES_FOLLOWED_BY_ALL;
    let names = engines.into_iter().map(|(engine, _)| engine);
    state.peers.inspect(|peers, _| {
        names.filter(|engine| few || feed_owners::owns(peers.members(), engine)).collect()
    })
}

/// Reads one engine's feed.
struct Reader {
    state: Arc<NodeState>,
    engine: EngineId,
    incarnation: Incarnation,
    after: EventSequence,
    next_snapshot_at: Timestamp,
}

impl Reader {
    fn new(state: Arc<NodeState>, engine: EngineId) -> Self {
        let (incarnation, after) = (Incarnation(0), EventSequence(0));
        Self { state, engine, incarnation, after, next_snapshot_at: Timestamp::ZERO }
    }

    async fn run(mut self) {
        loop {
            let pause = match self.read().await {
                Ok(()) => READ_INTERVAL,
                Err(error) => {
                    log::debug!("feed of {}: {error}", self.engine);
                    RETRY_INTERVAL
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn read(&mut self) -> Result<(), ClientError> {
        let Some(entry) = self.state.directory.engine(&self.engine) else { return Ok(()) };
        let path = format!("/events?after={}&wait_ms={}", self.after, MAX_EVENT_WAIT.as_millis());
        let batch: CacheEventBatch = self.state.client.get_json(entry.address, &path, READ_TIMEOUT).await?;
        if batch.incarnation != self.incarnation && self.after != EventSequence(0) {
            // The position belongs to the life before; the new life's feed is read from its start.
            (self.incarnation, self.after) = (batch.incarnation, EventSequence(0));
            return Ok(());
        }
        self.incarnation = batch.incarnation;
        self.after = batch.last;
        self.apply(RouterEvent::Feed { engine: &self.engine, batch: &batch });
        self.close_gap().await
    }

    async fn close_gap(&mut self) -> Result<(), ClientError> {
        let now = self.state.clock.now();
        let has_gap = self.state.with_router(|router| router.needs_resync().contains(&self.engine));
        if !has_gap || now < self.next_snapshot_at {
            return Ok(());
        }
        self.next_snapshot_at = now + MIN_SNAPSHOT_INTERVAL;
        let Some(entry) = self.state.directory.engine(&self.engine) else { return Ok(()) };
        let mut path = format!("/snapshot?limit={SNAPSHOT_PAGE_BLOCKS}");
        loop {
            let page: CacheSnapshot = self.state.client.get_json(entry.address, &path, READ_TIMEOUT).await?;
            self.apply(RouterEvent::Snapshot { engine: &self.engine, snapshot: &page });
            match page.blocks.last() {
                Some(last) if page.more => {
                    path = format!("/snapshot?limit={SNAPSHOT_PAGE_BLOCKS}&after={last}")
                }
                _ => return Ok(()),
            }
        }
    }

    fn apply(&self, event: RouterEvent<'_>) {
        let now = self.state.clock.now();
        self.state.with_router(|router| router.apply(event, now));
    }
}
