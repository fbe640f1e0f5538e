//! Runs one claimed request: claim, dispatch, record, answer.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{AttemptId, NodeId},
    peer::claims::{ClaimKey, ClaimMessage, ClaimReply, Fingerprint, PlacementEpoch, RecordedOutcome},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{ClaimSettings, placement::majority, verdict};

/// Fraction of the reply timeout after which the next replica is contacted while one does not reply.
const NEXT_REPLICA_DIVISOR: u32 = 4;

/// A request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimedRequest {
    /// The idempotency key.
    pub key: ClaimKey,
    /// This attempt; unique over all nodes and incarnations.
    pub owner: AttemptId,
    /// The request's digest.
    pub fingerprint: Fingerprint,
    /// The epoch of the placement that `replicas` is from.
    pub epoch: PlacementEpoch,
    pub replicas: Vec<NodeId>,
    pub deadline: Timestamp,
}

/// An input to [`ClaimCoordinator::handle`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimEvent {
    /// A replica replied to a claim.
    Replied {
        replica: NodeId,
        reply: ClaimReply,
    },
    /// A replica acknowledged the recorded outcome.
    Acknowledged {
        replica: NodeId,
    },
    /// A replica could not be reached or replied too late.
    Unreachable {
        replica: NodeId,
    },
    /// A dispatch to a back end ended.
    DispatchEnded(RunResult),
    Tick,
}

/// The result of one dispatch to a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunResult {
    /// The back end completed the request.
    Completed {
        /// The answer's body as JSON text.
        answer: String,
    },
    /// The back end reported that it did not run the request, or the request never left this node.
    NotRun {
        code: RefusalCode,
        message: String,
        /// Whether another back end can be tried.
        others_left: bool,
    },
    /// Any other result: the request may have run.
    Unknown { message: String },
}

/// An output of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    Send {
        to: NodeId,
        message: ClaimMessage,
    },
    /// Send the request to one back end, once, and report the result.
    Dispatch,
    /// Send [`ClaimEvent::Tick`] at this time.
    WakeAt(Timestamp),
    /// Answer the caller.
    End(ClaimOutcome),
}

/// The outcome for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The complete answer.
    Answered {
        /// The answer's body as JSON text.
        answer: String,
        /// Whether it is the stored answer of an earlier attempt.
        replayed: bool,
    },
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Claiming,
    Running,
    Recording,
    /// The caller was answered; the back end may still complete the request.
    EndedUnknown,
    Ended,
}

/// The state machine of one claimed request on the node that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimCoordinator {
    request: ClaimedRequest,
    reply_timeout: Duration,
    phase: Phase,
    replies: BTreeMap<NodeId, Option<ClaimReply>>,
    /// Number of replicas contacted so far, in order.
    contacted: usize,
    /// When the next replica is contacted although one has not replied.
    next_contact_at: Timestamp,
    acknowledged: Vec<NodeId>,
    answer: Option<String>,
    wait_until: Timestamp,
}

impl ClaimCoordinator {
    /// Starts to claim the key.
    ///
    /// The replicas are contacted in order until one grants; then all others at once. Two attempts for one key
    /// therefore meet at the first replica that both can reach, and one of them stops there. If all were
    /// contacted at once, each attempt could be granted one of the last two replicas and neither would win.
    pub fn begin(
        request: ClaimedRequest,
        settings: &ClaimSettings,
        now: Timestamp,
    ) -> (Self, Vec<ClaimAction>) {
        let wait_until = request.deadline.min(now + settings.reply_timeout);
        let mut coordinator = Self {
            request,
            reply_timeout: settings.reply_timeout,
            phase: Phase::Claiming,
            replies: BTreeMap::new(),
            contacted: 0,
            next_contact_at: now + settings.reply_timeout / NEXT_REPLICA_DIVISOR,
            acknowledged: Vec::new(),
            answer: None,
            wait_until,
        };
        let mut actions = coordinator.contact_next(now);
        actions.push(ClaimAction::WakeAt(coordinator.next_contact_at.min(wait_until)));
        actions.extend(coordinator.conclude_claim(now));
        (coordinator, actions)
    }

