//! Configuration: one of two conflicting changes wins, reported outcomes are true, and no node's revision
//! decreases.
//!
//! Two operators change the same object, based on the same revision, through two nodes. A call to the store
//! may take effect after its sender has timed out, its reply may be lost, and it may never arrive. Any
//! version of the document may reach any node at any later time.

use std::time::Duration;

use paddlemount_core::configuration::{
    change::{ChangeEvent, ChangeStep, ConfigurationChange, StoreFailure, StoreOutcome},
    replica::Replica,
};
use paddlemount_protocol::{
    configuration::{Change, ChangeRequest, Configuration, RevisedConfiguration, Tenant},
    identity::{ChangeId, OperatorId, Revision, TenantId},
    platform::StorePutResult,
    time::Timestamp,
};

use crate::{
    debug_hashed::DebugHashed,
    search::{Specification, Step},
};

const OPERATORS: usize = 2;
const NODES: usize = 1;

/// A deliberate fault that the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationFault {
    None,
    /// The store replaces the document without comparing its revision.
    PutWithoutCompare,
    /// A lost reply is treated as a put that was not applied.
    LostReplyMeansNotApplied,
}

/// The bounds of the search, and the fault.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSpecification {
    pub fault: ConfigurationFault,
    /// The maximum number of failed calls, lost replies and timeouts.
    pub failures: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    /// Every version of the stored document; the last is the current one.
    documents: Vec<DebugHashed<RevisedConfiguration>>,
    operators: Vec<Operator>,
    /// Puts in flight whose senders have timed out.
    delayed: Vec<(usize, Call)>,
    nodes: Vec<Node>,
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    change: DebugHashed<ConfigurationChange>,
    call: Option<Call>,
    outcome: Option<DebugHashed<StoreOutcome>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read,
    Put { expected: Revision, configuration: DebugHashed<Configuration> },
}

impl Call {
    const fn name(&self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Put { .. } => "put",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    replica: DebugHashed<Replica>,
    decreased: bool,
}

fn change_request(operator: usize) -> ChangeRequest {
    let weight = u32::try_from(operator).unwrap_or_default() + 2;
    ChangeRequest {
        id: ChangeId::from(format!("change {operator}")),
        operator: OperatorId::from(operator.to_string()),
        if_revision: Some(Revision(1)),
        change: Change::PutTenant {
            tenant: TenantId::from("t"),
            settings: Tenant { weight, ..Tenant::default() },
        },
        command: String::new(),
        dry_run: false,
    }
}

impl ConfigurationState {
    fn current(&self) -> DebugHashed<RevisedConfiguration> {
        self.documents.last().cloned().unwrap_or_else(|| DebugHashed::new(RevisedConfiguration::default()))
    }

    /// Applies a put to the store.
    fn put(&mut self, expected: Revision, configuration: &Configuration, compares: bool) -> StorePutResult {
        let current = self.current().revision;
        if compares && current != expected {
            return StorePutResult::Conflict { revision: current };
        }
        let revision = current.next();
        let document = RevisedConfiguration { revision, configuration: configuration.clone() };
        self.documents.push(DebugHashed::new(document));
        StorePutResult::Stored { revision }
    }

    /// A call reaches the store, and its reply is lost.
    fn arrive(&mut self, call: &Call, compares: bool) {
        if let Call::Put { expected, configuration } = call {
            self.put(*expected, configuration, compares);
        }
    }

    fn handle(&mut self, operator: usize, event: ChangeEvent) {
        let operator = &mut self.operators[operator];
        operator.call = None;
        match operator.change.update(|change| change.step(event)) {
            ChangeStep::Read | ChangeStep::RetryRead => operator.call = Some(Call::Read),
            ChangeStep::Put { expected, configuration } => {
                let configuration = DebugHashed::new(*configuration);
                operator.call = Some(Call::Put { expected, configuration });
            }
            ChangeStep::End(outcome) => operator.outcome = Some(DebugHashed::new(outcome)),
        }
    }

    fn revisions_made_by(&self, operator: usize) -> Vec<Revision> {
        let id = change_request(operator).id;
        let made = |document: &&DebugHashed<RevisedConfiguration>| {
            document.configuration.changes.last().is_some_and(|record| record.id == id)
        };
        self.documents.iter().filter(made).map(|document| document.revision).collect()
    }
}

impl ConfigurationSpecification {
    fn compares(&self) -> bool {
        self.fault != ConfigurationFault::PutWithoutCompare
    }

    /// The store answers a call or refuses it; a put may also be delayed, or its reply lost.
    fn call_steps(
        &self,
        state: &ConfigurationState,
        operator: usize,
        call: &Call,
    ) -> Vec<Step<ConfigurationState>> {
        let mut steps = vec![self.answered(state, operator, call)];
        if state.failures >= self.failures {
            return steps;
        }
        if *call != Call::Read {
            steps.push(self.delayed(state, operator, call));
            steps.push(self.reply_lost(state, operator, call));
        }
        steps.push(Self::refused(state, operator, call));
        steps
    }

    fn answered(&self, state: &ConfigurationState, operator: usize, call: &Call) -> Step<ConfigurationState> {
        let mut next = state.clone();
        let event = match call {
            Call::Read => ChangeEvent::Read(Ok((*state.current()).clone())),
            Call::Put { expected, configuration } => {
                ChangeEvent::Put(Ok(next.put(*expected, configuration, self.compares())))
            }
        };
        next.handle(operator, event);
        let label = format!("the store answers the {} of operator {operator}", call.name());
        Step { label, state: next }
    }

