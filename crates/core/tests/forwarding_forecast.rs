//! Forecasts of the time to the first event, and placement by them.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Candidate, Choice, Chooser, Placement},
    forecast::{
        EngineWorkload, Forecaster, Outcome, RequestWork, Timing,
        long_prompts::LongPrompts,
        rates::{RateEstimator, Rates},
        shared::{Forecasters, SharedRates},
        time_to_first_event,
    },
    prompt::{Prompt, Segment, SegmentId},
};
use paddlemount_protocol::{
    fleet::EngineWork,
    identity::{ModelId, NodeId, ServiceId, WeightsVersion, ZoneId},
    time::Timestamp,
};

const TARGET: Duration = Duration::from_millis(800);
const MS: Duration = Duration::from_millis(1);

fn rates() -> Rates {
    Rates { overhead: 20 * MS, per_token: MS / 50, per_running_request: MS }
}

fn timing() -> Timing {
    let long_prompts = LongPrompts { min_tokens: 5_000, share: 0.5, delay: 30 * MS };
    Timing { rates: rates(), target: TARGET, long_prompts }
}

fn prompt(shared: u32, own: u32, subject: u64) -> Prompt {
    let segments = vec![
        Segment { id: SegmentId(subject), tokens: shared },
        Segment { id: SegmentId(1_000_000 + subject), tokens: own },
    ];
    Prompt { model: ModelId::from("m"), prompt_tokens: shared + own, output_tokens: 8, segments }
}

struct Fleet {
    ids: Vec<BackendId>,
    zones: [ZoneId; 3],
}

impl Fleet {
    fn of(engines: usize) -> Self {
        let ids = (0..engines).map(|number| BackendId::from(format!("engine-{number}"))).collect();
        Self { ids, zones: ["a", "b", "c"].map(ZoneId::from) }
    }

    fn pool(&self) -> Vec<Candidate<'_>> {
        let candidate = |(number, id)| Candidate {
            software: None,
            id,
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: &self.zones[number % 3],
            weights: Some(WeightsVersion(1)),
            slots: 16,
            eligible: true,
            outdated: false,
            profile: None,
        };
        self.ids.iter().enumerate().map(candidate).collect()
    }

    fn choose(&self, chooser: &Chooser, prompt: &Prompt, seed: u64, zone: usize) -> Choice {
        let placement = Placement {
            prompt: Some(prompt),
            isolated: None,
            zone: &self.zones[zone],
            seed: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            store: None,
            sample_size: Some(6),
            replicate: false,
            now: Timestamp::ZERO,
            timing: Some(timing()),
            transfers: None,
        };
        chooser.choose(placement, &self.pool()).expect("an engine")
    }
}

fn outcome(tokens: u64, requests: u32, measured: Duration, forecast: Option<Duration>) -> Outcome {
    let workload = EngineWorkload { requests, slots: 16, pending_prefill_tokens: 0 };
    let work = RequestWork { prefill_tokens: tokens, transfer: Duration::ZERO };
    Outcome { workload, work, forecast, measured, target: TARGET }
}

/// Half of the requests wait for up to a second in queues that the node doesn't know of. A forecast that
/// counted this as reading would call every engine late. A tenth of the target is close enough to choose by.
#[test]
fn rates_are_those_of_requests_that_did_not_wait() {
    let mut estimator = RateEstimator::default();
    for number in 0..200_u64 {
        let (tokens, requests) = (if number % 4 < 2 { 400 } else { 16_000 }, (number % 5) as u32);
        let waited = if number % 2 == 0 { Duration::ZERO } else { (number * 5) as u32 * MS };
        let work = RequestWork { prefill_tokens: tokens, transfer: Duration::ZERO };
        let workload = EngineWorkload { requests, slots: 16, pending_prefill_tokens: 0 };
        let alone = time_to_first_event(&rates(), 1.0, workload, work);
        estimator.record(workload, work, alone + waited, Timestamp::from_millis(number * 20));
    }
    let now = Timestamp::from_millis(4_000);
    let fitted = estimator.rates(now).expect("enough outcomes");
    for tokens in [400, 4_000, 16_000] {
        let work = RequestWork { prefill_tokens: tokens, transfer: Duration::ZERO };
        let workload = EngineWorkload { requests: 2, slots: 16, pending_prefill_tokens: 0 };
        let (expected, forecast) = (
            time_to_first_event(&rates(), 1.0, workload, work),
            time_to_first_event(&fitted, 1.0, workload, work),
        );
        assert!(expected.abs_diff(forecast) < TARGET / 10, "{tokens}: {forecast:?}, {expected:?}");
    }
    assert_eq!(estimator.rates(now + Duration::from_secs(120)), None, "outcomes are outdated");
}

