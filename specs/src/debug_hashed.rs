//! Hashing of state machines that do not implement `Hash`.

use std::{
    fmt::Debug,
    hash::{Hash, Hasher},
    ops::Deref,
    sync::Arc,
};

/// A value that is compared and hashed by its `Debug` output.
#[derive(Clone, Debug)]
pub struct DebugHashed<T> {
    value: Arc<T>,
    text: Arc<str>,
}

impl<T: Debug> DebugHashed<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Self {
        let text = Arc::from(format!("{value:?}"));
        Self { value: Arc::new(value), text }
    }
}

impl<T: Clone + Debug> DebugHashed<T> {
    /// Modifies the value and updates its `Debug` output.
    pub fn update<R>(&mut self, modify: impl FnOnce(&mut T) -> R) -> R {
        let mut value = (*self.value).clone();
        let result = modify(&mut value);
        *self = Self::new(value);
        result
    }
}

impl<T> Deref for DebugHashed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> PartialEq for DebugHashed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<T> Eq for DebugHashed<T> {}

impl<T> Hash for DebugHashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}
