//! The shared model behind a stand-in's server, and the handler that returns it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use xitca_web::{handler::state::StateRef, http::WebResponse};

use crate::{
    faults::ServiceFaults,
    http::{self, Shared},
};

/// A model shared by the handlers of a server.
#[derive(Debug)]
pub(crate) struct ModelState<M>(Mutex<M>);

impl<M> ModelState<M> {
    pub(crate) const fn new(model: M) -> Self {
        Self(Mutex::new(model))
    }

    /// Locks the model. The lock ignores poisoning: changes made by a handler that panicked stay.
    pub(crate) fn lock(&self) -> MutexGuard<'_, M> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stand-in whose state is a single model.
pub(crate) trait HasModel {
    /// The state that `GET /control/state` returns.
    type Model: Serialize;

    /// Locks the model.
    fn model(&self) -> MutexGuard<'_, Self::Model>;
}

impl<M: Serialize> HasModel for ModelState<M> {
    type Model = M;

    fn model(&self) -> MutexGuard<'_, M> {
        self.lock()
    }
}

/// The body of `GET /control/state`.
#[derive(Clone, Debug, Serialize)]
struct ControlState<'a, M> {
    faults: ServiceFaults,
    model: &'a M,
}

/// Handles `GET /control/state`.
pub(crate) async fn show_state<T: HasModel + 'static>(
    StateRef(shared): StateRef<'_, Shared<T>>,
) -> WebResponse {
    let model = shared.standin.model();
    http::ok(&ControlState { faults: shared.fault_injector.faults(), model: &*model })
}
