//! Runs one claimed request: claim, dispatch, record, answer.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{AttemptId, NodeId},
    peer::claims::{ClaimKey, ClaimMessage, ClaimReply, Fingerprint, PlacementEpoch, RecordedEnding},
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};

use super::{ClaimSettings, placement::majority, verdict};

/// A silent replica is waited for this part of the reply time-out before the next one is asked.
const PATIENCE_PART: u32 = 4;

/// A request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimedRequest {
    /// The key.
    pub key: ClaimKey,
    /// This try; unique over all nodes and their lives.
    pub owner: AttemptId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The placement that `replicas` is from.
    pub epoch: PlacementEpoch,
    /// The key's replicas.
    pub replicas: Vec<NodeId>,
    /// The caller's deadline.
    pub deadline: Timestamp,
}

/// Something that happens to a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimEvent {
    /// A replica answered a claim.
    Replied {
        /// The replica.
        replica: NodeId,
        /// Its answer.
        reply: ClaimReply,
    },
    /// A replica noted the record of the ending.
    Noted {
        /// The replica.
        replica: NodeId,
    },
    /// A replica could not be reached, or answered too late.
    Unreachable {
        /// The replica.
        replica: NodeId,
    },
    /// A back end's answer to the dispatch.
    DispatchEnded(RunResult),
    /// Time has passed.
    Tick,
}

/// How one dispatch to a back end ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunResult {
    /// The back end ran it to its end.
    Completed {
        /// The answer's body as JSON text.
        answer: String,
    },
    /// The back end said that it has not run it, or it never left this node.
    NotRun {
        /// Why.
        code: RefusalCode,
        /// For people.
        message: String,
        /// Whether another back end may be tried.
        others_left: bool,
    },
    /// Anything else: the request may have run.
    Unknown {
        /// For people.
        message: String,
    },
}

/// What to do for a claimed request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Send a message to a replica.
    Send {
        /// The replica.
        to: NodeId,
        /// The message.
        message: ClaimMessage,
    },
    /// Send the request to one back end, once, and report how that ended.
    Dispatch,
    /// Report [`ClaimEvent::Tick`] at this time.
    WakeAt(Timestamp),
    /// Give the caller its answer.
    End(ClaimOutcome),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The whole answer.
    Answered {
        /// The answer's body as JSON text.
        answer: String,
        /// Whether it is the kept answer of an earlier try.
        replayed: bool,
    },
    /// No answer.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Claiming,
    Running,
    Recording,
    /// The caller has its answer; the back end may still send one.
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
    /// Replicas that have been asked, from the first on.
    asked: usize,
    /// When the next replica is asked although one has not answered.
    ask_next_at: Timestamp,
    noted: Vec<NodeId>,
    answer: Option<String>,
    wait_until: Timestamp,
}

