//! Quotas over many nodes: the sum of the shares and the maximum overshoot.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::limits::{
    LimitKind, LimitSettings, Limits, RequestCost,
    bucket::TokenBucket,
    peer_reports::encoded_bound,
    share::{ShareInput, share},
};
use paddlemount_protocol::{
    configuration::Quota,
    identity::{Incarnation, NodeId, TenantId},
    quota::{MAX_DIGEST_TENANTS, QuotaDigest, TenantUsage},
    time::Timestamp,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(20);

#[derive(Clone, Copy)]
struct Exchange {
    settings: LimitSettings,
    /// Steps between two messages of a node.
    every: usize,
    bytes: usize,
    /// Whether the receiver answers each message with its reports.
    answered: bool,
}

/// Five large messages per second; reports settle within seconds among many nodes too.
fn fast_exchange() -> Exchange {
    let settings = LimitSettings {
        settle_base: Duration::from_millis(1_500),
        settle_per_node: Duration::from_millis(100),
        ..LimitSettings::default()
    };
    Exchange { settings, every: 10, bytes: 1_200, answered: false }
}

/// The exchange of production nodes: one probe per second and its answer, with 260 bytes each.
fn probe_exchange() -> Exchange {
    Exchange { settings: LimitSettings::default(), every: 50, bytes: 260, answered: true }
}

fn tenant() -> TenantId {
    TenantId::from("tenant")
}

fn requests_quota(rate: f64) -> Quota {
    Quota { requests_per_second: Some(rate), ..Quota::default() }
}

/// Nodes that gossip with random peers and delays; callers at some of them offer unlimited load.
struct Cluster {
    nodes: Vec<Limits>,
    exchange: Exchange,
    random: StdRng,
    now: Timestamp,
    in_flight: Vec<(Timestamp, usize, Vec<QuotaDigest>)>,
    reaches: fn(usize, usize) -> bool,
    hot: Vec<bool>,
    running: Vec<(Timestamp, usize)>,
    /// Seconds after which the demand moves to other nodes.
    demand_period_s: u64,
    admitted: u64,
    steps_with_demand: u64,
}

impl Cluster {
    fn new(size: usize, quota: Quota, seed: u64, exchange: Exchange) -> Self {
        let start = Timestamp::from_millis(1_000);
        let node = |number: usize| {
            let name = NodeId::from(format!("node-{number}"));
            let mut limits = Limits::new(exchange.settings, name, Incarnation(1), start);
            limits.set_members(size as u32, start);
            limits.configure([(&tenant(), &quota)].into_iter(), start);
            limits
        };
        Self {
            nodes: (0..size).map(node).collect(),
            exchange,
            random: StdRng::seed_from_u64(seed),
            now: start,
            in_flight: Vec::new(),
            reaches: |_, _| true,
            hot: vec![true; size],
            running: Vec::new(),
            demand_period_s: 3,
            admitted: 0,
            steps_with_demand: 0,
        }
    }

    fn step(&mut self) -> u64 {
        self.now = self.now + STEP;
        let step = (self.now.as_millis() / 20) as usize;
        if step.is_multiple_of(self.demand_period_s as usize * 50) {
            let fraction = self.random.random_range(0.0..1.0);
            self.hot.iter_mut().for_each(|hot| *hot = self.random.random_bool(fraction));
        }
        self.steps_with_demand += u64::from(self.hot.contains(&true));
        self.end_requests();
        self.gossip(step);
        self.offer_load()
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|(until, _)| *until <= now);
        self.running = running;
        for (_, node) in ended {
            self.nodes[node].release(&tenant(), 0);
        }
    }

    fn gossip(&mut self, step: usize) {
        let size = self.nodes.len();
        for sender in 0..size {
            if (step + sender).is_multiple_of(25) {
                self.nodes[sender].tick(self.now);
            }
            if !(step + sender).is_multiple_of(self.exchange.every) {
                continue;
            }
            let receiver = (sender + self.random.random_range(1..size)) % size;
            self.send(sender, receiver);
            if self.exchange.answered {
                self.send(receiver, sender);
            }
        }
        let now = self.now;
        let (arrived, waiting) = self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = waiting;
        for (_, receiver, digests) in arrived {
            self.nodes[receiver].receive(&digests, now);
        }
    }

    fn send(&mut self, sender: usize, receiver: usize) {
        let digests = self.nodes[sender].digests(self.exchange.bytes, self.now);
        let arrives = self.now + Duration::from_millis(self.random.random_range(1..100));
        if (self.reaches)(sender, receiver) && self.random.random_bool(0.99) {
            self.in_flight.push((arrives, receiver, digests));
        }
    }

    fn offer_load(&mut self) -> u64 {
        let mut admitted = 0;
        for number in 0..self.nodes.len() {
            for _ in 0..if self.hot[number] { 8 } else { 0 } {
                if self.nodes[number].admit(&tenant(), RequestCost { tokens: 1 }, self.now).is_ok() {
                    admitted += 1;
                    self.running.push((self.now + Duration::from_millis(300), number));
                }
            }
        }
        self.admitted += admitted;
        admitted
    }

    /// Returns the admitted fraction of what `rate` allowed while there was demand.
    fn used(&self, rate: f64) -> f64 {
        self.admitted as f64 / (rate * STEP.as_secs_f64() * self.steps_with_demand as f64)
    }

    /// Returns the maximum by which any interval of the next `seconds` exceeds `rate`, in requests.
    fn overshoot(&mut self, rate: f64, seconds: u64) -> f64 {
        let mut level = 0.0_f64;
        let mut highest = 0.0_f64;
        for _ in 0..seconds * 50 {
            level = (level - rate * STEP.as_secs_f64()).max(0.0) + self.step() as f64;
            highest = highest.max(level);
        }
        highest
    }
}

