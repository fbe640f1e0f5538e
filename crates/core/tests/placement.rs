//! Placement leases and orders against a model of fenced engines.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::{
    lease::{LeaseEvent, LeaseHolder, LeaseRequest, LeaseSettings},
    placement::{PlacementAction, PlacementEvent, PlacementSettings, Placer, choose_version, version_counts},
};
use paddlemount_protocol::{
    configuration::Pool,
    engine::{EngineRole, EngineSpeed, EngineStatus, LoadReport, LoadedModel, Order, OrderCommand},
    identity::{
        EngineId, EventSequence, FencingToken, Incarnation, ModelId, NodeId, PoolId, RequestId,
        WeightsVersion, ZoneId,
    },
    platform::LeaseResult,
    refusal::RefusalCode,
    time::Timestamp,
};

const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);
const LOAD_SECONDS: u64 = 10;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn pool() -> Pool {
    serde_json::from_value(serde_json::json!({ "model": "m", "weights": 1 })).expect("the pool is valid JSON")
}

/// Engines that carry out orders at once and take [`LOAD_SECONDS`] per load.
struct Engines {
    engines: BTreeMap<EngineId, Engine>,
    max_loading: usize,
    min_serving: usize,
}

struct Engine {
    status: EngineStatus,
    loads: Option<(WeightsVersion, Timestamp)>,
    accepted: Vec<String>,
}

impl Engines {
    fn new(count: usize) -> Self {
        let engine = |number: usize| {
            let status = EngineStatus {
                engine: EngineId::from(format!("e{number}")),
                incarnation: Incarnation(1),
                pool: PoolId::from("p"),
                zone: ZoneId::from("z"),
                loaded: Some(LoadedModel { model: ModelId::from("m"), weights: OLD, adapters: Vec::new() }),
                loading: false,
                draining: false,
                role: EngineRole::Serving,
                load: LoadReport::default(),
                speed: EngineSpeed {
                    prefill_tokens_per_second: 1.0,
                    decode_step_ms: 1.0,
                    batch_slots: 1,
                    cache_blocks: 1,
                },
                last_event: EventSequence(0),
                fence: FencingToken(0),
            };
            (status.engine.clone(), Engine { status, loads: None, accepted: Vec::new() })
        };
        let engines = (0..count).map(engine).collect();
        Self { engines, max_loading: 0, min_serving: count }
    }

    fn handle_order(&mut self, engine: &EngineId, order: &Order, now: Timestamp) -> Result<(), RefusalCode> {
        let engine = self.engines.get_mut(engine).expect("the ordered engine exists");
        if order.token < engine.status.fence {
            return Err(RefusalCode::Fenced);
        }
        engine.status.fence = order.token;
        if !engine.accepted.contains(&order.id) {
            engine.accepted.push(order.id.clone());
            if let OrderCommand::LoadModel { weights, .. } = order.command {
                engine.load(weights, now);
            }
        }
        Ok(())
    }

    fn advance(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            engine.finish(now);
        }
        let loading = self.engines.values().filter(|engine| engine.status.loading).count();
        self.max_loading = self.max_loading.max(loading);
        self.min_serving = self.min_serving.min(self.engines.len() - loading);
    }

    fn with_version(&self, weights: WeightsVersion) -> usize {
        let loaded =
            |engine: &&Engine| engine.status.loaded.as_ref().is_some_and(|loaded| loaded.weights == weights);
        self.engines.values().filter(loaded).count()
    }
}

impl Engine {
    fn load(&mut self, weights: WeightsVersion, now: Timestamp) {
        if self.status.loaded.as_ref().is_some_and(|loaded| loaded.weights == weights) {
            return;
        }
        self.loads = Some((weights, now + Duration::from_secs(LOAD_SECONDS)));
        self.status.loaded = None;
        self.status.loading = true;
    }

    fn finish(&mut self, now: Timestamp) {
        let Some((weights, done_at)) = self.loads else { return };
        if now >= done_at {
            self.loads = None;
            self.status.loading = false;
            self.status.loaded =
                Some(LoadedModel { model: ModelId::from("m"), weights, adapters: Vec::new() });
        }
    }
}

