//! Cost of each role of a node: measurements over sizes on the product's state machines and message
//! encodings, with linear fits and their values at the target size.

pub mod command;
pub mod fit;
pub mod plots;
pub mod roles;

use serde::Serialize;

use fit::Fit;

/// Budget of a node for control traffic, both ways.
pub const BUDGET_BYTES_PER_SECOND: f64 = 8_192.0;

/// Budget of a node for control work, in per cent of one core.
pub const BUDGET_PROCESSOR_PERCENT: f64 = 1.7;

/// Budget of a node for control state.
pub const BUDGET_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// One quantity measured over several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The role of the node.
    pub role: &'static str,
    /// The measured quantity with its unit.
    pub quantity: &'static str,
    /// The varied size with its unit.
    pub over: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    pub fit: Fit,
    pub target_size: f64,
    pub at_target: f64,
    /// Whether the target lies beyond the measured sizes.
    pub is_extrapolated: bool,
    /// The value at the target as a share of the budget, if there is one.
    pub share_of_budget: Option<f64>,
}

impl Slope {
    /// Fits `points` and evaluates the fit at `target_size` against `budget`.
    pub fn new(
        role: &'static str,
        quantity: &'static str,
        over: &'static str,
        points: Vec<(f64, f64)>,
        target_size: f64,
        budget: Option<f64>,
    ) -> Self {
        let fit = Fit::of(&points);
        let at_target = fit.at(target_size);
        let largest = points.iter().map(|(size, _)| *size).fold(0.0, f64::max);
        Self {
            role,
            quantity,
            over,
            points,
            fit,
            target_size,
            at_target,
            is_extrapolated: target_size > largest,
            share_of_budget: budget.map(|budget| at_target / budget),
        }
    }
}
