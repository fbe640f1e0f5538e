//! Follows the feeds in which engines and cache stores report their cached segments.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use paddlemount_core::forwarding::{
    backends::{BackendId, BackendState},
    feed_selection::{followed_feeds, should_follow_feeds},
};
use paddlemount_protocol::fleet::CachedSegmentUpdate;

use crate::{
    calls::Client,
    journal::Event,
    node::Node,
    ports::{CacheFeedPage, FeedAnswer},
};

/// How long a call waits for entries.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer may take beyond that.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The minimum interval between calls, in which entries accumulate.
const POLL_INTERVAL: Duration = Duration::from_millis(140);
/// The interval at which the feeds to follow are selected.
const SELECTION_INTERVAL: Duration = Duration::from_millis(300);
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// The pause if a feed has too many readers.
const TOO_MANY_READERS_PAUSE: Duration = Duration::from_secs(5);
/// The incarnation of a process that has not answered yet.
const NO_INCARNATION: u64 = 0;

/// Follows the feeds of engines and cache stores for the lifetime of the process.
pub async fn run(node: Rc<Node>) {
    let feeds: Rc<RefCell<Feeds>> = Rc::default();
    loop {
        feeds.borrow_mut().select(&node);
        let new: Vec<Source> = feeds.borrow().wanted.difference(&feeds.borrow().followed).cloned().collect();
        for source in new {
            feeds.borrow_mut().followed.insert(source.clone());
            let (node, feeds) = (Rc::clone(&node), Rc::clone(&feeds));
            tokio::task::spawn_local(async move {
                follow(node, &source, &feeds).await;
                feeds.borrow_mut().followed.remove(&source);
            });
        }
        // After a start, each moment without feeds causes avoidable prefills.
        let _ = tokio::time::timeout(SELECTION_INTERVAL, node.feeds_known.notified()).await;
    }
}

/// The id and address of a feed's process.
type Source = (BackendId, SocketAddr);

/// The feeds of this node. The selection iterates over all engines, so it is repeated only after the engines
/// or the number of nodes have changed.
#[derive(Default)]
struct Feeds {
    all: BTreeMap<BackendId, SocketAddr>,
    nodes: Option<u32>,
    wanted: BTreeSet<Source>,
    followed: BTreeSet<Source>,
    /// Whether to follow engines' feeds; `None` before the first selection.
    include_engines: Option<bool>,
}

impl Feeds {
    /// Selects the feeds to follow.
    fn select(&mut self, node: &Node) {
        let include_engines = should_follow_engines(node, self.include_engines);
        self.include_engines = Some(include_engines);
        let all = sources(node, include_engines);
        let Some(peers) = &node.peers else {
            self.wanted = all.into_iter().collect();
            return;
        };
        let nodes = node.nodes().known();
        if all == self.all && nodes == self.nodes {
            return;
        }
        let local_node = peers.borrow().fleet.local_member().node.clone();
        let followed = followed_feeds(&local_node, nodes, all.keys());
        self.wanted = followed.into_iter().filter_map(|id| Some((id.clone(), *all.get(id)?))).collect();
        self.nodes = nodes;
        self.all = all;
    }
}

/// Whether to follow the feeds of engines, given whether they were followed `before`. On the first start of a
/// fleet engines have nothing cached; a node that starts alone has missed their reports.
fn should_follow_engines(node: &Node, before: Option<bool>) -> bool {
    let before = before.unwrap_or(!node.settings().first_start);
    let nodes = node.nodes().known().unwrap_or(1);
    let now = node.now();
    let state = node.state.borrow();
    let own = state.chooser.prefixes.prompt_tokens_per_second(now);
    should_follow_feeds(own * f64::from(nodes), state.cache_capacity(), before)
}

/// The engines, if included, and the cache stores.
fn sources(node: &Node, include_engines: bool) -> BTreeMap<BackendId, SocketAddr> {
    let state = node.state.borrow();
    let stores = state.stores().map(|store| (store.id, store.address));
    if !include_engines {
        return stores.collect();
    }
    let engines = state
        .backends
        .iter()
        .filter(|backend| backend.state != BackendState::Replaced && !backend.entry.weights.is_empty());
    stores.chain(engines.map(|backend| (backend.entry.id.clone(), backend.entry.address))).collect()
}

