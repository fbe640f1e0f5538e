//! Claims: a request runs at most once, and "not run" is true.
//!
//! One key, two tries of the caller at two nodes, three replicas. Messages reach a replica in any order, at any
//! later time, or never; its reply arrives or is lost. Replicas restart without memory, the clock of
//! each later life behind that of the first by the whole permitted difference. Coordinators crash at any point,
//! and are paused at any point: a timer may fire late or never.
//!
//! A run begins with the first try; how long after the key was made is a bound. Replicas are alike, so the first to restart is called 0; a replica that remembers nothing need not restart.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use paddlemount_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimOutcome, ClaimReplica, ClaimSettings, ClaimedRequest,
    RunResult,
};
use paddlemount_protocol::{
    identity::{AttemptId, IdempotencyKey, NodeId, TenantId},
    peer::claims::{ClaimKey, ClaimMessage, ClaimReply, Fingerprint, PlacementEpoch},
    refusal::{Outcome, RefusalCode},
    time::Timestamp,
};

use crate::search::{Specification, Step};

const TRIES: usize = 2;
const EPOCH: PlacementEpoch = PlacementEpoch(1);
const START_SECOND: u64 = 3;

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimsFault {
    /// Nothing.
    None,
    /// A restarted replica answers for keys issued before its start.
    FreshReplicaGrantsOldKeys,
    /// A restarted replica does not allow for the difference of clocks.
    NoAllowanceForClocks,
    /// The tries ask different replicas, as if chosen by what each node believes to be alive.
    ReplicasByView,
    /// A dispatch without a clear ending is sent again.
    ResendAfterUnclearEnding,
}