/// Simulates one second: delivers statuses, then orders and replies if `deliver` is set.
fn second(placer: &mut Placer, engines: &mut Engines, now: Timestamp, deliver: bool) -> Vec<PlacementAction> {
    engines.advance(now);
    let mut actions = Vec::new();
    let statuses: Vec<EngineStatus> = engines.engines.values().map(|engine| engine.status.clone()).collect();
    for status in &statuses {
        actions.extend(placer.handle(PlacementEvent::Status { status, requested_at: now }, now));
    }
    let mut other = Vec::new();
    while let Some(action) = actions.pop() {
        let PlacementAction::Order { engine, order } = &action else {
            other.push(action);
            continue;
        };
        if !deliver {
            other.push(action);
            continue;
        }
        let event = match engines.handle_order(engine, order, now) {
            Ok(()) => PlacementEvent::Accepted { engine, order: &order.id },
            Err(code) => PlacementEvent::Refused { engine, order: &order.id, code },
        };
        actions.extend(placer.handle(event, now));
    }
    other
}

fn placer_with(token: u64, pool: Pool, now: Timestamp) -> Placer {
    let mut placer = Placer::new(PlacementSettings::default());
    let pools = BTreeMap::from([(PoolId::from("p"), pool)]);
    placer.handle(PlacementEvent::Pools(&pools), now);
    placer.handle(PlacementEvent::Lease(Some(FencingToken(token))), now);
    placer
}

#[test]
fn a_rollout_is_gradual_and_completes() {
    let mut engines = Engines::new(12);
    let mut placer = placer_with(1, Pool { rollout: Some(NEW), ..pool() }, at(0));
    let mut complete = None;
    for now in 1..300 {
        let actions = second(&mut placer, &mut engines, at(now), true);
        if now < LOAD_SECONDS + 30 {
            assert!(engines.with_version(NEW) <= 1, "only the canary has the new version");
        }
        if actions.iter().any(|action| matches!(action, PlacementAction::CompleteRollout { .. })) {
            complete = Some(now);
            break;
        }
    }
    assert!(complete.is_some());
    assert_eq!((engines.with_version(NEW), engines.with_version(OLD)), (12, 0));
    assert_eq!((engines.max_loading, engines.min_serving), (2, 10));
}

#[test]
fn half_of_a_small_pool_keeps_serving() {
    let mut engines = Engines::new(3);
    let mut placer = placer_with(1, Pool { rollout: Some(NEW), ..pool() }, at(0));
    for now in 1..200 {
        second(&mut placer, &mut engines, at(now), true);
    }
    assert_eq!(engines.with_version(NEW), 3);
    assert!(engines.min_serving >= 2);
}

#[test]
fn orders_of_a_paused_lease_holder_are_fenced() {
    let mut engines = Engines::new(6);
    let mut paused = placer_with(1, Pool { rollout: Some(NEW), ..pool() }, at(0));
    for now in 1..40 {
        second(&mut paused, &mut engines, at(now), true);
    }
    let undelivered: Vec<_> =
        (40..45).flat_map(|now| second(&mut paused, &mut engines, at(now), false)).collect();
    let mut next = placer_with(2, Pool { rollout: Some(NEW), ..pool() }, at(50));
    for now in 50..55 {
        second(&mut next, &mut engines, at(now), true);
    }
    assert!(!undelivered.is_empty());
    for action in undelivered {
        if let PlacementAction::Order { engine, order } = action {
            assert_eq!(engines.handle_order(&engine, &order, at(55)), Err(RefusalCode::Fenced));
        }
    }
    assert_eq!(second(&mut paused, &mut engines, at(56), true), [PlacementAction::ReleaseLease]);
    for now in 57..300 {
        second(&mut next, &mut engines, at(now), true);
    }
    assert_eq!(engines.with_version(NEW), 6);
    assert!(engines.max_loading <= 2);
}

