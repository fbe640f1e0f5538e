//! Orders to an engine, protected by fencing tokens.

use serde::{Deserialize, Serialize};

use super::status::EngineRole;
use crate::identity::{AdapterId, FencingToken, Incarnation, ModelId, WeightsVersion};

/// A fenced order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; a repeated id is executed once.
    pub id: String,
    /// The issuer's fencing token. The engine refuses a token lower than the highest it has seen.
    pub token: FencingToken,
    /// The incarnation that the order is meant for. An engine forgets its highest token when it restarts, so
    /// this keeps a stale order from taking effect in a later incarnation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    pub command: OrderCommand,
}

/// The action of an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Loads a model's weights and drops all cached state of the previous ones.
    LoadModel {
        model: ModelId,
        weights: WeightsVersion,
    },
    /// Loads an adapter over the current weights.
    LoadAdapter {
        adapter: AdapterId,
    },
    SetRole {
        role: EngineRole,
    },
    /// Starts or stops refusing new work.
    SetDraining {
        draining: bool,
    },
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The highest fencing token seen, including this order's.
    pub fence: FencingToken,
    pub incarnation: Incarnation,
}
