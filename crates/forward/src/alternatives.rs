//! Which other back end may take over a stream that broke off or stalls.

use paddlemount_core::forwarding::{choice::Choice, transfers::RequestTransfers};

use crate::{
    exchange::{Exchange, is_resumable},
    ports::CopiedRun,
};

impl Exchange {
    /// The back end that holds a copy of the run's memory, from which a broken stream can continue. It must
    /// still have the weights of the run, and the back end that broke off must not have changed its own.
    pub fn copy_of(&self, choice: &Choice) -> Option<(Choice, CopiedRun)> {
        let (holder, scope) = (choice.copy_to.as_ref()?, choice.scope.as_ref()?);
        let state = self.node.state.borrow();
        let changed = state
            .backends
            .get(&choice.backend)
            .is_some_and(|backend| backend.entry.weights.get(&scope.model) != Some(&scope.weights));
        let software = state.backends.get(&holder.backend).and_then(|holder| holder.entry.software.as_ref());
        if !self.binding.admits(software) {
            return None;
        }
        if changed || !state.has_weights(&holder.backend, &scope.model, scope.weights) {
            return None;
        }
        let next = Choice {
            backend: holder.backend.clone(),
            address: holder.address,
            import_from: None,
            import_source: None,
            save_to: None,
            copy_to: None,
            transfers: RequestTransfers::default(),
            ..choice.clone()
        };
        let run = CopiedRun { address: choice.address, request_id: self.id().to_owned() };
        Some((next, run))
    }

    /// Whether another back end could take the stream over now.
    pub fn has_alternative(&mut self) -> bool {
        let has_budget = self.node.retries_left(&self.service) > 0;
        if let Some(choice) = self.record.choice.clone().filter(|_| !is_resumable(self.route.kind)) {
            return has_budget && self.copy_of(&choice).is_some();
        }
        self.history.sent < self.max_attempts() && has_budget && self.has_candidate()
    }

    /// Whether another back end or node could be chosen now.
    pub(crate) fn has_candidate(&mut self) -> bool {
        let known = self.record.choice.clone();
        let is_found = self.choose_backend().is_some();
        self.record.choice = known;
        is_found
    }
}
