//! Matches requests to routes and tenants.

use std::{collections::HashMap, sync::Arc, time::Duration};

use paddlemount_protocol::identity::{ServiceId, TenantId};

use super::document::{Document, IngressLimits, Route, Service, Tenant};

/// A configuration document, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    document: Document,
    /// Routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    tenants: Vec<Arc<Tenant>>,
    by_key: HashMap<String, Arc<Tenant>>,
}

/// The result of matching a request.
#[derive(Clone, Debug)]
pub enum Admission {
    Admitted {
        route: Arc<Route>,
        /// Set if the request has a known key.
        tenant: Option<Arc<Tenant>>,
    },
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the request has no known one.
    UnknownKey,
}

impl RouteTable {
    /// Indexes `document`.
    pub fn new(document: Document) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let tenants: Vec<Arc<Tenant>> = document.tenants.iter().cloned().map(Arc::new).collect();
        let keys = |tenant: &Arc<Tenant>| -> Vec<(String, Arc<Tenant>)> {
            tenant.keys.iter().map(|key| (key.clone(), Arc::clone(tenant))).collect()
        };
        let by_key = tenants.iter().flat_map(keys).collect();
        Self { document, by_host, tenants, by_key }
    }

    /// The indexed document.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// The document's version.
    pub const fn version(&self) -> u64 {
        self.document.version
    }

    /// The ingress limits.
    pub const fn limits(&self) -> IngressLimits {
        self.document.limits
    }

    /// The longest time that an attempt of a stream may take; zero without streams.
    pub fn longest_stream_timeout(&self) -> Duration {
        let streams = self.document.routes.iter().filter(|route| route.kind.is_stream());
        streams.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.document.services.get(name)
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.document.services.iter()
    }

    /// The tightest target latency among the routes that use a service.
    pub fn tightest_target(&self, service: &ServiceId) -> Option<Duration> {
        let uses = |route: &&Route| route.split.iter().any(|share| share.service == *service);
        self.document.routes.iter().filter(uses).map(|route| route.target_latency).min()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// A tenant by name.
    pub fn tenant(&self, name: &TenantId) -> Option<&Arc<Tenant>> {
        self.tenants.iter().find(|tenant| tenant.name == *name)
    }

    /// Matches a request to `host` and `path` with the key `key`.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Admission {
        let Some(route) = self.route(host, path) else { return Admission::NoRoute };
        let tenant = key.and_then(|key| self.by_key.get(key));
        let needs_key = !self.tenants.is_empty() && !route.anonymous;
        if needs_key && tenant.is_none() {
            return Admission::UnknownKey;
        }
        Admission::Admitted { route: Arc::clone(route), tenant: tenant.map(Arc::clone) }
    }

    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}

/// Splits the requests of routes among their services by smooth weighted round robin.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: HashMap<String, Vec<i64>>,
}

impl WeightedRoundRobin {
    /// The index of the share that gets the next request; none if no share has a weight.
    pub fn pick(&mut self, route: &Route) -> Option<usize> {
        if route.split.len() <= 1 {
            return (!route.split.is_empty()).then_some(0);
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.split.len(), 0);
        let mut total = 0;
        for (credit, share) in credits.iter_mut().zip(&route.split) {
            *credit += i64::from(share.weight);
            total += i64::from(share.weight);
        }
        let chosen = (0..credits.len())
            .filter(|&index| route.split[index].weight > 0)
            .max_by_key(|&index| credits[index])?;
        credits[chosen] -= total;
        Some(chosen)
    }

    /// Resets the state, as after a change of the document.
    pub fn clear(&mut self) {
        self.credits.clear();
    }
}
