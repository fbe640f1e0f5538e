//! Decides from the operator's document, and from its age, whether a request may be served.

use std::{sync::Arc, time::Duration};

use http::{header, request};
use paddlemount_core::{
    forwarding::{
        document::{Route, Tenant},
        table::Admission,
    },
    limits::ledger::QuotaGrant,
};
use paddlemount_protocol::identity::ServiceId;

use crate::{
    access_log::RequestRecord,
    answers::{Reason, Refusal},
    node::Node,
    ports::RequestHead,
};

/// A request that passed admission.
pub(crate) struct Admitted {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    /// What was charged to the tenant's quota, if it has one.
    pub(crate) grant: Option<QuotaGrant>,
}

/// Finds a request's route and tenant, and picks a service of the route.
pub(crate) fn admit(
    node: &Node,
    parts: &request::Parts,
    head: &RequestHead,
    record: &mut RequestRecord,
) -> Result<Admitted, Refusal> {
    let now = node.now();
    let bounds = node.settings().bounds;
    let (table, age) = {
        let state = node.state.borrow();
        // Without a proof of freshness the table may be outdated, so nothing is served from it.
        let age = state.freshness.age(now).ok_or(Reason::NoConfiguration)?;
        (state.table.clone().ok_or(Reason::NoConfiguration)?, age)
    };
    record.configuration = Some(table.version());
    record.configuration_age = Some(age);
    let is_within = |bound: Duration| age < bound;
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    // An outdated table may lack a route or key that exists by now.
    let unverified = !is_within(bounds.unverified_after());
    match table.admit(host, parts.uri.path(), head.key.as_deref()) {
        Admission::NoRoute | Admission::UnknownKey if unverified => Err(Reason::ConfigurationTooOld.into()),
        Admission::NoRoute => Err(Reason::NoRoute.into()),
        Admission::UnknownKey => Err(Reason::UnknownKey.into()),
        Admission::Admitted { route, tenant } => {
            record.route = Some(Arc::clone(&route));
            record.tenant.clone_from(&tenant);
            if tenant.is_some() && bounds.revocation_fails_closed && !is_within(bounds.stale_after()) {
                return Err(Reason::ConfigurationTooOld.into());
            }
            let service = node.pick_service(&route).ok_or(Reason::NoBackend)?;
            let grant = match &tenant {
                Some(tenant) => charge(node, tenant, head, record)?,
                None => None,
            };
            Ok(Admitted { route, service, grant })
        }
    }
}

/// Charges a request to its tenant's quota.
fn charge(
    node: &Node,
    tenant: &Tenant,
    head: &RequestHead,
    record: &mut RequestRecord,
) -> Result<Option<QuotaGrant>, Refusal> {
    let Some(quota) = &tenant.quota else { return Ok(None) };
    let units = quota.units(head.usage).ok_or(Reason::UsageMalformed)?;
    let now = node.now();
    let mut state = node.state.borrow_mut();
    state.quotas.admit(&tenant.name, units, rand::random(), now).map_err(|refusal| {
        record.quota = state.quotas.view(&tenant.name, now);
        Refusal { reason: Reason::QuotaExceeded, retry_after: Some(refusal.retry_after) }
    })
}
