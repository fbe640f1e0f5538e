//! Exhaustive breadth-first search over the states of a specification.

use std::{
    cell::Cell,
    fmt,
    hash::Hash,
    time::{Duration, Instant},
};

use pathfinding::directed::bfs::bfs;

/// A possible transition from a state.
#[derive(Clone, Debug)]
pub struct Step<S> {
    /// A description for counterexamples.
    pub label: String,
    /// The state after the transition.
    pub state: S,
}

/// A model with a finite number of states.
pub trait Specification {
    /// A state of the whole system, with the history that the invariants need.
    type State: Clone + Eq + Hash;

    /// The initial state.
    fn initial(&self) -> Self::State;

    /// All transitions that are possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// The invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A shortest run that violates an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The labels of its steps, in order.
    pub steps: Vec<String>,
    /// The violated invariant.
    pub violation: &'static str,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "violated: {}", self.violation)?;
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "{:>3}. {step}", number + 1)?;
        }
        Ok(())
    }
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchReport {
    /// The number of expanded states.
    pub states: u64,
    pub elapsed: Duration,
    /// The first violation; `None` if every reachable state satisfies all invariants.
    pub counterexample: Option<Counterexample>,
}

/// Visits the reachable states in breadth-first order until one violates an invariant.
pub fn search<S: Specification>(specification: &S) -> SearchReport {
    let started = Instant::now();
    let states = Cell::new(0);
    let successors = |state: &S::State| {
        states.set(states.get() + 1);
        specification.steps(state).into_iter().map(|step| step.state)
    };
    let path = bfs(&specification.initial(), successors, |state| specification.violation(state).is_some());
    let counterexample = path.map(|path| describe(specification, &path));
    SearchReport { states: states.get(), elapsed: started.elapsed(), counterexample }
}

fn describe<S: Specification>(specification: &S, path: &[S::State]) -> Counterexample {
    let label = |pair: &[S::State]| {
        let steps = specification.steps(&pair[0]);
        let step = steps.into_iter().find(|step| step.state == pair[1]);
        step.map_or_else(String::new, |step| step.label)
    };
    let violation = path.last().and_then(|state| specification.violation(state)).unwrap_or_default();
    Counterexample { steps: path.windows(2).map(label).collect(), violation }
}