impl ClaimCoordinator {
    /// Begins to claim.
    ///
    /// The replicas are asked in their order until one grants; only then are the rest asked, all at once. Two tries
    /// for one key therefore meet at the first replica that both can reach, and one of them stops there: asked
    /// all at once, each could hold one of the last two replicas, and neither would win.
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
            asked: 0,
            ask_next_at: now + settings.reply_timeout / PATIENCE_PART,
            noted: Vec::new(),
            answer: None,
            wait_until,
        };
        let mut actions = coordinator.ask_next(now);
        actions.push(ClaimAction::WakeAt(coordinator.ask_next_at.min(wait_until)));
        actions.extend(coordinator.conclude_claim(now));
        (coordinator, actions)
    }

    /// Whether the caller has its answer.
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended | Phase::EndedUnknown)
    }

    /// Takes in what happened at `now`.
    pub fn handle(&mut self, event: ClaimEvent, now: Timestamp) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Replied { replica, reply } => self.replied(replica, Some(reply), now),
            ClaimEvent::Unreachable { replica } => self.unreachable(replica, now),
            ClaimEvent::Noted { replica } => self.noted(replica),
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
        let mut actions = self.ask_next(now);
        actions.extend(self.conclude_claim(now));
        actions
    }

    /// Asks one replica more while none has granted, and all of them once one has.
    fn ask_next(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        let next = if self.granted() > 0 {
            self.request.replicas.len()
        } else if self.is_held() || (self.replies.len() < self.asked && now < self.ask_next_at) {
            self.asked
        } else {
            (self.asked + 1).min(self.request.replicas.len())
        };
        let message = self.claim_message(now);
        let send = |to: &NodeId| ClaimAction::Send { to: to.clone(), message: message.clone() };
        let actions = self.request.replicas[self.asked..next].iter().map(send).collect();
        self.asked = next;
        if now >= self.ask_next_at {
            self.ask_next_at = now + self.reply_timeout / PATIENCE_PART;
        }
        actions
    }

    fn tick_claiming(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        if now >= self.ask_next_at {
            actions.extend(self.ask_next(now));
        }
        if now < self.wait_until {
            actions.push(ClaimAction::WakeAt(self.ask_next_at.min(self.wait_until)));
        }
        actions.extend(self.conclude_claim(now));
        actions
    }

    /// Whether another try holds the key at a replica.
    fn is_held(&self) -> bool {
        self.replies.values().any(|reply| matches!(reply, Some(ClaimReply::Held { .. })))
    }

    fn unreachable(&mut self, replica: NodeId, now: Timestamp) -> Vec<ClaimAction> {
        match self.phase {
            Phase::Claiming => self.replied(replica, None, now),
            Phase::Recording => self.noted(replica),
            _ => Vec::new(),
        }
    }

    fn granted(&self) -> usize {
        self.replies.values().filter(|reply| matches!(reply, Some(ClaimReply::Granted))).count()
    }

    /// Dispatches once a majority has granted; gives up once that is ruled out and all replicas have
    /// answered, or at the end of the wait.
    fn conclude_claim(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        if self.phase != Phase::Claiming {
            return Vec::new();
        }
        let needed = majority(self.request.replicas.len());
        if now >= self.request.deadline {
            return self.give_up(verdict::deadline_exceeded());
        }
        if self.granted() >= needed {
            self.phase = Phase::Running;
            return vec![ClaimAction::Dispatch, ClaimAction::WakeAt(self.request.deadline)];
        }
        if let Some(ending) = verdict::known_ending(&self.replies, self.request.fingerprint) {
            return self.give_up(ending);
        }
        let waiting = self.asked - self.replies.len();
        if waiting == 0 || now >= self.wait_until {
            return self.give_up(verdict::not_granted(&self.replies));
        }
        Vec::new()
    }

    /// Ends a request that this try has not run and never will.
    fn give_up(&mut self, ending: ClaimOutcome) -> Vec<ClaimAction> {
        self.phase = Phase::Ended;
        let mut actions = self.release();
        actions.push(ClaimAction::End(ending));
        actions
    }

    fn release(&self) -> Vec<ClaimAction> {
        self.send_to_all(&ClaimMessage::Release {
            key: self.request.key.clone(),
            owner: self.request.owner.clone(),
        })
    }

    fn record(&self, ending: RecordedEnding) -> Vec<ClaimAction> {
        self.send_to_all(&ClaimMessage::Record {
            key: self.request.key.clone(),
            owner: self.request.owner.clone(),
            fingerprint: self.request.fingerprint,
            ending,
        })
    }

    fn dispatch_ended(&mut self, result: RunResult, now: Timestamp) -> Vec<ClaimAction> {
        match (self.phase, result) {
            (Phase::Running, RunResult::Completed { answer }) => self.completed(answer, now),
            (Phase::Running, RunResult::NotRun { others_left: true, .. }) if now < self.request.deadline => {
                vec![ClaimAction::Dispatch]
            }
            (Phase::Running, RunResult::NotRun { code, message, .. }) => {
                self.give_up(ClaimOutcome::Refused(Refusal::not_run(code, message)))
            }
            (Phase::Running, RunResult::Unknown { message }) => {
                self.end_unknown(Refusal::unknown(RefusalCode::BackendFailed, message))
            }
            (Phase::EndedUnknown, RunResult::Completed { answer }) => {
                self.phase = Phase::Ended;
                self.record(RecordedEnding::Completed { answer: Some(answer) })
            }
            _ => Vec::new(),
        }
    }

    /// Records the answer before the caller gets it, so that a caller whose connection breaks can ask again.
    fn completed(&mut self, answer: String, now: Timestamp) -> Vec<ClaimAction> {
        self.phase = Phase::Recording;
        self.wait_until = now + self.reply_timeout;
        let mut actions = self.record(RecordedEnding::Completed { answer: Some(answer.clone()) });
        actions.push(ClaimAction::WakeAt(self.wait_until));
        self.answer = Some(answer);
        actions
    }

    fn end_unknown(&mut self, refusal: Refusal) -> Vec<ClaimAction> {
        self.phase = Phase::EndedUnknown;
        let mut actions = self.record(RecordedEnding::Unknown);
        actions.push(ClaimAction::End(ClaimOutcome::Refused(refusal)));
        actions
    }

    fn noted(&mut self, replica: NodeId) -> Vec<ClaimAction> {
        if self.phase != Phase::Recording || self.noted.contains(&replica) {
            return Vec::new();
        }
        self.noted.push(replica);
        if self.noted.len() < majority(self.request.replicas.len()) {
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