    fn delayed(&self, state: &ConfigurationState, operator: usize, put: &Call) -> Step<ConfigurationState> {
        let mut next = state.clone();
        next.failures += 1;
        next.delayed.push((operator, put.clone()));
        next.handle(operator, ChangeEvent::Put(Err(self.unanswered_put())));
        Step { label: format!("operator {operator} times out on a put that is in flight"), state: next }
    }

    fn reply_lost(
        &self,
        state: &ConfigurationState,
        operator: usize,
        put: &Call,
    ) -> Step<ConfigurationState> {
        let mut next = state.clone();
        next.arrive(put, self.compares());
        next.failures += 1;
        next.handle(operator, ChangeEvent::Put(Err(self.unanswered_put())));
        Step {
            label: format!("the store applies the put of operator {operator}; its reply is lost"),
            state: next,
        }
    }

    fn refused(state: &ConfigurationState, operator: usize, call: &Call) -> Step<ConfigurationState> {
        let mut next = state.clone();
        next.failures += 1;
        let event = match call {
            Call::Read => ChangeEvent::Read(Err(StoreFailure::NotApplied)),
            Call::Put { .. } => ChangeEvent::Put(Err(StoreFailure::NotApplied)),
        };
        next.handle(operator, event);
        let label = format!("the store refuses the {} of operator {operator}", call.name());
        Step { label, state: next }
    }

    /// The result of a put without a reply.
    fn unanswered_put(&self) -> StoreFailure {
        if self.fault == ConfigurationFault::LostReplyMeansNotApplied {
            StoreFailure::NotApplied
        } else {
            StoreFailure::Unclear
        }
    }

    fn delayed_steps(&self, state: &ConfigurationState) -> Vec<Step<ConfigurationState>> {
        let arrive = |(position, (operator, call)): (usize, &(usize, Call))| {
            let mut next = state.clone();
            next.delayed.remove(position);
            next.arrive(call, self.compares());
            Step { label: format!("a delayed put of operator {operator} arrives"), state: next }
        };
        state.delayed.iter().enumerate().map(arrive).collect()
    }

    fn node_steps(state: &ConfigurationState) -> Vec<Step<ConfigurationState>> {
        let mut steps = Vec::new();
        for node in 0..state.nodes.len() {
            for document in &state.documents {
                let mut next = state.clone();
                let view = &mut next.nodes[node];
                let before = view.replica.revision();
                let document: RevisedConfiguration = (**document).clone();
                let revision = document.revision;
                view.replica.update(|replica| replica.install_stored(revision, document.configuration));
                view.decreased |= view.replica.revision() < before;
                steps.push(Step { label: format!("node {node} receives revision {revision}"), state: next });
            }
        }
        steps
    }
}

impl Specification for ConfigurationSpecification {
    type State = ConfigurationState;

    fn initial(&self) -> ConfigurationState {
        let now = Timestamp::ZERO;
        let mut configuration = Configuration::default();
        configuration.tenants.insert(TenantId::from("t"), Tenant::default());
        let document = RevisedConfiguration { revision: Revision(1), configuration };
        let operator = |number| Operator {
            change: DebugHashed::new(ConfigurationChange::new(change_request(number), Revision(1), now)),
            call: Some(Call::Read),
            outcome: None,
        };
        let node =
            Node { replica: DebugHashed::new(Replica::new(now, Duration::ZERO, false)), decreased: false };
        ConfigurationState {
            documents: vec![DebugHashed::new(document)],
            operators: (0..OPERATORS).map(operator).collect(),
            delayed: Vec::new(),
            nodes: vec![node; NODES],
            failures: 0,
        }
    }

    fn steps(&self, state: &ConfigurationState) -> Vec<Step<ConfigurationState>> {
        let mut steps = Vec::new();
        for (number, operator) in state.operators.iter().enumerate() {
            if let Some(call) = &operator.call {
                steps.extend(self.call_steps(state, number, call));
                let mut next = state.clone();
                if let Call::Put { .. } = call {
                    next.delayed.push((number, call.clone()));
                }
                next.handle(number, ChangeEvent::Deadline);
                if state.failures < self.failures {
                    next.failures += 1;
                    steps
                        .push(Step { label: format!("operator {number} reaches its deadline"), state: next });
                }
            }
        }
        steps.extend(self.delayed_steps(state));
        steps.extend(Self::node_steps(state));
        steps
    }

    fn violation(&self, state: &ConfigurationState) -> Option<&'static str> {
        let mut accepted = 0;
        for (number, operator) in state.operators.iter().enumerate() {
            let made = state.revisions_made_by(number);
            if made.len() > 1 {
                return Some("a change is made once");
            }
            match operator.outcome.as_deref() {
                Some(StoreOutcome::Stored { revision, .. }) => {
                    accepted += 1;
                    if !made.contains(revision) {
                        return Some("an accepted change is in the store");
                    }
                }
                Some(StoreOutcome::Refused { .. }) if !made.is_empty() => {
                    return Some("a refused change is not made");
                }
                _ => {}
            }
        }
        if accepted > 1 {
            return Some("of two conflicting changes one is refused");
        }
        state.nodes.iter().any(|node| node.decreased).then_some("an accepted configuration never reverts")
    }
}