/// Bounds of the search, and what is broken.
#[derive(Clone, Copy, Debug)]
pub struct ClaimsSpecification {
    /// What is deliberately wrong.
    pub fault: ClaimsFault,
    /// Restarts of replicas, in all.
    pub restarts: u8,
    /// Whether records and releases may arrive at any later time; otherwise each arrives at once or never.
    /// Claims may arrive at any later time in either case.
    pub late_endings: bool,
    /// Whether "not run" and the answers are judged too, or only the number of runs.
    pub judge_endings: bool,
    /// The last second of the model's clock; it starts at 3.
    pub last_second: u64,
    /// The second at which the key was made, by the caller's clock.
    pub key_second: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Packet {
    replica: usize,
    from_try: usize,
    message: Arc<ClaimMessage>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimsState {
    second: u64,
    replicas: Vec<Replica>,
    tries: Vec<Try>,
    packets: BTreeSet<Packet>,
    restarts: u8,
    runs: u8,
    false_not_run: bool,
    wrong_answer: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    memory: Arc<ClaimReplica>,
    first_life: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Try {
    coordinator: Option<Arc<ClaimCoordinator>>,
    wake: Option<Timestamp>,
    dispatches: u8,
    resends: u8,
}

impl ClaimsSpecification {
    /// Bounds under which the search takes seconds.
    pub const fn with_fault(fault: ClaimsFault) -> Self {
        Self { fault, restarts: 2, late_endings: false, judge_endings: true, last_second: 3, key_second: 4 }
    }

    fn settings() -> ClaimSettings {
        ClaimSettings {
            clock_skew: Duration::from_secs(1),
            retention: Duration::from_secs(2),
            // A silent replica is waited for one second, the step of the model's clock.
            reply_timeout: Duration::from_secs(4),
            ..ClaimSettings::default()
        }
    }

    fn key(&self) -> ClaimKey {
        let milliseconds = self.key_second * 1_000;
        let text = format!("{:08x}-{:04x}-7000-8000-000000000000", milliseconds >> 16, milliseconds & 0xffff);
        ClaimKey { tenant: TenantId::from("t"), key: IdempotencyKey::from(text) }
    }

    fn replica_names(&self, try_number: usize) -> Vec<NodeId> {
        let first = if self.fault == ClaimsFault::ReplicasByView { try_number } else { 0 };
        (first..first + 3).map(|replica| NodeId::from(replica.to_string())).collect()
    }

    fn replica_count(&self) -> usize {
        if self.fault == ClaimsFault::ReplicasByView { 4 } else { 3 }
    }

    /// A replica's clock: the first life's is ahead of all later ones.
    fn replica_clock(second: u64, first_life: bool) -> Timestamp {
        Timestamp::from_millis(1_000 * (second + u64::from(first_life)))
    }

    fn fresh_memory(&self, now: Timestamp) -> ClaimReplica {
        let settings = Self::settings();
        match self.fault {
            ClaimsFault::FreshReplicaGrantsOldKeys => {
                ClaimReplica::with_floor(settings, EPOCH, Timestamp::ZERO)
            }
            ClaimsFault::NoAllowanceForClocks => ClaimReplica::with_floor(settings, EPOCH, now),
            _ => ClaimReplica::new(settings, EPOCH, now),
        }
    }

    fn begin(&self, state: &ClaimsState, number: usize) -> Step<ClaimsState> {
        let mut next = state.clone();
        let now = Timestamp::from_millis(1_000 * state.second);
        let request = ClaimedRequest {
            key: self.key(),
            owner: AttemptId::from(number.to_string()),
            fingerprint: Fingerprint(1),
            epoch: EPOCH,
            replicas: self.replica_names(number),
            deadline: now + Duration::from_secs(2),
        };
        let (coordinator, actions) = ClaimCoordinator::begin(request, &Self::settings(), now);
        next.tries[number].coordinator = Some(Arc::new(coordinator));
        next.carry_out(number, actions);
        Step { label: format!("try {number} begins to claim"), state: next }
    }

    /// A replica takes a message; its reply arrives, or is lost.
    fn deliver(&self, state: &ClaimsState, packet: &Packet) -> Vec<Step<ClaimsState>> {
        let mut unanswered = state.clone();
        unanswered.packets.remove(packet);
        let target = &mut unanswered.replicas[packet.replica];
        let now = Self::replica_clock(state.second, target.first_life);
        let reply = Arc::make_mut(&mut target.memory).handle(&packet.message, now);
        let what = format!("{} of try {}", message_name(&packet.message), packet.from_try);
        let mut answered = unanswered.clone();
        answered.reply(packet, reply.clone());
        let mut steps = vec![Step {
            label: format!("replica {} takes {what} and answers {reply:?}", packet.replica),
            state: answered,
        }];
        if steps[0].state != unanswered {
            let label = format!("replica {} takes {what}; its answer is lost", packet.replica);
            steps.push(Step { label, state: unanswered });
        }
        steps
    }

    fn restart(&self, state: &ClaimsState, replica: usize) -> Step<ClaimsState> {
        let mut next = state.clone();
        next.restarts += 1;
        let memory = Arc::new(self.fresh_memory(Self::replica_clock(state.second, false)));
        next.replicas[replica] = Replica { memory, first_life: false };
        Step { label: format!("replica {replica} restarts without memory"), state: next }
    }

    /// All endings of a dispatch that is under way.
    fn dispatched(&self, state: &ClaimsState, number: usize) -> Vec<Step<ClaimsState>> {
        let mut steps = vec![
            state.ran(number, true, RunResult::Completed { answer: "a".into() }, "runs and answers"),
            state.ran(number, false, not_run(false), "is refused as not run"),
        ];
        let unclear = RunResult::Unknown { message: String::new() };
        if self.fault == ClaimsFault::ResendAfterUnclearEnding && state.tries[number].resends == 0 {
            let mut step =
                state.ran(number, true, not_run(true), "runs, its answer is lost, and it is sent again");
            step.state.tries[number].resends = 1;
            steps.push(step);
        } else {
            steps.push(state.ran(number, true, unclear.clone(), "runs and its answer is lost"));
            steps.push(state.ran(number, false, unclear, "is lost on the way"));
        }
        steps
    }
}

fn not_run(others_left: bool) -> RunResult {
    RunResult::NotRun { code: RefusalCode::Unavailable, message: String::new(), others_left }
}

impl Packet {
    fn is_ending(&self) -> bool {
        matches!(*self.message, ClaimMessage::Record { .. } | ClaimMessage::Release { .. })
    }
}

impl ClaimsState {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000 * self.second)
    }

    fn event(&mut self, number: usize, event: ClaimEvent) {
        let now = self.now();
        let Some(coordinator) = &mut self.tries[number].coordinator else { return };
        let actions = Arc::make_mut(coordinator).handle(event, now);
        self.carry_out(number, actions);
    }

    fn carry_out(&mut self, number: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => {
                    let replica = to.as_str().parse().unwrap_or_default();
                    self.packets.insert(Packet { replica, from_try: number, message: Arc::new(message) });
                }
                ClaimAction::Dispatch => self.tries[number].dispatches += 1,
                ClaimAction::WakeAt(at) => self.tries[number].wake = Some(at),
                ClaimAction::End(ending) => self.ended(number, &ending),
            }
        }
    }

    fn ended(&mut self, number: usize, ending: &ClaimOutcome) {
        match ending {
            ClaimOutcome::Answered { answer, .. } => self.wrong_answer |= self.runs == 0 || answer != "a",
            ClaimOutcome::Refused(refusal) => {
                let under_way = self.tries.iter().any(|other| other.dispatches > 0);
                let claims_not_run = refusal.outcome == Outcome::NotRun;
                self.false_not_run |= claims_not_run && (self.runs > 0 || under_way);
            }
        }
        // What an ended try still does is only its dispatch and its messages on the way.
        self.tries[number].wake = None;
    }

    fn reply(&mut self, packet: &Packet, reply: ClaimReply) {
        let replica = NodeId::from(packet.replica.to_string());
        let event = match *packet.message {
            ClaimMessage::Claim { .. } => ClaimEvent::Replied { replica, reply },
            ClaimMessage::Record { .. } => ClaimEvent::Noted { replica },
            ClaimMessage::Release { .. } | ClaimMessage::Seal { .. } => return,
        };
        let coordinator = self.tries[packet.from_try].coordinator.as_ref();
        if coordinator.is_some_and(|coordinator| !coordinator.has_ended()) {
            self.event(packet.from_try, event);
        }
    }

    fn ran(&self, number: usize, effect: bool, result: RunResult, what: &str) -> Step<Self> {
        let mut next = self.clone();
        next.tries[number].dispatches -= 1;
        next.runs += u8::from(effect);
        next.event(number, ClaimEvent::DispatchEnded(result));
        Step { label: format!("the dispatch of try {number} {what}"), state: next }
    }

    /// Whether nothing can be dispatched or answered any more.
    fn is_over(&self) -> bool {
        self.tries.iter().all(|attempt| {
            let ended = attempt.coordinator.as_ref().is_some_and(|coordinator| coordinator.has_ended());
            ended && attempt.dispatches == 0
        })
    }

    fn lose(&self, packet: &Packet) -> Step<Self> {
        let mut next = self.clone();
        next.packets.remove(packet);
        let what = message_name(&packet.message);
        Step {
            label: format!("{what} of try {} to replica {} is lost", packet.from_try, packet.replica),
            state: next,
        }
    }

    fn may_restart(&self, replica: usize) -> bool {
        let named = replica == 0 || !self.replicas[replica - 1].first_life;
        named && self.replicas[replica].memory.usage().entries > 0
    }

    fn second_passes(&self) -> Step<Self> {
        let mut next = self.clone();
        next.second += 1;
        Step { label: "a second passes".to_owned(), state: next }
    }

    fn wake(&self, number: usize) -> Step<Self> {
        let mut next = self.clone();
        next.tries[number].wake = None;
        next.event(number, ClaimEvent::Tick);
        Step { label: format!("the timer of try {number} fires"), state: next }
    }
}

