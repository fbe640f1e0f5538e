//! Rows about quotas and each node's share of them.

use std::ops::ControlFlow;

use paddlemount_language::{schema::Noun, source::Row, value::Value};
use paddlemount_protocol::{configuration::Quota, identity::TenantId};

use super::{NodeSource, Visitor};

impl NodeSource<'_> {
    pub(super) fn visit_limits(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let tenants = self.active.document.configuration.tenants.keys();
        tenants.flat_map(|tenant| self.limit_rows(tenant)).try_for_each(visitor)
    }

    /// One row for each quota that the tenant has.
    fn limit_rows(&self, tenant: &TenantId) -> Vec<Row> {
        let Some(view) = self.state.overload.limit_view(tenant) else { return Vec::new() };
        let in_flight = Value::from(view.in_flight);
        let kinds = [
            ("requests_per_second", requests(&view.quota), requests(&view.share), Value::None),
            ("tokens_per_second", tokens(&view.quota), tokens(&view.share), Value::None),
            ("concurrent_requests", concurrent(&view.quota), concurrent(&view.share), in_flight),
        ];
        let set = kinds.into_iter().filter(|(_, quota, ..)| quota.is_some());
        let rows = set.map(|(kind, quota, share, used)| {
            self.own_row(Noun::Limits)
                .with("tenant", tenant.as_str())
                .with("kind", kind)
                .with("quota", quota)
                .with("share", share)
                .with("used", used)
                .with("refused", self.state.observations.refusals_of(tenant))
        });
        rows.collect()
    }
}

const fn requests(quota: &Quota) -> Option<f64> {
    quota.requests_per_second
}

const fn tokens(quota: &Quota) -> Option<f64> {
    quota.tokens_per_second
}

fn concurrent(quota: &Quota) -> Option<f64> {
    quota.concurrent_requests.map(f64::from)
}
