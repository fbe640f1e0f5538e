//! Configuration: one of two racing changes wins, an ending is true, and no node's revision falls.
//!
//! Two operators change the same object, based on the same revision, by way of two nodes. A call to the
//! store may take effect long after its sender has given it up, its reply may be lost, and it may never arrive.
//! Any document that the store ever held may reach any node at any later time.

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
    opaque::Opaque,
    search::{Specification, Step},
};

const OPERATORS: usize = 2;
const NODES: usize = 1;

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationFault {
    /// Nothing.
    None,
    /// The store replaces the document whatever its revision is.
    PutWithoutCompare,
    /// A lost reply is taken as a sign that nothing was done.
    LostReplyMeansNothingDone,
}

/// Bounds of the search, and what is broken.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationSpecification {
    /// What is deliberately wrong.
    pub fault: ConfigurationFault,
    /// Calls that fail, replies that are lost and calls that are given up, in all.
    pub failures: u8,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    /// Every document that the store held; the last is the present one.
    documents: Vec<Opaque<RevisedConfiguration>>,
    operators: Vec<Operator>,
    /// Puts that their senders have given up and that may still arrive.
    late: Vec<(usize, Call)>,
    nodes: Vec<Node>,
    failures: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    change: Opaque<ConfigurationChange>,
    call: Option<Call>,
    ending: Option<Opaque<StoreOutcome>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read,
    Put { expected: Revision, configuration: Opaque<Configuration> },
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
    replica: Opaque<Replica>,
    fell: bool,
}

fn change_of(operator: usize) -> ChangeRequest {
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
    fn present(&self) -> Opaque<RevisedConfiguration> {
        self.documents.last().cloned().unwrap_or_else(|| Opaque::new(RevisedConfiguration::default()))
    }

    /// The store carries out a put.
    fn put(&mut self, expected: Revision, configuration: &Configuration, compares: bool) -> StorePutResult {
        let present = self.present().revision;
        if compares && present != expected {
            return StorePutResult::Conflict { revision: present };
        }
        let revision = present.next();
        let document = RevisedConfiguration { revision, configuration: configuration.clone() };
        self.documents.push(Opaque::new(document));
        StorePutResult::Stored { revision }
    }

    /// A call reaches the store, and nobody hears the answer.
    fn arrive(&mut self, call: &Call, compares: bool) {
        if let Call::Put { expected, configuration } = call {
            self.put(*expected, configuration, compares);
        }
    }

    fn take(&mut self, operator: usize, event: ChangeEvent) {
        let operator = &mut self.operators[operator];
        operator.call = None;
        match operator.change.update(|change| change.step(event)) {
            ChangeStep::Read | ChangeStep::RetryRead => operator.call = Some(Call::Read),
            ChangeStep::Put { expected, configuration } => {
                let configuration = Opaque::new(*configuration);
                operator.call = Some(Call::Put { expected, configuration });
            }
            ChangeStep::End(ending) => operator.ending = Some(Opaque::new(ending)),
        }
    }

    fn revision_with(&self, operator: usize) -> Vec<Revision> {
        let id = change_of(operator).id;
        let made = |document: &&Opaque<RevisedConfiguration>| {
            document.configuration.changes.last().is_some_and(|record| record.id == id)
        };
        self.documents.iter().filter(made).map(|document| document.revision).collect()
    }
}

impl ConfigurationSpecification {
    fn compares(&self) -> bool {
        self.fault != ConfigurationFault::PutWithoutCompare
    }

    /// The store answers a call, refuses it, or, where it is a put, takes it late or loses the answer.
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
            Call::Read => ChangeEvent::Read(Ok((*state.present()).clone())),
            Call::Put { expected, configuration } => {
                ChangeEvent::Put(Ok(next.put(*expected, configuration, self.compares())))
            }
        };
        next.take(operator, event);
        let label = format!("the store answers the {} of operator {operator}", call.name());
        Step { label, state: next }
    }

    fn delayed(&self, state: &ConfigurationState, operator: usize, put: &Call) -> Step<ConfigurationState> {
        let mut next = state.clone();
        next.failures += 1;
        next.late.push((operator, put.clone()));
        next.take(operator, ChangeEvent::Put(Err(self.unheard_put())));
        Step { label: format!("operator {operator} gives up a put that is still on its way"), state: next }
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
        next.take(operator, ChangeEvent::Put(Err(self.unheard_put())));
        Step {
            label: format!("the store takes the put of operator {operator}; its reply is lost"),
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
        next.take(operator, event);
        let label = format!("the store refuses the {} of operator {operator}", call.name());
        Step { label, state: next }
    }

    /// What an operator concludes from a put without an answer.
    fn unheard_put(&self) -> StoreFailure {
        if self.fault == ConfigurationFault::LostReplyMeansNothingDone {
            StoreFailure::NotApplied
        } else {
            StoreFailure::Unclear
        }
    }

    fn late_steps(&self, state: &ConfigurationState) -> Vec<Step<ConfigurationState>> {
        let arrive = |(position, (operator, call)): (usize, &(usize, Call))| {
            let mut next = state.clone();
            next.late.remove(position);
            next.arrive(call, self.compares());
            Step { label: format!("a late put of operator {operator} arrives"), state: next }
        };
        state.late.iter().enumerate().map(arrive).collect()
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
                view.fell |= view.replica.revision() < before;
                steps.push(Step { label: format!("node {node} learns revision {revision}"), state: next });
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
            change: Opaque::new(ConfigurationChange::new(change_of(number), Revision(1), now)),
            call: Some(Call::Read),
            ending: None,
        };
        let node = Node { replica: Opaque::new(Replica::new(now, Duration::ZERO, false)), fell: false };
        ConfigurationState {
            documents: vec![Opaque::new(document)],
            operators: (0..OPERATORS).map(operator).collect(),
            late: Vec::new(),
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
                    next.late.push((number, call.clone()));
                }
                next.take(number, ChangeEvent::Deadline);
                if state.failures < self.failures {
                    next.failures += 1;
                    steps.push(Step { label: format!("the time of operator {number} is up"), state: next });
                }
            }
        }
        steps.extend(self.late_steps(state));
        steps.extend(Self::node_steps(state));
        steps
    }

    fn violation(&self, state: &ConfigurationState) -> Option<&'static str> {
        let mut accepted = 0;
        for (number, operator) in state.operators.iter().enumerate() {
            let made = state.revision_with(number);
            if made.len() > 1 {
                return Some("a change is made once");
            }
            match operator.ending.as_deref() {
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
        state.nodes.iter().any(|node| node.fell).then_some("an accepted configuration never reverts")
    }
}