/// Follows one feed while it is selected.
async fn follow(node: Rc<Node>, source: &Source, feeds: &RefCell<Feeds>) {
    let client = Client::new(source.1, node.clock)
        .with_source(node.settings().source_address)
        .with_memory(&node.call_memory);
    let mut feed = Feed {
        node,
        backend: source.0.clone(),
        client,
        incarnation: NO_INCARNATION,
        next: 0,
        is_followed: false,
    };
    while feeds.borrow().wanted.contains(source) {
        let pause = if feed.incarnation == NO_INCARNATION { feed.list().await } else { feed.poll().await };
        tokio::time::sleep(pause).await;
    }
}

struct Feed {
    node: Rc<Node>,
    backend: BackendId,
    client: Client,
    incarnation: u64,
    next: u64,
    is_followed: bool,
}

impl Feed {
    async fn poll(&mut self) -> Duration {
        let request = self.node.platform.feed_request(self.next, POLL_WAIT);
        let target = self.node.process_of(&self.backend);
        let mut requested_back_off = None;
        let answer = match self.client.call(request, POLL_WAIT + CALL_TIMEOUT).await {
            Ok(answer) => {
                requested_back_off = self.node.observe_call(&target, &answer, false);
                self.node.platform.feed_answer(&answer).map_err(|error| error.to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        match answer {
            Ok(FeedAnswer::Page(page)) => self.apply_page(page).await,
            Ok(FeedAnswer::TooManyReaders) => {
                self.record_status(false, "too many readers".into());
                let usual = || TOO_MANY_READERS_PAUSE.mul_f64(0.5 + rand::random::<f64>());
                requested_back_off.map_or_else(usual, |back_off| back_off.max(RETRY_PAUSE))
            }
            Err(problem) => {
                self.record_status(false, problem);
                requested_back_off.map_or(RETRY_PAUSE, |back_off| back_off.max(RETRY_PAUSE))
            }
        }
    }

    async fn apply_page(&mut self, page: CacheFeedPage) -> Duration {
        let first = self.incarnation == NO_INCARNATION;
        let restarted = page.incarnation != self.incarnation;
        self.record_status(true, String::new());
        if restarted && !first {
            self.node.state.borrow_mut().chooser.prefixes.forget(&self.backend);
        }
        if page.gap || (restarted && !first) {
            return self.list().await;
        }
        self.incarnation = page.incarnation;
        self.next = page.next;
        self.apply_segments(&page);
        POLL_INTERVAL
    }

    /// Lists all cached segments again after entries were lost.
    async fn list(&mut self) -> Duration {
        let answer = self.client.call(self.node.platform.cache_list_request(), CALL_TIMEOUT).await;
        let page = answer.ok().and_then(|answer| self.node.platform.cache_list_answer(&answer).ok());
        let Some(page) = page else { return RETRY_PAUSE };
        self.node.state.borrow_mut().chooser.prefixes.forget(&self.backend);
        self.incarnation = page.incarnation;
        self.next = page.next;
        self.apply_segments(&page);
        POLL_INTERVAL
    }

    fn apply_segments(&self, page: &CacheFeedPage) {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let prefixes = &state.chooser.prefixes;
        let evicted = page.segments.iter().filter(|segment| {
            segment.tokens == 0 && prefixes.is_gossiped(&self.backend, segment.scope, segment.segment)
        });
        let updates = evicted.map(|segment| CachedSegmentUpdate {
            engine: self.backend.clone(),
            scope: segment.scope.0,
            segment: segment.segment.0,
            tokens: 0,
        });
        let updates = updates.collect();
        state.chooser.apply_feed(&self.backend, &page.segments, now);
        drop(state);
        self.node.publish(updates);
    }

    fn record_status(&mut self, is_followed: bool, detail: String) {
        if self.is_followed != is_followed {
            self.is_followed = is_followed;
            let change = if is_followed { "followed" } else { "lost" };
            self.node.journal.log(&Event::FeedChanged { backend: self.backend.as_str(), change, detail });
        }
    }
}
