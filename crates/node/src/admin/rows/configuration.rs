//! Rows about the configuration and its changes.

use std::{collections::BTreeMap, ops::ControlFlow};

use paddlemount_language::{answer::describe_outcome, schema::Noun, source::Row, value::Value};
use paddlemount_protocol::{
    configuration::{ChangeOutcome, ChangeRecord, Pool, Tenant},
    identity::{PoolId, Revision, TenantId, WeightsVersion},
};

use super::{NodeSource, Visitor};
use crate::admin::observations::AuditEntry;

impl NodeSource<'_> {
    pub(super) fn visit_tenants(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let tenants = &self.active.document.configuration.tenants;
        tenants.iter().map(|(tenant, settings)| self.tenant_row(tenant, settings)).try_for_each(visitor)
    }

    fn tenant_row(&self, tenant: &TenantId, settings: &Tenant) -> Row {
        let models = settings.models.iter().map(ToString::to_string).collect();
        self.configured_row(Noun::Tenants)
            .with("tenant", tenant.as_str())
            .with("weight", settings.weight)
            .with("requests_per_second", settings.quota.requests_per_second)
            .with("tokens_per_second", settings.quota.tokens_per_second)
            .with("concurrent_requests", settings.quota.concurrent_requests)
            .with("models", Value::List(models))
            .with("keys", settings.key_hashes.len())
    }

    pub(super) fn visit_pools(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let pools = &self.active.document.configuration.pools;
        pools.iter().map(|(pool, settings)| self.pool_row(pool, settings)).try_for_each(visitor)
    }

    fn pool_row(&self, pool: &PoolId, settings: &Pool) -> Row {
        let engines = self.engine_views();
        let in_pool = || engines.iter().filter(|engine| engine.pool == *pool);
        let adapters = settings.adapters.iter().map(ToString::to_string).collect();
        self.configured_row(Noun::Pools)
            .with("pool", pool.as_str())
            .with("model", settings.model.as_str())
            .with("weights", settings.weights.0)
            .with("rollout", settings.rollout.map(|version| version.0))
            .with("adapters", Value::List(adapters))
            .with("reuse_weight", settings.reuse_weight)
            .with("engines", in_pool().count())
            .with("ready", in_pool().filter(|engine| engine.is_ready()).count())
    }

    pub(super) fn visit_services(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let services = &self.active.document.configuration.services;
        let rows = services.iter().map(|(service, settings)| {
            self.configured_row(Noun::Services)
                .with("service", service.as_str())
                .with("repeatable_operations", Value::List(settings.repeatable_operations.clone()))
                .with("instances", self.state.directory.instances(service).len())
        });
        rows.into_iter().try_for_each(visitor)
    }

    /// One row for each version that a pool is configured for or that one of its engines has loaded.
    pub(super) fn visit_versions(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let pools = &self.active.document.configuration.pools;
        pools.iter().flat_map(|(pool, settings)| self.version_rows(pool, settings)).try_for_each(visitor)
    }

    fn version_rows(&self, pool: &PoolId, settings: &Pool) -> Vec<Row> {
        let mut engines: BTreeMap<WeightsVersion, (usize, usize)> = BTreeMap::new();
        engines.entry(settings.weights).or_default();
        if let Some(rollout) = settings.rollout {
            engines.entry(rollout).or_default();
        }
        for engine in self.engine_views().iter().filter(|engine| engine.pool == *pool) {
            let Some(loaded) = engine.loaded() else { continue };
            let counts = engines.entry(loaded.weights).or_default();
            counts.0 += 1;
            counts.1 += usize::from(engine.is_ready());
        }
        let rows = engines.into_iter().map(|(version, (total, ready))| {
            let role = match version {
                version if version == settings.weights => "serving",
                version if Some(version) == settings.rollout => "rolling_out",
                _ => "other",
            };
            self.configured_row(Noun::Versions)
                .with("pool", pool.as_str())
                .with("version", version.0)
                .with("model", settings.model.as_str())
                .with("role", role)
                .with("engines", total)
                .with("ready", ready)
        });
        rows.collect()
    }

    /// Changes requested at this node, and accepted changes recorded in the configuration.
    pub(super) fn visit_changes(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        let audited = self.state.observations.audit_trail();
        let recorded = self.active.document.configuration.changes.iter().rev();
        let is_audited = |record: &&ChangeRecord| audited.iter().any(|entry| entry.change == record.id);
        let recorded = recorded.filter(|record| !is_audited(record));
        audited.iter().map(|entry| self.audit_row(entry)).try_for_each(&mut *visitor)?;
        recorded.map(|record| self.record_row(record)).try_for_each(visitor)
    }

    /// The row of a change that was requested at this node.
    pub(in crate::admin) fn audit_row(&self, entry: &AuditEntry) -> Row {
        let (outcome, revision) = outcome_parts(&entry.outcome);
        self.own_row(Noun::Changes)
            .with("change", entry.change.as_str())
            .with("operator", entry.operator.as_str())
            .with("at", entry.at)
            .with("outcome", outcome)
            .with("revision", revision.map(|revision| revision.0))
            .with("based_on", entry.based_on.map(|revision| revision.0))
            .with("command", entry.command.as_str())
            .with("detail", describe_outcome(&entry.outcome))
    }

    /// The row of a change that was accepted elsewhere, as old as the change itself.
    fn record_row(&self, record: &ChangeRecord) -> Row {
        self.row(Noun::Changes, record.at)
            .with("change", record.id.as_str())
            .with("operator", record.operator.as_str())
            .with("at", record.at)
            .with("outcome", "recorded")
            .with("based_on", record.based_on.0)
            .with("command", record.command.as_str())
    }
}

const fn outcome_parts(outcome: &ChangeOutcome) -> (&'static str, Option<Revision>) {
    match outcome {
        ChangeOutcome::InForce { revision, .. } => ("in_force", Some(*revision)),
        ChangeOutcome::Accepted { revision, .. } => ("accepted", Some(*revision)),
        ChangeOutcome::WouldApply { revision } => ("would_apply", Some(*revision)),
        ChangeOutcome::Refused { revision, .. } => ("refused", Some(*revision)),
        ChangeOutcome::Unknown { .. } => ("unknown", None),
    }
}
