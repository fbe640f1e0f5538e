//! Reads the engines' cache event feeds that this node owns, and closes gaps with snapshots.
//!
//! Feeds only improve routing: without them the router relies on what answers report.

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

/// With at most this many engines in the region every node reads every feed, which improves the hit rate.
pub const MAX_ENGINES_FOLLOWED_BY_ALL: usize = 32;

const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long an engine may hold a request until an event occurs.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a read, so that a busy feed is read in batches.
const READ_INTERVAL: Duration = Duration::from_millis(100);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Keeps a feed that loses many events from being read by snapshots alone.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);
const SNAPSHOT_PAGE_BLOCKS: usize = 4_096;

/// Starts and stops feed readers as ownership changes; never returns.
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
    let read_all = engines.len() <= MAX_ENGINES_FOLLOWED_BY_ALL;
    let names = engines.into_iter().map(|(engine, _)| engine);
    state.peers.inspect(|peers, _| {
        names.filter(|engine| read_all || feed_owners::owns(peers.members(), engine)).collect()
    })
}

/// Reads one engine's feed.
struct Reader {
    state: Arc<NodeState>,
    engine: EngineId,
    incarnation: Incarnation,
    /// The last event read.
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
                    log::debug!("cannot read the cache event feed of {}: {error}", self.engine);
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
            // The position belongs to the previous incarnation; the new one's feed is read from its start.
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
