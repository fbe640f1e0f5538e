//! Admission: which requests run, wait or are refused, and when.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use paddlemount_core::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionRequest, AdmissionSettings,
    queue::{FairQueue, Waiting},
};
use paddlemount_protocol::{
    engine::Priority,
    identity::{PoolId, RequestId, TenantId},
    refusal::{Outcome, RefusalCode},
    time::Timestamp,
};

const START: Timestamp = Timestamp::from_millis(1_000);

fn at(milliseconds: u64) -> Timestamp {
    START + Duration::from_millis(milliseconds)
}

fn admission(slots: u32, settings: AdmissionSettings) -> Admission {
    let mut admission = Admission::new(settings);
    let pool = PoolId::from("pool");
    admission.apply(AdmissionEvent::Pool { pool, slots, nodes: 1 }, START);
    admission
}

fn request(ticket: &str, tenant: &str) -> AdmissionRequest {
    AdmissionRequest {
        ticket: RequestId::from(ticket),
        pool: PoolId::from("pool"),
        tenant: TenantId::from(tenant),
        weight: 1,
        rank: 0,
        slots: 1,
        priority: Priority::Normal,
        cost: 100,
        predicted_start: Duration::from_millis(200),
        deadline: None,
        due: None,
        late: None,
    }
}

fn submit(admission: &mut Admission, request: AdmissionRequest, now: Timestamp) -> Vec<AdmissionAction> {
    admission.apply(AdmissionEvent::Submit(request), now)
}

fn end(admission: &mut Admission, ticket: &str, now: Timestamp) -> Vec<String> {
    let actions = admission.apply(AdmissionEvent::Ended { ticket: RequestId::from(ticket) }, now);
    actions.iter().map(run_ticket).collect()
}

fn run_ticket(action: &AdmissionAction) -> String {
    match action {
        AdmissionAction::Run { ticket, .. } => ticket.to_string(),
        AdmissionAction::Refuse { ticket, refusal } => panic!("{ticket}: {refusal}"),
    }
}

fn refused(actions: &[AdmissionAction]) -> (String, RefusalCode) {
    let [AdmissionAction::Refuse { ticket, refusal }] = actions else { panic!("{actions:?}") };
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after_ms.is_some_and(|after| after > 0));
    (ticket.to_string(), refusal.code)
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_on_arrival() {
    let mut admission = admission(1, AdmissionSettings::default());
    let hopeless = AdmissionRequest { deadline: Some(at(150)), ..request("hopeless", "a") };
    let (ticket, code) = refused(&submit(&mut admission, hopeless, START));
    assert_eq!((ticket.as_str(), code), ("hopeless", RefusalCode::DeadlineExceeded));
    submit(&mut admission, request("first", "a"), START);
    submit(&mut admission, request("second", "a"), START);
    end(&mut admission, "first", at(1_000));
    // The request ahead takes a second; the deadline leaves 300 ms.
    let late = AdmissionRequest { deadline: Some(at(1_500)), ..request("late", "a") };
    assert_eq!(refused(&submit(&mut admission, late, at(1_000))).1, RefusalCode::DeadlineExceeded);
}

#[test]
fn a_waiting_request_is_refused_once_it_cannot_start_in_time() {
    let mut admission = admission(1, AdmissionSettings::default());
    submit(&mut admission, request("running", "a"), START);
    let waiting = AdmissionRequest { deadline: Some(at(1_000)), ..request("waiting", "a") };
    assert!(submit(&mut admission, waiting, START).is_empty());
    assert_eq!(admission.next_tick(), Some(at(800) + Duration::from_micros(1)));
    assert!(admission.apply(AdmissionEvent::Tick, at(800)).is_empty());
    let actions = admission.apply(AdmissionEvent::Tick, admission.next_tick().unwrap());
    assert_eq!(refused(&actions), ("waiting".into(), RefusalCode::DeadlineExceeded));
}

#[test]
fn a_full_queue_evicts_a_request_of_the_tenant_with_the_most() {
    let settings = AdmissionSettings { queue_length: 4, ..AdmissionSettings::default() };
    let mut admission = admission(1, settings);
    for ticket in ["running", "a1", "a2", "a3", "a4"] {
        submit(&mut admission, request(ticket, "large"), START);
    }
    let (ticket, code) = refused(&submit(&mut admission, request("a5", "large"), START));
    assert_eq!((ticket.as_str(), code), ("a5", RefusalCode::Overloaded));
    assert_eq!(refused(&submit(&mut admission, request("b1", "small"), START)).0, "a4");
    // The large tenant was served one request, the small one none.
    assert_eq!(end(&mut admission, "running", at(10)), ["b1"]);
    assert_eq!(end(&mut admission, "b1", at(20)), ["a1"]);
}

