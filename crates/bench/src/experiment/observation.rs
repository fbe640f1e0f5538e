//! What nodes observe of engines besides answers: statuses, event feeds and snapshots.

use std::time::Duration;

use paddlemount_core::routing::RouterEvent;
use paddlemount_protocol::{
    engine::{CacheEventBatch, CacheSnapshot, EngineStatus, LoadReport},
    identity::EventSequence,
    time::Timestamp,
};

use super::{
    cluster::{Cluster, milliseconds},
    event::Event,
    nodes::FeedPosition,
};

/// Maximum number of events in one read.
const MAX_FEED_EVENTS: usize = 4_096;

/// Blocks per page of a snapshot.
const SNAPSHOT_PAGE_BLOCKS: usize = 4_096;

impl Cluster<'_> {
    /// Schedules the periodic polls of all nodes, spread over their intervals.
    pub(super) fn schedule_observation(&mut self) {
        let status_interval = milliseconds(self.scenario.reports.status_interval_ms);
        let feed_interval = milliseconds(self.scenario.reports.feed_interval_ms);
        let (nodes, engines) = (self.nodes.len(), self.engines.len());
        for node in 0..nodes {
            self.request_all_statuses(node);
            for engine in 0..engines {
                let phase = (node * engines + engine) as f64 / (nodes * engines) as f64;
                let request = Event::RequestStatus { node, engine, recurring: true };
                self.queue.schedule_after(status_interval.mul_f64(phase), request);
                if self.reads_feed(node, engine) {
                    self.nodes[node].feeds.insert(engine, FeedPosition::default());
                    let read = Event::ReadFeed { node, engine };
                    self.queue.schedule_after(feed_interval.mul_f64(phase), read);
                }
            }
        }
    }

    fn reads_feed(&self, node: usize, engine: usize) -> bool {
        let nodes = self.nodes.len();
        let turn = (node + nodes - engine % nodes) % nodes;
        turn < self.scenario.reports.feed_readers
    }

    /// Requests the status of all engines at once.
    pub(super) fn request_all_statuses(&mut self, node: usize) {
        for engine in 0..self.engines.len() {
            self.queue
                .schedule_after(Duration::ZERO, Event::RequestStatus { node, engine, recurring: false });
        }
    }

    /// Handles a status request at an engine.
    pub(super) fn request_status(&mut self, node: usize, engine: usize, recurring: bool, now: Timestamp) {
        if recurring {
            let interval = milliseconds(self.scenario.reports.status_interval_ms);
            self.queue.schedule_after(interval, Event::RequestStatus { node, engine, recurring });
        }
        let Some(delay) = self.delay_to_node(node, engine) else { return };
        let model = &self.engines[engine].model;
        let event = if model.is_up() {
            Event::StatusArrives { node, status: Box::new(model.status(now)) }
        } else {
            Event::EngineUnresponsive { node, engine }
        };
        self.queue.schedule_after(delay, event);
    }

    fn delay_to_node(&mut self, node: usize, engine: usize) -> Option<Duration> {
        self.links.transmit(self.engines[engine].endpoint, self.nodes[node].endpoint)
    }

    /// Handles a status at a node.
    pub(super) fn handle_status(&mut self, node: usize, status: &EngineStatus, now: Timestamp) {
        self.observe(node, RouterEvent::Status(status), now);
        let responsive = RouterEvent::Draining { engine: &status.engine, draining: false };
        self.observe(node, responsive, now);
    }

    /// Stops a node from sending to an engine until the engine answers a status request.
    pub(super) fn mark_unresponsive(&mut self, node: usize, engine: usize, now: Timestamp) {
        let id = self.engines[engine].id.clone();
        self.observe(node, RouterEvent::Draining { engine: &id, draining: true }, now);
    }

    /// Handles a read of an engine's feed.
    pub(super) fn read_feed(&mut self, node: usize, engine: usize, now: Timestamp) {
        let interval = milliseconds(self.scenario.reports.feed_interval_ms);
        self.queue.schedule_after(interval, Event::ReadFeed { node, engine });
        let Some(position) = self.nodes[node].feeds.get(&engine).copied() else { return };
        let model = &self.engines[engine].model;
        if !model.is_up() {
            return;
        }
        let same_incarnation = model.incarnation() == position.incarnation;
        let after = if same_incarnation { position.after } else { EventSequence(0) };
        let batch = model.cache_events(after, MAX_FEED_EVENTS, now);
        if same_incarnation && batch.last == position.after {
            return;
        }
        let Some(delay) = self.delay_to_node(node, engine) else { return };
        self.queue.schedule_after(delay, Event::FeedArrives { node, engine, batch: Box::new(batch) });
    }

    /// Handles a batch of a feed at a node.
    pub(super) fn handle_feed(
        &mut self,
        node: usize,
        engine: usize,
        batch: &CacheEventBatch,
        now: Timestamp,
    ) {
        if let Some(position) = self.nodes[node].feeds.get_mut(&engine) {
            position.incarnation = batch.incarnation;
            position.after = batch.last;
        }
        let id = self.engines[engine].id.clone();
        self.observe(node, RouterEvent::Feed { engine: &id, batch }, now);
        self.resynchronise(node, now);
    }

    fn resynchronise(&mut self, node: usize, now: Timestamp) {
        let policy = self.policy_of(node);
        for id in self.policies[policy].engines_to_resynchronise() {
            let Some(engine) = self.engine_positions.get(&id).copied() else { continue };
            let interval = milliseconds(self.scenario.reports.snapshot_interval_ms);
            let Some(position) = self.nodes[node].feeds.get_mut(&engine) else { continue };
            if now >= position.next_snapshot_at && self.engines[engine].model.is_up() {
                position.next_snapshot_at = now + interval;
                self.send_snapshot(node, engine);
            }
        }
    }

    /// Sends all pages of one snapshot in order.
    fn send_snapshot(&mut self, node: usize, engine: usize) {
        let Some(delay) = self.delay_to_node(node, engine) else { return };
        let mut after = None;
        loop {
            let page = self.engines[engine].model.snapshot(after, SNAPSHOT_PAGE_BLOCKS);
            after = page.blocks.last().copied();
            let more = page.more;
            let event = Event::SnapshotArrives { node, engine, page: Box::new(page) };
            self.queue.schedule_after(delay * 2, event);
            if !more {
                return;
            }
        }
    }

    /// Handles a page of a snapshot at a node.
    pub(super) fn handle_snapshot(
        &mut self,
        node: usize,
        engine: usize,
        page: &CacheSnapshot,
        now: Timestamp,
    ) {
        let id = self.engines[engine].id.clone();
        self.observe(node, RouterEvent::Snapshot { engine: &id, snapshot: page }, now);
    }

    /// Updates the oracle with the current state of all caches and queues.
    pub(super) fn update_oracle(&mut self, now: Timestamp) {
        for engine in 0..self.engines.len() {
            let id = self.engines[engine].id.clone();
            let up = self.engines[engine].model.is_up();
            if up {
                let status = self.exact_status(engine, now);
                self.policies[0].observe(RouterEvent::Status(&status), now);
                self.update_oracle_cache(engine, now);
            }
            self.policies[0].observe(RouterEvent::Draining { engine: &id, draining: !up }, now);
        }
    }

    fn exact_status(&self, engine: usize, now: Timestamp) -> EngineStatus {
        let state = &self.engines[engine];
        let current = state.model.current_load(now);
        let in_flight_tokens: u32 = state.in_flight.iter().map(|it| it.missing_tokens).sum();
        let load = LoadReport {
            waiting: current.waiting + state.in_flight.len() as u32,
            queued_prefill_tokens: current.queued_prefill_tokens + in_flight_tokens,
            ..current
        };
        EngineStatus { load, ..state.model.status(now) }
    }

    fn update_oracle_cache(&mut self, engine: usize, now: Timestamp) {
        let state = &self.engines[engine];
        let position = self.nodes[0].feeds.entry(engine).or_default();
        if position.incarnation != state.model.incarnation() {
            *position = FeedPosition { incarnation: state.model.incarnation(), ..FeedPosition::default() };
        }
        let batch = state.model.cache_events(position.after, usize::MAX, now);
        if batch.last != position.after {
            position.after = batch.last;
            self.policies[0].observe(RouterEvent::Feed { engine: &state.id, batch: &batch }, now);
        }
    }
}
