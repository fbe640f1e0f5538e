//! Callers and operators: the requests they send and how they retry.

use std::time::Duration;

use paddlemount_core::claims::ClaimOutcome;
use paddlemount_protocol::{
    configuration::{Change, ChangeRequest, Configuration, Pool, Tenant},
    identity::{
        ChangeId, NodeId, OperatorId, RegionId, RequestId, Revision, ServiceId, TenantId, WeightsVersion,
        ZoneId,
    },
    peer::claims::{ClaimMember, ClaimPlacement, PlacementEpoch},
    refusal::{Outcome, RefusalCode},
    time::Timestamp,
};
use rand::{RngExt, seq::IndexedRandom};

use super::{
    cluster::{SimCluster, model_name, pool_name},
    event::Event,
    history::Answer,
    node::PRIMARY_NODES,
};

const FIRST_REQUEST_MS: u64 = 6_000;
const LAST_REQUEST_MS: u64 = 32_000;
const MODEL_REQUESTS: u32 = 36;
const BOOKINGS: u32 = 30;
const CHANGES: u64 = 4;
const CALLER_TIMEOUT: Duration = Duration::from_secs(7);
const MAX_ATTEMPTS: usize = 5;
const HEDGE_PROBABILITY: f64 = 0.25;

/// The configuration document at the start of a run.
pub fn initial_document() -> Configuration {
    let mut configuration = Configuration::default();
    for tenant in ["kestrel", "benoni"] {
        configuration.tenants.insert(TenantId::from(tenant), Tenant::default());
    }
    let pool = Pool {
        model: model_name(),
        weights: WeightsVersion(1),
        rollout: None,
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    configuration.pools.insert(pool_name(), pool);
    configuration.services.insert(ServiceId::from("booking"), Default::default());
    let member = |number: usize| ClaimMember {
        node: NodeId::from(format!("node-{number}")),
        zone: ZoneId::from(format!("zone-{}", number % 3)),
        region: RegionId::from("region-0"),
    };
    let members = (0..PRIMARY_NODES).map(member).collect();
    configuration.claims = ClaimPlacement { epoch: PlacementEpoch(1), members, next: None };
    configuration
}

/// A change request that sets a tenant's weight.
pub fn weight_change(id: &str, weight: u32, if_revision: Option<Revision>) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::from(id),
        operator: OperatorId::from("operator"),
        if_revision,
        change: Change::PutTenant {
            tenant: TenantId::from("kestrel"),
            settings: Tenant { weight, ..Tenant::default() },
        },
        command: format!("set the weight of kestrel to {weight}"),
        dry_run: false,
    }
}

impl SimCluster {
    /// Schedules all requests of callers and operators.
    pub fn schedule_callers(&mut self) {
        let any_time = FIRST_REQUEST_MS..LAST_REQUEST_MS;
        for number in 0..MODEL_REQUESTS {
            let at = Timestamp::from_millis(self.random.random_range(any_time.clone()));
            self.queue.schedule_at(at, Event::SendModelRequest { number, node: None });
        }
        for number in 0..BOOKINGS {
            let at = self.random.random_range(any_time.clone());
            let key = format!("{:08x}-{:04x}-7000-8000-{number:012x}", at >> 16, at & 0xffff);
            self.queue.schedule_at(Timestamp::from_millis(at), Event::SendBooking { key, attempt: 0 });
        }
        for number in 0..CHANGES {
            let at = Timestamp::from_millis(self.random.random_range(any_time.clone()));
            let node = self.random.random_range(0..PRIMARY_NODES);
            let weight = u32::try_from(number).unwrap_or_default() + 10;
            let request = Box::new(weight_change(&format!("change-{number}"), weight, None));
            self.queue.schedule_at(at, Event::SubmitChange { node, request });
        }
    }