#[test]
fn priorities_order_requests_within_a_tenant_and_low_yields_to_all_tenants() {
    let mut admission = admission(1, AdmissionSettings::default());
    submit(&mut admission, request("running", "a"), START);
    for (ticket, tenant, priority) in [
        ("low", "a", Priority::Low),
        ("normal", "a", Priority::Normal),
        ("other", "b", Priority::Normal),
        ("high", "a", Priority::High),
    ] {
        submit(&mut admission, AdmissionRequest { priority, ..request(ticket, tenant) }, START);
    }
    let mut order = vec!["running".to_owned()];
    for step in 1..=4 {
        let ended = order.last().cloned().unwrap();
        order.extend(end(&mut admission, &ended, at(step * 10)));
    }
    assert_eq!(order, ["running", "other", "high", "normal", "low"]);
}

#[test]
fn a_part_of_the_limit_is_reserved_for_tenants_below_their_share() {
    let mut admission = admission(20, AdmissionSettings::default());
    submit(&mut admission, request("small-0", "small"), START);
    for number in 0..40 {
        submit(&mut admission, request(&format!("large-{number}"), "large"), START);
    }
    let view = admission.view(&PoolId::from("pool")).unwrap();
    assert_eq!((view.in_flight, view.limit), (18, 20));
    let actions = submit(&mut admission, request("small-1", "small"), START);
    assert_eq!(actions.iter().map(run_ticket).collect::<Vec<_>>(), ["small-1"]);
}

#[test]
fn a_cancelled_request_frees_its_slot() {
    let mut admission = admission(1, AdmissionSettings::default());
    for ticket in ["running", "waiting", "next"] {
        submit(&mut admission, request(ticket, "a"), START);
    }
    let cancel = |ticket: &str| AdmissionEvent::Cancelled { ticket: RequestId::from(ticket) };
    assert!(admission.apply(cancel("waiting"), at(1)).is_empty());
    let actions = admission.apply(cancel("running"), at(2));
    assert_eq!(actions.iter().map(run_ticket).collect::<Vec<_>>(), ["next"]);
}

#[test]
fn backlogged_tenants_get_their_weights_to_within_one_request_each() {
    let cost = |number: u8| u32::from(number) * 4 + 1;
    bolero::check!().with_type::<(Vec<(u8, u8)>, [u8; 3])>().for_each(|(requests, weights)| {
        let weights = weights.map(|weight| u32::from(weight % 8) + 1);
        let tenants = ["a", "b", "c"].map(TenantId::from);
        let mut queue = FairQueue::default();
        for (index, (tenant, size)) in requests.iter().enumerate() {
            let tenant = usize::from(tenant % 3);
            let waiting = Waiting {
                ticket: RequestId::from(index.to_string()),
                rank: 0,
                priority: Priority::Normal,
                slots: 1,
                due: START,
                cost: cost(*size),
                arrived: START,
                latest_start: START,
                by_deadline: false,
                late: None,
            };
            queue.push(&tenants[tenant], weights[tenant], waiting);
        }
        let mut served: BTreeMap<TenantId, f64> = BTreeMap::new();
        loop {
            let all_wait = tenants.iter().all(|tenant| queue.len_of(tenant) > 0);
            let Some((tenant, waiting)) = queue.pop(|_, _| true) else { break };
            let weight = weights[tenants.iter().position(|known| *known == tenant).unwrap()];
            *served.entry(tenant).or_default() += f64::from(waiting.cost) / f64::from(weight);
            let share = |index: usize| served.get(&tenants[index]).copied().unwrap_or(0.0);
            let largest = |index: usize| f64::from(cost(u8::MAX)) / f64::from(weights[index]);
            for (left, right) in [(0, 1), (1, 2), (0, 2)] {
                let difference = (share(left) - share(right)).abs();
                assert!(!all_wait || difference <= largest(left) + largest(right) + 0.1);
            }
        }
        assert!(queue.is_empty());
    });
}

