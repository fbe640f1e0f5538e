//! Claims: a request runs at most once, and "not run" is reported only if it did not run.
//!
//! The model has one key, two attempts of the caller at two nodes, and three replicas. Messages are
//! reordered, delayed or lost, and so are replies. Replicas restart without memory, with a clock that is
//! behind that of their first incarnation by the maximum skew. Coordinators crash, or pause past timers.
//!
//! A run begins with the first attempt; the time since the key was issued is a bound. Replicas are symmetric,
//! so they restart in order of their number, and only if they hold an entry.

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

const ATTEMPTS: usize = 2;
const EPOCH: PlacementEpoch = PlacementEpoch(1);
const START_SECOND: u64 = 3;

/// A deliberate fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimsFault {
    None,
    /// A restarted replica grants keys issued before its start.
    RestartedReplicaGrantsOldKeys,
    /// A restarted replica ignores clock skew.
    IgnoredClockSkew,
    /// The attempts use different replicas, as if each node chose by its own membership view.
    ReplicasByView,
    /// A dispatch with an unknown outcome is sent again.
    ResendAfterUnknownOutcome,
}

/// The bounds of the search, and the fault.
#[derive(Clone, Copy, Debug)]
pub struct ClaimsSpecification {
    pub fault: ClaimsFault,
    /// The maximum number of replica restarts.
    pub restarts: u8,
    /// Whether records and releases may be delayed; otherwise each arrives at once or never. Claims may
    /// always be delayed.
    pub late_outcomes: bool,
    /// Whether "not run" and the answers are checked, in addition to the number of runs.
    pub check_outcomes: bool,
    /// The last second of the model's clock, which starts at second 3.
    pub last_second: u64,
    /// The second at which the key was issued, by the caller's clock.
    pub key_second: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Packet {
    replica: usize,
    from_attempt: usize,
    message: Arc<ClaimMessage>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimsState {
    second: u64,
    replicas: Vec<Replica>,
    attempts: Vec<Attempt>,
    packets: BTreeSet<Packet>,
    restarts: u8,
    runs: u8,
    false_not_run: bool,
    wrong_answer: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    memory: Arc<ClaimReplica>,
    first_incarnation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    coordinator: Option<Arc<ClaimCoordinator>>,
    /// When the coordinator's timer fires.
    wake_at: Option<Timestamp>,
    /// Dispatches in flight.
    dispatches: u8,
    resends: u8,
}

impl ClaimsSpecification {
    /// Bounds with which the search takes seconds.
    pub const fn with_fault(fault: ClaimsFault) -> Self {
        Self { fault, restarts: 2, late_outcomes: false, check_outcomes: true, last_second: 3, key_second: 4 }
    }

    fn settings() -> ClaimSettings {
        ClaimSettings {
            clock_skew: Duration::from_secs(1),
            retention: Duration::from_secs(2),
            // The coordinator waits for an unresponsive replica one second, the step of the model's clock.
            reply_timeout: Duration::from_secs(4),
            ..ClaimSettings::default()
        }
    }

    fn key(&self) -> ClaimKey {
        let milliseconds = self.key_second * 1_000;
        let text = format!("{:08x}-{:04x}-7000-8000-000000000000", milliseconds >> 16, milliseconds & 0xffff);
        ClaimKey { tenant: TenantId::from("t"), key: IdempotencyKey::from(text) }
    }

    fn replica_names(&self, attempt_number: usize) -> Vec<NodeId> {
        let first = if self.fault == ClaimsFault::ReplicasByView { attempt_number } else { 0 };
        (first..first + 3).map(|replica| NodeId::from(replica.to_string())).collect()
    }

    fn replica_count(&self) -> usize {
        if self.fault == ClaimsFault::ReplicasByView { 4 } else { 3 }
    }

    /// A replica's clock, which is ahead in its first incarnation.
    fn replica_clock(second: u64, first_incarnation: bool) -> Timestamp {
        Timestamp::from_millis(1_000 * (second + u64::from(first_incarnation)))
    }

    fn restarted_memory(&self, now: Timestamp) -> ClaimReplica {
        let settings = Self::settings();
        match self.fault {
            ClaimsFault::RestartedReplicaGrantsOldKeys => {
                ClaimReplica::with_floor(settings, EPOCH, Timestamp::ZERO)
            }
            ClaimsFault::IgnoredClockSkew => ClaimReplica::with_floor(settings, EPOCH, now),
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
        next.attempts[number].coordinator = Some(Arc::new(coordinator));
        next.apply(number, actions);
        Step { label: format!("attempt {number} starts to claim"), state: next }
    }

    /// A replica handles a message; its reply arrives or is lost.
    fn deliver(&self, state: &ClaimsState, packet: &Packet) -> Vec<Step<ClaimsState>> {
        let mut reply_lost = state.clone();
        reply_lost.packets.remove(packet);
        let target = &mut reply_lost.replicas[packet.replica];
        let now = Self::replica_clock(state.second, target.first_incarnation);
        let reply = Arc::make_mut(&mut target.memory).handle(&packet.message, now);
        let what = format!("{} of attempt {}", message_name(&packet.message), packet.from_attempt);
        let mut replied = reply_lost.clone();
        replied.reply(packet, reply.clone());
        let mut steps = vec![Step {
            label: format!("replica {} handles {what} and replies {reply:?}", packet.replica),
            state: replied,
        }];
        if steps[0].state != reply_lost {
            let label = format!("replica {} handles {what}; its reply is lost", packet.replica);
            steps.push(Step { label, state: reply_lost });
        }
        steps
    }

    fn restart(&self, state: &ClaimsState, replica: usize) -> Step<ClaimsState> {
        let mut next = state.clone();
        next.restarts += 1;
        let memory = Arc::new(self.restarted_memory(Self::replica_clock(state.second, false)));
        next.replicas[replica] = Replica { memory, first_incarnation: false };
        Step { label: format!("replica {replica} restarts without memory"), state: next }
    }

    /// All outcomes of a dispatch in flight.
    fn dispatched(&self, state: &ClaimsState, number: usize) -> Vec<Step<ClaimsState>> {
        let mut steps = vec![
            state.dispatch_ended(
                number,
                true,
                RunResult::Completed { answer: "a".into() },
                "runs and answers",
            ),
            state.dispatch_ended(number, false, not_run(false), "is refused as not run"),
        ];
        let unknown = RunResult::Unknown { message: String::new() };
        if self.fault == ClaimsFault::ResendAfterUnknownOutcome && state.attempts[number].resends == 0 {
            let mut step = state.dispatch_ended(
                number,
                true,
                not_run(true),
                "runs, its answer is lost, and it is sent again",
            );
            step.state.attempts[number].resends = 1;
            steps.push(step);
        } else {
            steps.push(state.dispatch_ended(number, true, unknown.clone(), "runs and its answer is lost"));
            steps.push(state.dispatch_ended(number, false, unknown, "is lost in flight"));
        }
        steps
    }
}

fn not_run(others_left: bool) -> RunResult {
    RunResult::NotRun { code: RefusalCode::Unavailable, message: String::new(), others_left }
}

impl Packet {
    fn is_outcome(&self) -> bool {
        matches!(*self.message, ClaimMessage::Record { .. } | ClaimMessage::Release { .. })
    }
}

impl ClaimsState {
    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1_000 * self.second)
    }

    fn event(&mut self, number: usize, event: ClaimEvent) {
        let now = self.now();
        let Some(coordinator) = &mut self.attempts[number].coordinator else { return };
        let actions = Arc::make_mut(coordinator).handle(event, now);
        self.apply(number, actions);
    }

    fn apply(&mut self, number: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Send { to, message } => {
                    let replica = to.as_str().parse().unwrap_or_default();
                    self.packets.insert(Packet { replica, from_attempt: number, message: Arc::new(message) });
                }
                ClaimAction::Dispatch => self.attempts[number].dispatches += 1,
                ClaimAction::WakeAt(at) => self.attempts[number].wake_at = Some(at),
                ClaimAction::End(outcome) => self.finish(number, &outcome),
            }
        }
    }

    fn finish(&mut self, number: usize, outcome: &ClaimOutcome) {
        match outcome {
            ClaimOutcome::Answered { answer, .. } => self.wrong_answer |= self.runs == 0 || answer != "a",
            ClaimOutcome::Refused(refusal) => {
                let in_flight = self.attempts.iter().any(|other| other.dispatches > 0);
                let claims_not_run = refusal.outcome == Outcome::NotRun;
                self.false_not_run |= claims_not_run && (self.runs > 0 || in_flight);
            }
        }
        // After its outcome, only the attempt's dispatch and its messages in flight continue.
        self.attempts[number].wake_at = None;
    }

    fn reply(&mut self, packet: &Packet, reply: ClaimReply) {
        let replica = NodeId::from(packet.replica.to_string());
        let event = match *packet.message {
            ClaimMessage::Claim { .. } => ClaimEvent::Replied { replica, reply },
            ClaimMessage::Record { .. } => ClaimEvent::Acknowledged { replica },
            ClaimMessage::Release { .. } | ClaimMessage::Seal { .. } => return,
        };
        let coordinator = self.attempts[packet.from_attempt].coordinator.as_ref();
        if coordinator.is_some_and(|coordinator| !coordinator.has_ended()) {
            self.event(packet.from_attempt, event);
        }
    }

    fn dispatch_ended(&self, number: usize, effect: bool, result: RunResult, what: &str) -> Step<Self> {
        let mut next = self.clone();
        next.attempts[number].dispatches -= 1;
        next.runs += u8::from(effect);
        next.event(number, ClaimEvent::DispatchEnded(result));
        Step { label: format!("the dispatch of attempt {number} {what}"), state: next }
    }

    /// Whether no attempt can dispatch or answer any more.
    fn is_finished(&self) -> bool {
        self.attempts.iter().all(|attempt| {
            let ended = attempt.coordinator.as_ref().is_some_and(|coordinator| coordinator.has_ended());
            ended && attempt.dispatches == 0
        })
    }

    fn lose(&self, packet: &Packet) -> Step<Self> {
        let mut next = self.clone();
        next.packets.remove(packet);
        let what = message_name(&packet.message);
        Step {
            label: format!("{what} of attempt {} to replica {} is lost", packet.from_attempt, packet.replica),
            state: next,
        }
    }

    fn may_restart(&self, replica: usize) -> bool {
        let is_next = replica == 0 || !self.replicas[replica - 1].first_incarnation;
        is_next && self.replicas[replica].memory.usage().entries > 0
    }

    fn advance_second(&self) -> Step<Self> {
        let mut next = self.clone();
        next.second += 1;
        Step { label: "a second passes".to_owned(), state: next }
    }

    fn wake(&self, number: usize) -> Step<Self> {
        let mut next = self.clone();
        next.attempts[number].wake_at = None;
        next.event(number, ClaimEvent::Tick);
        Step { label: format!("the timer of attempt {number} fires"), state: next }
    }
}

