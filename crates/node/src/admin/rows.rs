//! The rows of each noun of the operator language, as seen by one node.

mod configuration;
mod engines;
mod limits;
mod requests;

use std::{ops::ControlFlow, sync::Arc};

use paddlemount_language::{
    schema::{Mechanism, Noun},
    source::{Row, Source},
    value::Value,
};
use paddlemount_protocol::time::Timestamp;

use super::observations::snake_case;
use crate::{configuration::ActiveConfiguration, state::NodeState};
pub use requests::with_candidate;

/// Receives rows until it breaks.
type Visitor<'v> = &'v mut dyn FnMut(Row) -> ControlFlow<()>;

/// A snapshot of one node's rows.
pub struct NodeSource<'a> {
    pub(super) state: &'a NodeState,
    active: Arc<ActiveConfiguration>,
    now: Timestamp,
}

impl<'a> NodeSource<'a> {
    /// Takes a snapshot of a node.
    pub fn new(state: &'a NodeState) -> Self {
        Self { state, active: state.configuration.load(), now: state.clock.now() }
    }

    /// An empty row of this node, with the age of information from `at`.
    fn row(&self, noun: Noun, at: Timestamp) -> Row {
        let age = self.now.saturating_since(at);
        let row = Row::new(noun).with("node", self.state.settings.node.as_str());
        row.with("age", Value::Duration(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)))
    }

    /// An empty row about this node's own state.
    pub(super) fn own_row(&self, noun: Noun) -> Row {
        self.row(noun, self.now)
    }

    /// An empty row about the configuration, as old as its last confirmation.
    fn configured_row(&self, noun: Noun) -> Row {
        self.row(noun, self.state.configuration.confirmed_at())
    }

    /// Visits events, all or those of one mechanism.
    fn visit_events(&self, mechanism: Option<Mechanism>, visitor: Visitor<'_>) -> ControlFlow<()> {
        let noun = mechanism.map_or(Noun::Events, Noun::Mechanism);
        let events = self.state.observations.events();
        let selected = events.iter().filter(|event| {
            mechanism.is_none_or(|mechanism| snake_case(&event.mechanism) == mechanism.name())
        });
        selected.map(|event| self.event_row(noun, event)).try_for_each(visitor)
    }
}

impl Source for NodeSource<'_> {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn visit(&self, noun: Noun, visitor: Visitor<'_>) {
        let _ = match noun {
            Noun::Tenants => self.visit_tenants(visitor),
            Noun::Pools => self.visit_pools(visitor),
            Noun::Services => self.visit_services(visitor),
            Noun::Versions => self.visit_versions(visitor),
            Noun::Changes => self.visit_changes(visitor),
            Noun::Engines => self.visit_engines(visitor),
            Noun::Nodes => self.visit_nodes(visitor),
            Noun::Alerts => self.visit_alerts(visitor),
            Noun::Requests => self.visit_requests(visitor),
            Noun::Decisions => self.visit_decisions(visitor),
            Noun::Events => self.visit_events(None, visitor),
            Noun::Mechanism(mechanism) => self.visit_events(Some(mechanism), visitor),
            Noun::Prefixes => self.prefix_rows().into_iter().try_for_each(visitor),
            Noun::Limits => self.visit_limits(visitor),
            Noun::Claims | Noun::Leases | Noun::Orders => ControlFlow::Continue(()),
        };
    }
}