#[derive(Debug, TypeGenerator)]
enum Step {
    Submit { tenant: u8, priority: u8, deadline: Option<u16> },
    End(u8),
    Leave(u8),
    Begin(u8, u16),
    Resize(u8),
    Wait(u16),
}

/// The state of a request that has neither ended nor been abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running,
}

/// Tracks the expected state of all requests.
struct Requests {
    now: Timestamp,
    tickets: Vec<RequestId>,
    open: BTreeMap<RequestId, RequestState>,
}

impl Requests {
    fn new() -> Self {
        Self { now: START, tickets: Vec::new(), open: BTreeMap::new() }
    }

    /// Converts a step to an event; `None` if the step does not apply.
    fn event(&mut self, step: &Step) -> Option<AdmissionEvent> {
        let event = match step {
            Step::Submit { tenant, priority, deadline } => self.submit(*tenant, *priority, *deadline),
            Step::End(number) => {
                let ticket = self.pick(*number)?;
                if self.open.get(&ticket) != Some(&RequestState::Running) {
                    return None;
                }
                self.open.remove(&ticket);
                AdmissionEvent::Ended { ticket }
            }
            Step::Leave(number) => {
                let ticket = self.pick(*number)?;
                self.open.remove(&ticket);
                AdmissionEvent::Cancelled { ticket }
            }
            Step::Begin(number, queueing) => {
                let queueing = Duration::from_millis(u64::from(*queueing));
                AdmissionEvent::FirstToken { ticket: self.pick(*number)?, queueing }
            }
            Step::Resize(slots) => {
                AdmissionEvent::Pool { pool: PoolId::from("pool"), slots: u32::from(*slots), nodes: 1 }
            }
            Step::Wait(milliseconds) => {
                self.now = self.now + Duration::from_millis(u64::from(*milliseconds));
                AdmissionEvent::Tick
            }
        };
        Some(event)
    }

    fn submit(&mut self, tenant: u8, priority: u8, deadline: Option<u16>) -> AdmissionEvent {
        let ticket = RequestId::from(self.tickets.len().to_string());
        self.tickets.push(ticket.clone());
        self.open.insert(ticket.clone(), RequestState::Waiting);
        let priority = [Priority::Low, Priority::Normal, Priority::High][usize::from(priority % 3)];
        let deadline = deadline.map(|after| self.now + Duration::from_millis(u64::from(after)));
        let tenant = ["a", "b", "c"][usize::from(tenant % 3)];
        let base = request(ticket.as_str(), tenant);
        AdmissionEvent::Submit(AdmissionRequest { priority, deadline, ..base })
    }

    fn pick(&self, number: u8) -> Option<RequestId> {
        self.tickets.get(usize::from(number) % self.tickets.len().max(1)).cloned()
    }

    /// Checks that each request is answered once, and only while it waits.
    fn check_action(&mut self, action: AdmissionAction) {
        match action {
            AdmissionAction::Run { ticket, .. } => {
                let before = self.open.insert(ticket, RequestState::Running);
                assert_eq!(before, Some(RequestState::Waiting), "run twice or after it was abandoned");
            }
            AdmissionAction::Refuse { ticket, refusal } => {
                assert_eq!(self.open.remove(&ticket), Some(RequestState::Waiting), "refused after it ran");
                assert_eq!(refusal.outcome, Outcome::NotRun);
            }
        }
    }

    fn running(&self) -> usize {
        self.open.values().filter(|state| **state == RequestState::Running).count()
    }
}

#[test]
fn limit_and_queue_length_hold_and_each_request_gets_one_answer() {
    let settings = AdmissionSettings { queue_length: 6, ..AdmissionSettings::default() };
    let pool = PoolId::from("pool");
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut admission = admission(4, settings);
        let mut requests = Requests::new();
        for step in steps {
            let Some(event) = requests.event(step) else { continue };
            let before = admission.view(&pool).unwrap();
            for action in admission.apply(event, requests.now) {
                requests.check_action(action);
            }
            let view = admission.view(&pool).unwrap();
            assert_eq!(view.in_flight as usize, requests.running());
            assert_eq!(view.waiting, requests.open.len() - requests.running());
            assert!(view.in_flight <= view.limit.max(before.in_flight));
            assert!(view.waiting <= settings.queue_length);
        }
        admission.apply(AdmissionEvent::Tick, requests.now + Duration::from_secs(3));
        assert_eq!(admission.view(&pool).unwrap().waiting, 0, "no request waits past its latest start");
    });
}
