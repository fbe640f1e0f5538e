//! The mechanisms by which a node places and admits requests to engines under load. Each is off unless the
//! settings switch it on.

use serde::Deserialize;

/// Settings of placement and admission under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LoadSettings {
    /// Whether cached prefixes are transferred only if that is forecast to take less time than prefilling them.
    pub weigh_transfers: bool,
    /// Whether nodes share what they measure of engines.
    pub share_performance: bool,
    /// Whether engines are chosen by the forecast time to the first event.
    pub forecast: bool,
    /// Whether requests to engines are admitted by the room of their pool.
    pub admission: bool,
    /// Whether silent engines are avoided by all nodes, and streams leave them.
    pub leave_silent: bool,
}

impl LoadSettings {
    /// Whether the demand of callers for engines is measured and shared.
    pub const fn tracks_demand(&self) -> bool {
        self.admission || self.forecast
    }
}