    /// Sends a model request to `node`, or to a random available node.
    pub fn send_model_request(&mut self, number: u32, node: Option<usize>, now: Timestamp) {
        let available: Vec<usize> = self.available_nodes(now).into_iter().collect();
        let chosen = node.or_else(|| available.choose(&mut self.random).copied());
        let Some(node) = chosen else { return };
        let request = RequestId::from(format!("request-{number}"));
        let tokens = self.random.random_range(20..600);
        let answer = Answer {
            node,
            sent_at: now,
            tokens,
            must_be_served: number >= MODEL_REQUESTS,
            ..Answer::default()
        };
        self.history.answers.insert(request.clone(), answer);
        self.history.record(now, request.as_str(), format!("sent to node-{node}, {tokens} tokens"));
        self.serve_model(self.nodes[node].incarnation_of(node), &request, now);
    }

    /// The request number with which a drill probes a restarted node.
    pub const fn restart_probe_number(node: usize) -> u32 {
        MODEL_REQUESTS + node as u32
    }

    /// Sends a booking, sometimes to two nodes at once.
    pub fn send_booking(&mut self, key: &str, attempt: usize, now: Timestamp) {
        let available: Vec<usize> = self.available_nodes(now).into_iter().collect();
        let hedged = self.random.random_bool(HEDGE_PROBABILITY);
        let nodes: Vec<usize> =
            available.sample(&mut self.random, if hedged { 2 } else { 1 }).copied().collect();
        let booking = self.history.bookings.entry(key.to_owned()).or_default();
        booking.endings.push(None);
        let timeout = Event::BookingEnded { key: key.to_owned(), attempt, ending: None };
        self.queue.schedule_after(CALLER_TIMEOUT, timeout);
        for node in nodes {
            self.history.record(now, key, format!("try {attempt} sent to node-{node}"));
            self.serve_booking(self.nodes[node].incarnation_of(node), key, attempt, now);
        }
    }

    /// Handles the end or the timeout of a booking attempt and schedules a retry with the same key.
    pub fn handle_booking_end(
        &mut self,
        key: &str,
        attempt: usize,
        ending: Option<ClaimOutcome>,
        now: Timestamp,
    ) {
        let booking = self.history.bookings.entry(key.to_owned()).or_default();
        if attempt >= booking.endings.len() {
            return;
        }
        let is_first = booking.endings[attempt].is_none();
        let retry = match ending {
            Some(ClaimOutcome::Answered { answer, .. }) => {
                booking.endings[attempt] = Some(Outcome::Completed);
                booking.answers.push(answer);
                false
            }
            Some(ClaimOutcome::Refused(refusal)) => {
                booking.endings[attempt] = Some(refusal.outcome);
                !matches!(refusal.code, RefusalCode::KeyReused | RefusalCode::InvalidRequest)
            }
            None => true,
        };
        if !is_first || !retry || attempt + 1 >= MAX_ATTEMPTS || booking.endings.len() > attempt + 1 {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(50..1_500));
        let next = Event::SendBooking { key: key.to_owned(), attempt: attempt + 1 };
        self.queue.schedule_at(now + pause, next);
    }

    /// Submits two changes of the same object through two nodes, based on the same revision.
    pub fn race_operators(&mut self, fault: usize, now: Timestamp) {
        let revision = Some(self.store.current().revision);
        for (operator, node) in [(0_u32, 1), (1, 3)] {
            let id = format!("race-{fault}-{operator}");
            let request = Box::new(weight_change(&id, 100 + operator, revision));
            let pause = Duration::from_millis(self.random.random_range(0..5));
            self.queue.schedule_at(now + pause, Event::SubmitChange { node, request });
        }
    }

    /// Submits a rollout of the next weights version.
    pub fn roll_out(&mut self, now: Timestamp) {
        let request = ChangeRequest {
            id: ChangeId::from("roll-out"),
            operator: OperatorId::from("operator"),
            if_revision: None,
            change: Change::RollOut { pool: pool_name(), weights: WeightsVersion(2) },
            command: "roll out weights 2".to_owned(),
            dry_run: false,
        };
        self.queue.schedule_at(now, Event::SubmitChange { node: 2, request: Box::new(request) });
    }
}