/// Forecasts are used after enough of them came true, not while engines stall, and again afterwards.
#[test]
fn forecasts_are_trusted_only_while_they_come_true() {
    let mut forecaster = Forecaster::default();
    let mut now = Timestamp::ZERO;
    let mut play = |forecaster: &mut Forecaster, count: u64, stalled: Duration| {
        for number in 0..count {
            let tokens = if number % 2 == 0 { 300 } else { 4_000 };
            let reading = rates().overhead + rates().reading(tokens);
            now = now + 50 * MS;
            forecaster.record(&outcome(tokens, 0, reading + stalled, Some(reading)), now);
            forecaster.update(TARGET, 72, None, now);
        }
        forecaster.timing(TARGET, now).is_some()
    };
    assert!(!play(&mut forecaster, 20, Duration::ZERO), "too few outcomes");
    assert!(play(&mut forecaster, 100, Duration::ZERO));
    assert!(!play(&mut forecaster, 300, Duration::from_secs(2)), "engines stall");
    assert!(play(&mut forecaster, 400, Duration::ZERO), "the stall is over");
}

/// A long prompt's prefix is read at one engine while that begins in time. With its first engine busy for
/// longer than the target, the second one serves it, and no third one.
#[test]
fn a_long_prompt_leaves_its_engine_only_if_that_is_late() {
    let fleet = Fleet::of(72);
    let mut chooser = Chooser::default();
    let long = prompt(13_300, 3_720, 7);
    let home = fleet.choose(&chooser, &long, 0, 0).backend;
    for seed in 0..200 {
        assert_eq!(fleet.choose(&chooser, &long, seed, seed as usize % 3).backend, home);
    }
    let busy = EngineWork { engine: home.clone(), requests: 6, pending_prefill_tokens: 120_000 };
    chooser.loads.set_others(vec![busy], Timestamp::ZERO);
    let second = fleet.choose(&chooser, &long, 0, 0).backend;
    assert_ne!(second, home);
    for seed in 0..200 {
        assert_eq!(fleet.choose(&chooser, &long, seed, seed as usize % 3).backend, second);
    }
}

/// 75 nodes place short questions by the same outdated loads, in which some engines look idle. None may get
/// more than the sample's multiple of the mean, or those that look best become the worst.
#[test]
fn nodes_with_the_same_outdated_loads_do_not_herd() {
    const REQUESTS: usize = 14_400;
    let fleet = Fleet::of(72);
    let mut chooser = Chooser::default();
    let busy = |(number, id): (usize, &BackendId)| EngineWork {
        engine: id.clone(),
        requests: (number % 12) as u32,
        pending_prefill_tokens: (number % 12) as u64 * 500,
    };
    chooser.loads.set_others(fleet.ids.iter().enumerate().map(busy).collect(), Timestamp::ZERO);
    let short = prompt(92, 291, 3);
    let mut placed: BTreeMap<BackendId, usize> = BTreeMap::new();
    for request in 0..REQUESTS {
        let choice = fleet.choose(&chooser, &short, request as u64, request % 3);
        *placed.entry(choice.backend).or_default() += 1;
    }
    let most = placed.values().max().copied().unwrap_or_default();
    let mean = REQUESTS / 72;
    assert!(most * 10 <= mean * 33, "at most 3 times the mean, and a tenth for the draw: {most} of {mean}");
}