#[test]
fn demand_that_moves_between_nodes_exceeds_the_quota_by_no_more_than_burst_and_one_request_a_node() {
    for (size, rate, demand_period_s, min_used) in [
        (3, 30.0, 3, 0.4),
        (3, 30.0, 20, 0.7),
        (3, 200.0, 3, 0.4),
        (3, 200.0, 20, 0.7),
        (20, 100.0, 3, 0.2),
        (20, 100.0, 20, 0.6),
        (20, 400.0, 20, 0.6),
    ] {
        let mut cluster = Cluster::new(size, requests_quota(rate), 1, fast_exchange());
        cluster.demand_period_s = demand_period_s;
        let overshoot = cluster.overshoot(rate, 120);
        let (bound, used) = (rate + size as f64, cluster.used(rate));
        println!(
            "{size} nodes, {rate}/s, moves after {demand_period_s} s: overshoot {overshoot:.1} of {bound}, used {used:.2}"
        );
        assert!(overshoot <= bound, "{size} nodes at {rate}/s: {overshoot} over {bound}");
        assert!(used >= min_used, "the quota is meant to be usable: {used}");
    }
}

#[test]
fn the_quota_holds_with_reports_on_probes() {
    for (size, demand_period_s, min_used) in [(3, 30, 0.7), (12, 60, 0.2), (40, 120, 0.1)] {
        let rate = 100.0;
        let mut cluster = Cluster::new(size, requests_quota(rate), 1, probe_exchange());
        cluster.demand_period_s = demand_period_s;
        let overshoot = cluster.overshoot(rate, 240);
        let (bound, used) = (rate + size as f64, cluster.used(rate));
        let reporting: u32 = cluster.nodes.iter().map(Limits::reporting_nodes).sum();
        let reporting = f64::from(reporting) / (size * size) as f64;
        println!(
            "{size} nodes by probes: overshoot {overshoot:.1} of {bound}, used {used:.2}, reporting {reporting:.2}"
        );
        assert!(overshoot <= bound, "{overshoot} over {bound}");
        assert!(used >= min_used, "the quota is meant to be usable: {used}");
    }
}

