//! Fenced orders to an engine.

use serde::{Deserialize, Serialize};

use super::status::EngineRole;
use crate::identity::{AdapterId, FencingToken, Incarnation, ModelId, WeightsVersion};

/// A fenced order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; the same identity is carried out once.
    pub id: String,
    /// The issuer's fencing token. The engine refuses one lower than the highest it has seen.
    pub token: FencingToken,
    /// The life that is meant. A restarted engine has forgotten its fence, so an order that names
    /// the life it was written for cannot take effect in a later one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// What to do.
    pub command: OrderCommand,
}

/// What an [`Order`] asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Load a model's weights; drops all cached state of the ones before.
    LoadModel {
        /// The model.
        model: ModelId,
        /// The weights.
        weights: WeightsVersion,
    },
    /// Load an adapter over the present weights.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
    /// Take no new work, or take it again.
    SetDraining {
        /// Whether to drain.
        draining: bool,
    },
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The highest fencing token seen, this order's included.
    pub fence: FencingToken,
    /// The engine's life.
    pub incarnation: Incarnation,
}