/// Short questions stay in their zone while that answers in time, and leave it if all engines there are late.
#[test]
fn short_prompts_leave_their_zone_only_if_it_is_late() {
    let fleet = Fleet::of(72);
    let mut chooser = Chooser::default();
    let short = prompt(92, 291, 3);
    let pool = fleet.pool();
    let zone_of = |choice: &Choice| {
        pool.iter().find(|candidate| *candidate.id == choice.backend).map(|candidate| candidate.zone.clone())
    };
    let outside = |chooser: &Chooser| {
        let choices = (0..300).map(|seed| fleet.choose(chooser, &short, seed, 0));
        choices.filter(|choice| zone_of(choice) != Some(fleet.zones[0].clone())).count()
    };
    assert_eq!(outside(&chooser), 0);
    let late = fleet.ids.iter().step_by(3).map(|id| EngineWork {
        engine: id.clone(),
        requests: 40,
        pending_prefill_tokens: 160_000,
    });
    chooser.loads.set_others(late.collect(), Timestamp::ZERO);
    assert_eq!(outside(&chooser), 300);
}

/// Engines for long prompts grow at once with the offered work, and shrink slowly when it falls.
#[test]
fn the_share_for_long_prompts_grows_at_once_and_shrinks_slowly() {
    let mut forecaster = Forecaster::default();
    let mut now = Timestamp::ZERO;
    let mut play = |forecaster: &mut Forecaster, seconds: u64, demand: f64| {
        for _ in 0..seconds * 10 {
            now = now + 100 * MS;
            for tokens in [300, 17_000] {
                let measured = rates().overhead + rates().reading(tokens);
                forecaster.record(&outcome(tokens, 0, measured, Some(measured)), now);
            }
            forecaster.update(TARGET / 2, 72, Some(demand), now);
        }
        forecaster.long_prompts().expect("rates").share
    };
    assert!(play(&mut forecaster, 5, 0.0) < f64::EPSILON, "without long prompts, all engines are equal");
    let peak = play(&mut forecaster, 1, 75.0 * 17_000.0);
    assert!((0.5..0.8).contains(&peak), "75 a second are read in 25 engines' time, with head-room: {peak}");
    assert!(play(&mut forecaster, 15, 0.0) >= peak - 0.01, "a pause in the load keeps the engines");
    assert!(play(&mut forecaster, 240, 0.0) < 0.2);
    forecaster.update(TARGET / 2, 72, None, now);
    let unknown = forecaster.long_prompts().map(|long| long.share);
    assert_eq!(unknown, Some(1.0), "all engines, without the demand of all nodes");
}

/// A node of a tree in which nodes 1 to 5 report to the root, and the others to these.
#[derive(Default)]
struct TreeNode {
    forecasters: Forecasters,
    shared: SharedRates,
}

/// The time between reports in milliseconds.
const REPORT_MS: u64 = 200;

fn node_id(index: usize) -> NodeId {
    NodeId::from(format!("node-{index}"))
}

const fn parent_of(index: usize) -> usize {
    if index <= 5 { 0 } else { 1 + index % 5 }
}

/// One round of reports and outcomes. Each node has one outcome of a short prompt, and one in five of a long one
/// or of one that waited for half a second. `connected` tells whose reports reach their parents.
fn play_round(nodes: &mut [TreeNode], round: u64, connected: impl Fn(usize) -> bool) {
    let now = Timestamp::from_millis(round * REPORT_MS);
    for (index, node) in nodes.iter_mut().enumerate() {
        let forecaster = node.forecasters.entry(ServiceId::from("s")).or_default();
        let draw = index as u64 + round;
        let tokens = if draw.is_multiple_of(5) { 16_000 } else { 300 };
        let waited = if draw.is_multiple_of(3) { 500 * MS } else { Duration::ZERO };
        let measured = rates().overhead + rates().reading(tokens) + waited;
        forecaster.record(&outcome(tokens, 0, measured, Some(measured)), now);
        node.shared.tick(index == 0, now);
    }
    for index in (1..nodes.len()).rev().filter(|index| connected(*index)) {
        let child = &mut nodes[index];
        let report = child.shared.report(&child.forecasters, now);
        let parent = &mut nodes[parent_of(index)];
        parent.shared.record_report(node_id(index), report, now);
        let digest = parent.shared.digest_for(&node_id(index), &parent.forecasters, now);
        nodes[index].shared.record_total(digest, now);
    }
    for node in nodes {
        let known = node.shared.known(&node.forecasters, now);
        for forecaster in node.forecasters.values_mut() {
            forecaster.use_shared(known.first(), now);
            forecaster.update(TARGET, 72, None, now);
        }
    }
}