#[test]
fn the_quota_holds_in_a_partition_after_the_settle_time() {
    let (size, rate) = (12, 120.0);
    let mut cluster = Cluster::new(size, requests_quota(rate), 7, fast_exchange());
    cluster.overshoot(rate, 20);
    cluster.reaches = |from, to| from % 3 == to % 3;
    let settings = fast_exchange().settings;
    let transition = (settings.settle(12) + settings.interval).as_secs_f64();
    let during = cluster.overshoot(rate, 6);
    let after = cluster.overshoot(rate, 30);
    println!("three sides: overshoot {during:.1} while it sets in, {after:.1} afterwards");
    assert!(during <= rate * transition + rate + size as f64, "{during}");
    assert!(after <= rate + size as f64, "{after}");
}

#[test]
fn one_way_connectivity_at_most_doubles_the_quota() {
    let (size, rate) = (12, 120.0);
    let mut cluster = Cluster::new(size, requests_quota(rate), 8, fast_exchange());
    cluster.reaches = |from, to| from < 6 || to >= 6;
    let before = cluster.admitted;
    cluster.overshoot(rate, 60);
    let admitted = (cluster.admitted - before) as f64;
    assert!(admitted <= 2.0 * rate * 60.0 + rate + size as f64, "{admitted}");
}

#[test]
fn an_isolated_node_has_its_even_share() {
    let start = Timestamp::from_millis(1_000);
    let mut limits = Limits::new(LimitSettings::default(), NodeId::from("node"), Incarnation(1), start);
    limits.set_members(10, start);
    limits.configure([(&tenant(), &requests_quota(50.0))].into_iter(), start);
    let share = limits.view(&tenant()).and_then(|view| view.share.requests_per_second);
    assert!(share.is_some_and(|share| (share - 5.0).abs() < 1e-9), "{share:?}");
}

#[test]
fn concurrency_over_all_nodes_exceeds_its_quota_by_no_more_than_one_request_a_node() {
    for (size, quota, demand_period_s) in [(3, 12, 3), (3, 60, 3), (3, 60, 20), (12, 60, 3), (12, 60, 20)] {
        let limit = Quota { concurrent_requests: Some(quota), ..Quota::default() };
        let mut cluster = Cluster::new(size, limit, 1, fast_exchange());
        cluster.demand_period_s = demand_period_s;
        let mut peak = 0;
        for _ in 0..60 * 50 {
            cluster.step();
            peak = peak.max(cluster.running.len());
        }
        let used = cluster.used(f64::from(quota) / 0.3);
        println!(
            "{size} nodes, {quota} at once, moves after {demand_period_s} s: {peak} at most, used {used:.2}"
        );
        assert!(peak <= quota as usize + size, "{peak} of {quota} with {size} nodes");
        assert!(peak as f64 >= 0.75 * f64::from(quota), "the quota is meant to be usable: {peak} of {quota}");
    }
}

#[test]
fn a_request_larger_than_the_bucket_is_granted_and_charged() {
    let mut bucket = TokenBucket::new(100.0, 50.0, Timestamp::ZERO);
    assert_eq!(bucket.wait(400.0, Timestamp::ZERO), Duration::ZERO);
    bucket.take(400.0);
    assert_eq!(bucket.wait(1.0, Timestamp::ZERO), Duration::from_millis(3_510));
    bucket.refund(300.0);
    assert_eq!(bucket.wait(1.0, Timestamp::ZERO), Duration::from_millis(510));
}

#[test]
fn a_refusal_states_its_limit_and_takes_nothing_from_the_others() {
    let start = Timestamp::from_millis(1_000);
    let mut limits = Limits::new(LimitSettings::default(), NodeId::from("node"), Incarnation(1), start);
    let quota = Quota {
        requests_per_second: Some(10.0),
        tokens_per_second: Some(1_000.0),
        concurrent_requests: Some(1),
    };
    limits.configure([(&tenant(), &quota)].into_iter(), start);
    let later = start + Duration::from_secs(5);
    let admit = |limits: &mut Limits, tokens| limits.admit(&tenant(), RequestCost { tokens }, later);
    assert_eq!(admit(&mut limits, 1_000), Ok(()));
    assert_eq!(admit(&mut limits, 1).map_err(|refusal| refusal.kind), Err(LimitKind::Concurrency));
    limits.release(&tenant(), 0);
    let refused = admit(&mut limits, 500).expect_err("no tokens are left");
    assert_eq!((refused.kind, refused.retry_after), (LimitKind::Tokens, Duration::from_millis(500)));
    assert!(limits.admit(&TenantId::from("unlimited"), RequestCost { tokens: 1 }, later).is_ok());
}