    /// Whether the caller was answered.
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended | Phase::EndedUnknown)
    }

    /// Handles `event` and returns the resulting actions.
    pub fn handle(&mut self, event: ClaimEvent, now: Timestamp) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Replied { replica, reply } => self.replied(replica, Some(reply), now),
            ClaimEvent::Unreachable { replica } => self.unreachable(replica, now),
            ClaimEvent::Acknowledged { replica } => self.acknowledged(replica),
            ClaimEvent::DispatchEnded(result) => self.dispatch_ended(result, now),
            ClaimEvent::Tick => self.tick(now),
        }
    }

    fn claim_message(&self, now: Timestamp) -> ClaimMessage {
        let run_for = self.request.deadline.saturating_since(now);
        ClaimMessage::Claim {
            epoch: self.request.epoch,
            key: self.request.key.clone(),
            owner: self.request.owner.clone(),
            fingerprint: self.request.fingerprint,
            run_for_ms: u64::try_from(run_for.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn send_to_all(&self, message: &ClaimMessage) -> Vec<ClaimAction> {
        let send = |to: &NodeId| ClaimAction::Send { to: to.clone(), message: message.clone() };
        self.request.replicas.iter().map(send).collect()
    }

    fn replied(&mut self, replica: NodeId, reply: Option<ClaimReply>, now: Timestamp) -> Vec<ClaimAction> {
        if self.phase != Phase::Claiming || !self.request.replicas.contains(&replica) {
            return Vec::new();
        }
        self.replies.entry(replica).or_insert(reply);
        let mut actions = self.contact_next(now);
        actions.extend(self.conclude_claim(now));
        actions
    }

    /// Contacts one more replica while none has granted, and all of them once one has.
    fn contact_next(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        let next = if self.count_granted() > 0 {
            self.request.replicas.len()
        } else if self.is_in_progress() || (self.replies.len() < self.contacted && now < self.next_contact_at)
        {
            self.contacted
        } else {
            (self.contacted + 1).min(self.request.replicas.len())
        };
        let message = self.claim_message(now);
        let send = |to: &NodeId| ClaimAction::Send { to: to.clone(), message: message.clone() };
        let actions = self.request.replicas[self.contacted..next].iter().map(send).collect();
        self.contacted = next;
        if now >= self.next_contact_at {
            self.next_contact_at = now + self.reply_timeout / NEXT_REPLICA_DIVISOR;
        }
        actions
    }

    fn tick_claiming(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if now >= self.next_contact_at {
            actions.extend(self.contact_next(now));
        }
        if now < self.wait_until {
            actions.push(ClaimAction::WakeAt(self.next_contact_at.min(self.wait_until)));
        }
        actions.extend(self.conclude_claim(now));
        actions
    }

    /// Whether a replica reported that another attempt is in progress.
    fn is_in_progress(&self) -> bool {
        self.replies.values().any(|reply| matches!(reply, Some(ClaimReply::InProgress { .. })))
    }

    fn unreachable(&mut self, replica: NodeId, now: Timestamp) -> Vec<ClaimAction> {
        match self.phase {
            Phase::Claiming => self.replied(replica, None, now),
            Phase::Recording => self.acknowledged(replica),
            _ => Vec::new(),
        }
    }

    fn count_granted(&self) -> usize {
        self.replies.values().filter(|reply| matches!(reply, Some(ClaimReply::Granted))).count()
    }

    /// Dispatches once a majority has granted. Abandons the request when the replies show an outcome, when
    /// all contacted replicas have replied, or at the timeout.
    fn conclude_claim(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        if self.phase != Phase::Claiming {
            return Vec::new();
        }
        let needed = majority(self.request.replicas.len());
        if now >= self.request.deadline {
            return self.abandon(verdict::deadline_exceeded());
        }
        if self.count_granted() >= needed {
            self.phase = Phase::Running;
            return vec![ClaimAction::Dispatch, ClaimAction::WakeAt(self.request.deadline)];
        }
        if let Some(outcome) = verdict::known_outcome(&self.replies, self.request.fingerprint) {
            return self.abandon(outcome);
        }
        let waiting = self.contacted - self.replies.len();
        if waiting == 0 || now >= self.wait_until {
            return self.abandon(verdict::not_granted(&self.replies));
        }
        Vec::new()
    }

    /// Ends a request that this attempt has not run and will not run.
    fn abandon(&mut self, outcome: ClaimOutcome) -> Vec<ClaimAction> {
        self.phase = Phase::Ended;
        let mut actions = self.release();
        actions.push(ClaimAction::End(outcome));
        actions
    }

    fn release(&self) -> Vec<ClaimAction> {
        self.send_to_all(&ClaimMessage::Release {
            key: self.request.key.clone(),
            owner: self.request.owner.clone(),
        })
    }

    fn record(&self, outcome: RecordedOutcome) -> Vec<ClaimAction> {
        self.send_to_all(&ClaimMessage::Record {
            key: self.request.key.clone(),
            owner: self.request.owner.clone(),
            fingerprint: self.request.fingerprint,
            outcome,
        })
    }

    fn dispatch_ended(&mut self, result: RunResult, now: Timestamp) -> Vec<ClaimAction> {
        match (self.phase, result) {
            (Phase::Running, RunResult::Completed { answer }) => self.completed(answer, now),
            (Phase::Running, RunResult::NotRun { others_left: true, .. }) if now < self.request.deadline => {
                vec![ClaimAction::Dispatch]
            }
            (Phase::Running, RunResult::NotRun { code, message, .. }) => {
                self.abandon(ClaimOutcome::Refused(Refusal::not_run(code, message)))
            }
            (Phase::Running, RunResult::Unknown { message }) => {
                self.end_unknown(Refusal::unknown(RefusalCode::BackendFailed, message))
            }
            (Phase::EndedUnknown, RunResult::Completed { answer }) => {
                self.phase = Phase::Ended;
                self.record(RecordedOutcome::Completed { answer: Some(answer) })
            }
            _ => Vec::new(),
        }
    }

    /// Records the answer before the caller gets it, so that a caller whose connection breaks can retry.
    fn completed(&mut self, answer: String, now: Timestamp) -> Vec<ClaimAction> {
        self.phase = Phase::Recording;
        self.wait_until = now + self.reply_timeout;
        let mut actions = self.record(RecordedOutcome::Completed { answer: Some(answer.clone()) });
        actions.push(ClaimAction::WakeAt(self.wait_until));
        self.answer = Some(answer);
        actions
    }

    fn end_unknown(&mut self, refusal: Refusal) -> Vec<ClaimAction> {
        self.phase = Phase::EndedUnknown;
        let mut actions = self.record(RecordedOutcome::Unknown);
        actions.push(ClaimAction::End(ClaimOutcome::Refused(refusal)));
        actions
    }

    fn acknowledged(&mut self, replica: NodeId) -> Vec<ClaimAction> {
        if self.phase != Phase::Recording || self.acknowledged.contains(&replica) {
            return Vec::new();
        }
        self.acknowledged.push(replica);
        if self.acknowledged.len() < majority(self.request.replicas.len()) {
            return Vec::new();
        }
        self.answer_caller()
    }

    fn answer_caller(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Ended;
        let answer = self.answer.take();
        answer
            .map(|answer| ClaimAction::End(ClaimOutcome::Answered { answer, replayed: false }))
            .into_iter()
            .collect()
    }

    fn tick(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        match self.phase {
            Phase::Claiming => self.tick_claiming(now),
            Phase::Running if now >= self.request.deadline => self.end_unknown(verdict::run_deadline()),
            Phase::Recording if now >= self.wait_until => self.answer_caller(),
            _ => Vec::new(),
        }
    }
}
