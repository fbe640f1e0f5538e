//! The background task that drives the timers of limits and admission.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use paddlemount_core::{admission::AdmissionEvent, peers::PeerEvent, retry::RetryCounts};
use paddlemount_protocol::{identity::PoolId, peer::membership::MAX_PIGGYBACK_ITEM_BYTES, time::Timestamp};
use tokio::time::{Instant, MissedTickBehavior};

use super::Inner;
use crate::state::NodeState;

/// Interval between usage reports; must equal the one in
/// [`LimitSettings`](paddlemount_core::limits::LimitSettings).
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Keeps limits, admission and their metrics up to date; never returns.
pub async fn run(state: Arc<NodeState>) {
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut revisions = state.configuration.subscribe();
    let mut published = RetryCounts::default();
    configure(&state);
    loop {
        let due = next_due(&state);
        tokio::select! {
            _ = reports.tick() => {
                report(&state);
                offer(&state);
                publish(&state, &mut published);
            }
            changed = revisions.changed() => {
                if changed.is_err() {
                    return;
                }
                configure(&state);
            }
            () = state.overload.changed.notified() => {}
            () = tokio::time::sleep_until(due) => {
                let now = state.clock.now();
                state.overload.lock().apply(AdmissionEvent::Tick, now);
            }
        }
    }
}

fn next_due(state: &NodeState) -> Instant {
    let now = state.clock.now();
    let tick = state.overload.lock().admission.next_tick();
    let sleep = tick.map_or(MAX_SLEEP, |at: Timestamp| at.saturating_since(now).min(MAX_SLEEP));
    Instant::now() + sleep
}

fn configure(state: &NodeState) {
    let configuration = state.configuration.load();
    let tenants = &configuration.document.configuration.tenants;
    let limited = tenants.iter().map(|(tenant, settings)| (tenant, &settings.quota));
    state.overload.lock().limits.configure(limited, state.clock.now());
}

fn report(state: &NodeState) {
    let now = state.clock.now();
    let nodes: BTreeSet<_> = state.directory.nodes().into_iter().map(|(node, ..)| node).collect();
    let others = nodes.iter().filter(|node| **node != state.settings.node).count();
    let nodes = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
    let inner = &mut *state.overload.lock();
    if inner.capacity.set_nodes(nodes) {
        inner.limits.set_members(nodes, now);
        inner.apply_capacity(now);
    }
    inner.limits.tick(now);
}

/// Offers the usage reports for the next probes.
fn offer(state: &NodeState) {
    if let Some(item) = state.overload.quota_item(MAX_PIGGYBACK_ITEM_BYTES, state.clock.now()) {
        state.peers.handle_event(state, PeerEvent::Offer(item));
    }
}

fn publish(state: &NodeState, published: &mut RetryCounts) {
    let inner = &*state.overload.lock();
    let views: Vec<_> = pools(inner).iter().filter_map(|pool| inner.admission.view(pool)).collect();
    let gauge = |name, value: f64| state.metrics.gauge(name, &[]).set(value);
    gauge("paddlemount_admission_limit", views.iter().map(|view| f64::from(view.limit)).sum());
    gauge("paddlemount_admission_in_flight", views.iter().map(|view| f64::from(view.in_flight)).sum());
    gauge("paddlemount_admission_waiting", views.iter().map(|view| view.waiting as f64).sum());
    let counts = inner.retries.counts();
    gauge("paddlemount_retry_budget", counts.available as f64);
    let retries = |result, now: u64, before: u64| {
        let counter = state.metrics.counter("paddlemount_retries_total", &[("result", result)]);
        counter.increment(now - before);
    };
    retries("granted", counts.retries, published.retries);
    retries("budget_spent", counts.refused, published.refused);
    *published = counts;
    let ejected = state.with_router(|router| {
        pools(inner).iter().map(|pool| router.health().ejected(pool).len()).sum::<usize>()
    });
    gauge("paddlemount_engines_ejected", ejected as f64);
}

fn pools(inner: &Inner) -> Vec<PoolId> {
    inner.capacity.slots().into_keys().collect()
}