#[test]
fn shares_sum_to_at_most_the_quota_if_no_demand_is_underestimated() {
    bolero::check!().with_type::<Vec<(u16, u16)>>().for_each(|demands| {
        let reporting = demands.len() as u32;
        let reported: f64 = demands.iter().map(|(own, more)| f64::from(*own) + f64::from(*more)).sum();
        let shares = demands.iter().map(|(own, more)| {
            let own = f64::from(*own);
            let view =
                ShareInput { members: reporting, reporting, own, others: reported - own - f64::from(*more) };
            share(1_000.0, &view)
        });
        assert!(shares.sum::<f64>() <= 1_000.0 + 1e-6);
    });
}

#[test]
fn digests_stay_within_their_byte_budget() {
    bolero::check!().with_type::<(Vec<(String, u64, u32)>, u16)>().for_each(|(entries, budget)| {
        let entry = |(name, large, small): &(String, u64, u32)| TenantUsage {
            tenant: TenantId::from(name.as_str()),
            milli_requests_per_second: *large,
            tokens_per_second: *large,
            requested_concurrency: *small,
            granted_concurrency: *small,
        };
        let digest = QuotaDigest {
            node: NodeId::from("peer \"quoted\""),
            incarnation: Incarnation(u64::MAX),
            round: u64::MAX,
            age_ms: 0,
            tenants: entries.iter().map(entry).collect(),
        };
        let encoded = serde_json::to_vec(&digest).unwrap();
        assert!(encoded.len() < encoded_bound(&digest));
        assert_eq!(serde_json::from_slice::<QuotaDigest>(&encoded).unwrap(), digest);
        let start = Timestamp::from_millis(1_000);
        let mut limits = Limits::new(LimitSettings::default(), NodeId::from("node"), Incarnation(1), start);
        limits.receive(&[digest], start);
        limits.set_members(100, start);
        let sent = limits.digests(usize::from(*budget), start);
        assert!(sent.is_empty() || serde_json::to_vec(&sent).unwrap().len() <= usize::from(*budget) + 2);
        assert!(sent.iter().all(|digest| digest.tenants.len() <= MAX_DIGEST_TENANTS));
    });
}

#[test]
fn tenants_that_do_not_fit_into_a_digest_count_no_demand_of_their_own() {
    let start = Timestamp::from_millis(1_000);
    let settings = LimitSettings { digest_bytes: 4_000, ..LimitSettings::default() };
    let mut limits = Limits::new(settings, NodeId::from("node"), Incarnation(1), start);
    limits.set_members(4, start);
    let quota = requests_quota(100.0);
    let tenants: Vec<TenantId> =
        (0..40).map(|number| TenantId::from(format!("tenant-{number:02}"))).collect();
    limits.configure(tenants.iter().map(|tenant| (tenant, &quota)), start);
    let mut now = start;
    for _ in 0..20 {
        now = now + Duration::from_millis(500);
        for (number, tenant) in tenants.iter().enumerate() {
            for _ in 0..10 + number {
                let _admitted = limits.admit(tenant, RequestCost { tokens: 1 }, now);
            }
        }
        limits.tick(now);
    }
    let reported = limits.digests(usize::MAX, now).remove(0).tenants;
    assert_eq!(reported.len(), MAX_DIGEST_TENANTS);
    let shares: BTreeMap<&TenantId, f64> = tenants
        .iter()
        .map(|tenant| (tenant, limits.view(tenant).and_then(|view| view.share.requests_per_second).unwrap()))
        .collect();
    let unreported = tenants.iter().filter(|tenant| reported.iter().all(|entry| entry.tenant != **tenant));
    assert!(unreported.clone().count() == 8 && unreported.into_iter().all(|tenant| shares[tenant] <= 25.0));
}
