//! Counts a request as load on its back end, and records when its answer begins.

use std::rc::Rc;

use paddlemount_core::{
    forwarding::{backends::BackendId, choice::Choice, forecast::EngineWorkload},
    health::HealthEvent,
};
use paddlemount_protocol::{
    fleet::BackendProcess,
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use crate::{connection::Connection, engine_contact::EngineContact, node::Node};

/// Counts one request as load on a back end until it is dropped.
pub struct LoadGuard {
    node: Rc<Node>,
    pub backend: BackendId,
    /// The engine process, if its performance is recorded.
    pub process: Option<BackendProcess>,
    /// The process that the request is sent to.
    target: BackendProcess,
    began: Timestamp,
    /// The tokens to prefill, until the first event.
    pending_prefill_tokens: Option<u64>,
    /// The work at the back end when it was chosen.
    workload: EngineWorkload,
    /// Watches whether the back end answers, once the request was sent.
    pub(crate) contact: Option<EngineContact>,
    /// The service, while the request waits for its back end's bytes.
    awaited: Option<ServiceId>,
    /// Whether the back end was waited for although it was overdue: the time tells its silence, not its speed.
    pub(crate) is_overdue: bool,
    /// The node that serves the request instead, whose engines are not counted here.
    intermediary: Option<NodeId>,
}

impl std::fmt::Debug for LoadGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("LoadGuard").field("backend", &self.backend).finish_non_exhaustive()
    }
}

impl LoadGuard {
    pub(crate) fn begin(node: &Rc<Node>, choice: &Choice) -> Self {
        let began = node.now();
        node.state.borrow_mut().chooser.loads.record_start(&choice.backend, choice.expected_tokens, began);
        node.record_health(&choice.backend, HealthEvent::Dispatched, false);
        Self {
            node: Rc::clone(node),
            backend: choice.backend.clone(),
            process: node.recorded_engine(choice),
            target: node.process_of(&choice.backend),
            began,
            pending_prefill_tokens: Some(choice.expected_tokens),
            workload: choice.workload,
            contact: None,
            awaited: None,
            is_overdue: false,
            intermediary: None,
        }
    }

    /// Counts a request that another node serves.
    pub(crate) fn begin_through(node: &Rc<Node>, choice: &Choice) -> Self {
        if let Some(intermediary) = &choice.intermediary {
            node.state.borrow_mut().intermediaries.begin(intermediary, node.now());
        }
        Self {
            node: Rc::clone(node),
            backend: choice.backend.clone(),
            process: None,
            target: node.process_of(&choice.backend),
            began: node.now(),
            pending_prefill_tokens: None,
            workload: choice.workload,
            contact: None,
            awaited: None,
            is_overdue: false,
            intermediary: choice.intermediary.clone(),
        }
    }

    /// Records that the request was sent and waits for the back end.
    pub(crate) fn begin_wait(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let service = state.backends.get(&self.backend).map(|backend| backend.entry.service.clone());
        if let Some(service) = &service {
            state.reachability.begin_wait(service, &self.backend, self.node.now());
        }
        self.awaited = service;
    }

    /// Records that bytes of the back end, or of the node that serves instead, arrived on `connection`.
    pub(crate) fn record_bytes(&self, connection: &Connection) {
        self.node.record_heard(&self.target);
        if let Some(intermediary) = &self.intermediary {
            self.node.state.borrow_mut().intermediaries.record_contact(intermediary, self.node.now());
        }
        if let Some(service) = &self.awaited {
            self.node.record_bytes(service, &self.backend, connection);
        }
    }

    /// Records that the first part of the answer arrived.
    pub fn record_first_chunk(&mut self) {
        if let Some(tokens) = self.pending_prefill_tokens.take() {
            let now = self.node.now();
            let milliseconds = now.saturating_since(self.began).as_secs_f64() * 1_000.0;
            let mut state = self.node.state.borrow_mut();
            state.chooser.loads.record_first_event(&self.backend, tokens, self.began);
            if !self.is_overdue {
                state.chooser.loads.record_latency(&self.backend, milliseconds, now);
            }
            drop(state);
            if let Some(process) = &self.process {
                let measured = now.saturating_since(self.began);
                self.node.record_engine_first_event(process, self.workload, tokens, measured);
            }
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(intermediary) = &self.intermediary {
            state.intermediaries.end(intermediary);
            return;
        }
        if let Some(tokens) = self.pending_prefill_tokens.take() {
            state.chooser.loads.record_first_event(&self.backend, tokens, self.began);
        }
        state.chooser.loads.record_end(&self.backend);
        if let Some(service) = &self.awaited {
            state.reachability.end_wait(service, &self.backend);
        }
    }
}