#[test]
fn an_unfenced_engine_counts_as_loading() {
    let mut placer = placer_with(1, Pool { rollout: Some(NEW), ..pool() }, at(0));
    let mut engines = Engines::new(6);
    let is_load = |action: &PlacementAction| {
        let PlacementAction::Order { order, .. } = action else { return false };
        matches!(order.command, OrderCommand::LoadModel { weights: NEW, .. })
    };
    for now in 1..300 {
        let actions = second(&mut placer, &mut engines, at(now), false);
        assert!(!actions.iter().any(is_load), "second {now}");
    }
}

#[test]
fn an_order_without_a_reply_is_resent_with_the_same_id() {
    let mut engines = Engines::new(1);
    let mut placer = placer_with(1, pool(), at(0));
    let order_of = |actions: Vec<PlacementAction>| match &actions[..] {
        [PlacementAction::Order { order, .. }] => order.clone(),
        other => panic!("{other:?}"),
    };
    let first = order_of(second(&mut placer, &mut engines, at(1), false));
    assert!(second(&mut placer, &mut engines, at(2), false).is_empty());
    assert_eq!(order_of(second(&mut placer, &mut engines, at(6), false)), first);
}

#[test]
fn requests_are_split_by_the_share_of_engines() {
    let pool = Pool { rollout: Some(NEW), ..pool() };
    let mut engines = Engines::new(4);
    let first = engines.engines.values_mut().next().expect("there are four engines");
    first.status.loaded.as_mut().expect("the engine has loaded a model").weights = NEW;
    let statuses: Vec<EngineStatus> = engines.engines.values().map(|engine| engine.status.clone()).collect();
    let counts = version_counts(&PoolId::from("p"), &pool, &statuses);
    assert_eq!((counts.current, counts.next), (3, 1));
    let chosen = |number: u32| choose_version(&pool, counts, &RequestId::from(number.to_string()));
    let new = (0..1_000).filter(|number| chosen(*number) == NEW).count();
    assert!((200..300).contains(&new), "{new}");
    assert_eq!(chosen(1), chosen(1));
}

fn holder() -> LeaseHolder {
    let settings =
        LeaseSettings { name: "placement".into(), holder: NodeId::from("n1"), ttl: Duration::from_secs(9) };
    LeaseHolder::new(settings, at(0))
}

#[test]
fn a_lease_is_renewed_and_its_ttl_counts_from_the_request() {
    let mut holder = holder();
    assert!(matches!(holder.handle(LeaseEvent::Tick, at(0)), Some(LeaseRequest::Acquire(_))));
    assert_eq!(holder.handle(LeaseEvent::Tick, at(1)), None, "one request at a time");
    let held = LeaseResult::Held { token: FencingToken(7), ttl_ms: 9_000 };
    holder.handle(LeaseEvent::Answered(held), at(2));
    assert_eq!(holder.token(at(8)), Some(FencingToken(7)));
    assert_eq!(holder.token(at(9)), None);
    assert!(
        matches!(holder.handle(LeaseEvent::Tick, at(3)), Some(LeaseRequest::Renew(renew)) if renew.token == FencingToken(7))
    );
    holder.handle(LeaseEvent::Answered(LeaseResult::NotHeld), at(3));
    assert_eq!(holder.token(at(3)), None);
}

#[test]
fn a_fenced_or_stopped_holder_issues_nothing() {
    let mut holder = holder();
    holder.handle(LeaseEvent::Tick, at(0));
    holder.handle(LeaseEvent::Answered(LeaseResult::Held { token: FencingToken(7), ttl_ms: 9_000 }), at(0));
    let mut fenced = holder.clone();
    fenced.handle(LeaseEvent::Fenced, at(1));
    assert_eq!(fenced.token(at(1)), None);
    assert!(matches!(holder.handle(LeaseEvent::Stop, at(1)), Some(LeaseRequest::Release(_))));
    assert_eq!(holder.handle(LeaseEvent::Tick, at(100)), None);
}