impl Specification for ClaimsSpecification {
    type State = ClaimsState;

    fn initial(&self) -> ClaimsState {
        let memory = Arc::new(ClaimReplica::new(Self::settings(), EPOCH, Self::replica_clock(0, true)));
        let replica = Replica { memory, first_life: true };
        let fresh = Try { coordinator: None, wake: None, dispatches: 0, resends: 0 };
        let idle = ClaimsState {
            second: START_SECOND,
            replicas: vec![replica; self.replica_count()],
            tries: vec![fresh; TRIES],
            packets: BTreeSet::new(),
            restarts: 0,
            runs: 0,
            false_not_run: false,
            wrong_answer: false,
        };
        self.begin(&idle, 0).state
    }

    fn steps(&self, state: &ClaimsState) -> Vec<Step<ClaimsState>> {
        let mut steps = Vec::new();
        if state.is_over() {
            return steps;
        }
        if let Some(packet) = state.packets.iter().find(|packet| packet.is_ending() && !self.late_endings) {
            steps.extend(self.deliver(state, packet));
            steps.push(state.lose(packet));
            return steps;
        }
        for (number, attempt) in state.tries.iter().enumerate() {
            if attempt.coordinator.is_none() {
                steps.push(self.begin(state, number));
            }
            if attempt.dispatches > 0 {
                steps.extend(self.dispatched(state, number));
            }
            if attempt.wake.is_some_and(|wake| wake <= state.now()) {
                steps.push(state.wake(number));
            }
        }
        steps.extend(state.packets.iter().flat_map(|packet| self.deliver(state, packet)));
        if state.restarts < self.restarts {
            let may_restart = |replica: &usize| state.may_restart(*replica);
            steps.extend(
                (0..state.replicas.len()).filter(may_restart).map(|replica| self.restart(state, replica)),
            );
        }
        if state.second < self.last_second {
            steps.push(state.second_passes());
        }
        steps
    }

    fn violation(&self, state: &ClaimsState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a request marked as not repeatable runs at most once");
        }
        if !self.judge_endings {
            return None;
        }
        if state.false_not_run {
            return Some("a refusal that says \"not run\" is true");
        }
        state.wrong_answer.then_some("each caller gets the answer to its own request")
    }
}

fn message_name(message: &ClaimMessage) -> &'static str {
    match message {
        ClaimMessage::Claim { .. } => "the claim",
        ClaimMessage::Record { .. } => "the record",
        ClaimMessage::Release { .. } => "the release",
        ClaimMessage::Seal { .. } => "the seal",
    }
}