fn per_token(node: &TreeNode, now: Timestamp) -> Option<f64> {
    let forecaster = node.forecasters.get(&ServiceId::from("s"))?;
    forecaster.trusted_rates(now).map(|rates| rates.per_token.as_secs_f64())
}

/// One long prompt a second at each of 75 nodes: alone, each would know the rates after ten seconds. Two seconds
/// after traffic starts, all forecast alike within a twentieth, so that they agree on which prompts are long.
#[test]
fn all_nodes_know_the_rates_within_two_seconds_of_traffic() {
    let mut nodes: Vec<TreeNode> = (0..75).map(|_| TreeNode::default()).collect();
    (1..=10).for_each(|round| play_round(&mut nodes, round, |_| true));
    let now = Timestamp::from_millis(10 * REPORT_MS);
    let expected = rates().per_token.as_secs_f64();
    for (index, node) in nodes.iter().enumerate() {
        let measured = per_token(node, now).unwrap_or_default();
        assert!((measured / expected - 1.0).abs() < 0.05, "node {index}: {measured} s a token");
    }
}

/// A node that is cut off keeps forecasting, by its own outcomes once those of the others are outdated; and a
/// node that the others no longer hear takes none of their knowledge away.
#[test]
fn a_node_that_is_cut_off_uses_its_own_outcomes() {
    let mut nodes: Vec<TreeNode> = (0..75).map(|_| TreeNode::default()).collect();
    (1..=50).for_each(|round| play_round(&mut nodes, round, |_| true));
    (51..=100).for_each(|round| play_round(&mut nodes, round, |index| index != 74));
    let now = Timestamp::from_millis(100 * REPORT_MS);
    let count = |node: &TreeNode| -> u64 {
        let known = node.shared.known(&node.forecasters, now);
        known.iter().flat_map(|rates| &rates.outcomes).map(|sum| sum.count_per_mille).sum()
    };
    let own: u64 = nodes[74]
        .forecasters
        .iter()
        .map(|(service, forecaster)| {
            forecaster.own_rates(service, now).outcomes.iter().map(|sum| sum.count_per_mille).sum::<u64>()
        })
        .sum();
    assert_eq!(count(&nodes[74]), own, "only its own");
    assert!(count(&nodes[73]) > 60 * own, "those of the others");
    assert!(per_token(&nodes[74], now).is_some() && per_token(&nodes[73], now).is_some());
}

/// Work reported by others has partly been read: with the time to read a token known, 0.2 s of age and 0.3 s
/// since the report are subtracted, and a queue of a second is neither doubled nor forgotten.
#[test]
fn reported_work_is_reduced_by_what_the_engine_has_read_since() {
    let mut chooser = Chooser::default();
    let id = BackendId::from("engine-0");
    let work = EngineWork { engine: id.clone(), requests: 4, pending_prefill_tokens: 50_000 };
    chooser.loads.set_others(vec![work], Timestamp::from_millis(1_000));
    let pending = |per_token, at| chooser.loads.pending_of_others(&id, per_token, Timestamp::from_millis(at));
    assert_eq!(pending(Some(MS / 50), 1_300), 25_000);
    assert_eq!(pending(Some(MS / 50), 9_000), 0);
    assert_eq!(pending(None, 1_300), 25_000, "half, as nothing is known of the rate");
}
