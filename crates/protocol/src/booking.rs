//! API of services other than model engines, such as booking.
//!
//! `POST /run` takes a [`ServiceRequest`] and answers with a [`ServiceResponse`], or with a
//! [`Refusal`](crate::refusal::Refusal) whose outcome is `not_run`. Instances do not deduplicate: a request
//! that is sent twice runs twice, so the router enforces at-most-once execution.

use serde::{Deserialize, Serialize};

use crate::identity::{AttemptId, IdempotencyKey, ServiceInstanceId, TenantId};

/// A request to a service instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRequest {
    pub attempt: AttemptId,
    pub tenant: TenantId,
    /// The caller's key, which the instance only records.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<IdempotencyKey>,
    /// The operation, such as `slot`, `hold` or `charge` for booking.
    pub operation: String,
    pub body: serde_json::Value,
}

/// A service's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceResponse {
    pub attempt: AttemptId,
    pub instance: ServiceInstanceId,
    pub body: serde_json::Value,
}
