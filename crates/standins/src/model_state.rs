//! The model behind a stand-in's server, and the path that shows it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use xitca_web::{handler::state::StateRef, http::WebResponse};

use crate::{
    faults::ServiceFaults,
    http::{self, Shared},
};

/// A model that handlers share.
#[derive(Debug)]
pub(crate) struct ModelState<M>(Mutex<M>);

impl<M> ModelState<M> {
    pub(crate) const fn new(model: M) -> Self {
        Self(Mutex::new(model))
    }

    /// The model, to be read or changed. What a handler that panicked has done to it stays.
    pub(crate) fn lock(&self) -> MutexGuard<'_, M> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stand-in whose whole state is one model.
pub(crate) trait HasModel {
    /// What `GET /control/state` shows of it.
    type Model: Serialize;

    /// Its model, locked.
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
    http::ok(&ControlState { faults: shared.gate.faults(), model: &*model })
}