impl Specification for ClaimsSpecification {
    type State = ClaimsState;

    fn initial(&self) -> ClaimsState {
        let memory = Arc::new(ClaimReplica::new(Self::settings(), EPOCH, Self::replica_clock(0, true)));
        let replica = Replica { memory, first_incarnation: true };
        let fresh = Attempt { coordinator: None, wake_at: None, dispatches: 0, resends: 0 };
        let idle = ClaimsState {
            second: START_SECOND,
            replicas: vec![replica; self.replica_count()],
            attempts: vec![fresh; ATTEMPTS],
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
        if state.is_finished() {
            return steps;
        }
        if let Some(packet) = state.packets.iter().find(|packet| packet.is_outcome() && !self.late_outcomes) {
            steps.extend(self.deliver(state, packet));
            steps.push(state.lose(packet));
            return steps;
        }
        for (number, attempt) in state.attempts.iter().enumerate() {
            if attempt.coordinator.is_none() {
                steps.push(self.begin(state, number));
            }
            if attempt.dispatches > 0 {
                steps.extend(self.dispatched(state, number));
            }
            if attempt.wake_at.is_some_and(|at| at <= state.now()) {
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
            steps.push(state.advance_second());
        }
        steps
    }

    fn violation(&self, state: &ClaimsState) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a request marked as not repeatable runs at most once");
        }
        if !self.check_outcomes {
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
