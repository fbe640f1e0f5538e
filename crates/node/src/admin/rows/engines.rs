//! Rows about engines and nodes, and the alerts derived from them.

use std::{collections::BTreeMap, ops::ControlFlow, time::Duration};

use paddlemount_language::{schema::Noun, source::Row, value::Value};
use paddlemount_protocol::{
    engine::LoadedModel,
    identity::{EngineId, NodeId, PoolId},
    peer::membership::{MemberRecord, MemberState},
    time::Timestamp,
};

use super::{NodeSource, Visitor};
use crate::{
    admin::observations::{EngineReport, snake_case},
    engines::EngineEntry,
};

/// Age of the last report at which an engine counts as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(5);
/// Age of the last confirmation at which the configuration counts as unconfirmed.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(9);

/// An engine according to the machine list, its last report and the configuration.
pub(super) struct EngineView {
    pub engine: EngineId,
    pub pool: PoolId,
    entry: EngineEntry,
    report: Option<EngineReport>,
    drained: bool,
    in_flight: usize,
    back_off: Option<Duration>,
}

impl EngineView {
    /// The model that the engine last reported as loaded.
    pub fn loaded(&self) -> Option<&LoadedModel> {
        self.report.as_ref().and_then(|report| report.status.loaded.as_ref())
    }

    fn is_draining(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|report| report.status.draining);
        self.drained || self.entry.leaving || reported
    }

    /// Whether the engine accepts new work, as far as is known.
    pub fn is_ready(&self) -> bool {
        self.loaded().is_some() && !self.is_draining()
    }

    fn reported_at(&self) -> Timestamp {
        self.report.as_ref().map_or(Timestamp::ZERO, |report| report.at)
    }
}

impl NodeSource<'_> {
    pub(super) fn engine_views(&self) -> Vec<EngineView> {
        let reports = self.state.observations.reports();
        let mut reports: BTreeMap<EngineId, EngineReport> =
            reports.into_iter().map(|report| (report.status.engine.clone(), report)).collect();
        let in_flight = self.in_flight_by_engine();
        let drained = &self.active.document.configuration.drained;
        let now = self.state.clock.now();
        let views = self.state.directory.engines().into_iter().map(|(engine, entry)| EngineView {
            back_off: self.state.with_router(|router| router.remaining_back_off(&engine, now)),
            pool: entry.pool.clone(),
            report: reports.remove(&engine),
            drained: drained.contains_key(&engine),
            in_flight: in_flight.get(&engine).copied().unwrap_or_default(),
            entry,
            engine,
        });
        views.collect()
    }

    fn in_flight_by_engine(&self) -> BTreeMap<EngineId, usize> {
        let mut counts = BTreeMap::new();
        for record in self.state.observations.running() {
            if let Some(engine) = record.engine() {
                *counts.entry(engine.clone()).or_default() += 1;
            }
        }
        counts
    }

    pub(super) fn visit_engines(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        self.engine_views().iter().map(|view| self.engine_row(view)).try_for_each(visitor)
    }

    fn engine_row(&self, view: &EngineView) -> Row {
        let row = self
            .row(Noun::Engines, view.reported_at())
            .with("engine", view.engine.as_str())
            .with("pool", view.pool.as_str())
            .with("zone", view.entry.zone.as_str())
            .with("draining", view.is_draining())
            .with("rests_ms", view.back_off.map(|back_off| back_off.as_millis() as u64))
            .with("in_flight", view.in_flight);
        let Some(EngineReport { status, .. }) = &view.report else { return row.with("age", Value::None) };
        row.with("incarnation", status.incarnation.0)
            .with("model", status.loaded.as_ref().map(|loaded| loaded.model.to_string()))
            .with("weights", status.loaded.as_ref().map(|loaded| loaded.weights.0))
            .with("role", snake_case(&status.role))
            .with("running", status.load.running)
            .with("waiting", status.load.waiting)
            .with("queued_prefill_tokens", status.load.queued_prefill_tokens)
            .with("cached_blocks", status.load.cached_blocks)
            .with("fence", status.fence.0)
    }

    /// This node, the members of its region, and nodes of other regions by the machine list.
    pub(super) fn visit_nodes(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        visitor(self.own_node_row())?;
        let own = &self.state.settings.node;
        let members: Vec<MemberRecord> =
            self.state.peers.inspect(|peers, _| peers.members().all().cloned().collect());
        let others = members.iter().filter(|record| record.node != *own);
        others.map(|record| self.member_row(record)).try_for_each(&mut *visitor)?;
        let is_member = |node: &NodeId| members.iter().any(|record| record.node == *node);
        let listed = self.state.directory.nodes().into_iter().filter(|(node, ..)| !is_member(node));
        let rows = listed.filter(|(node, ..)| node != own).map(|(node, address, zone)| {
            let row = Row::new(Noun::Nodes).with("member", node.as_str()).with("zone", zone.as_str());
            row.with("address", address.to_string()).with("node", own.as_str())
        });
        rows.into_iter().try_for_each(visitor)
    }

    fn own_node_row(&self) -> Row {
        let settings = &self.state.settings;
        let state = if self.state.active.is_draining() { "leaving" } else { "alive" };
        self.own_row(Noun::Nodes)
            .with("member", settings.node.as_str())
            .with("zone", settings.zone.as_str())
            .with("region", settings.region.as_str())
            .with("address", settings.listen.peers.to_string())
            .with("incarnation", self.state.incarnation.0)
            .with("state", state)
            .with("revision", self.state.configuration.revision().0)
            .with("in_flight", self.state.active.count())
    }

    /// This node's membership record of another node; its age is unknown.
    fn member_row(&self, record: &MemberRecord) -> Row {
        Row::new(Noun::Nodes)
            .with("node", self.state.settings.node.as_str())
            .with("member", record.node.as_str())
            .with("zone", record.zone.as_str())
            .with("region", record.region.as_str())
            .with("address", record.address.to_string())
            .with("incarnation", record.incarnation.0)
            .with("state", snake_case(&record.state))
    }

    pub(super) fn visit_alerts(&self, visitor: Visitor<'_>) -> ControlFlow<()> {
        self.alerts().into_iter().try_for_each(visitor)
    }

    fn alerts(&self) -> Vec<Row> {
        let mut alerts = Vec::new();
        let confirmed_at = self.state.configuration.confirmed_at();
        if self.now.saturating_since(confirmed_at) > UNCONFIRMED_AFTER {
            let detail =
                "no confirmation of the configuration in force; see: show nodes member, revision, age";
            alerts.push(self.alert(
                "configuration_unconfirmed",
                "warning",
                "configuration",
                confirmed_at,
                detail,
            ));
        }
        let engines = self.engine_views();
        for pool in self.active.document.configuration.pools.keys() {
            if !engines.iter().any(|engine| engine.pool == *pool && engine.is_ready()) {
                let detail =
                    "no engine takes new work; see: show engines where pool = ".to_owned() + pool.as_str();
                alerts.push(self.alert("pool_without_engines", "critical", pool.as_str(), self.now, &detail));
            }
        }
        let members: Vec<MemberRecord> =
            self.state.peers.inspect(|peers, _| peers.members().all().cloned().collect());
        let failing =
            members.iter().filter(|record| matches!(record.state, MemberState::Suspect | MemberState::Dead));
        for record in failing {
            let detail =
                "the node does not answer its peers; callers use others; replace it if it stays away";
            alerts.push(self.alert(
                "node_unreachable",
                "warning",
                record.node.as_str(),
                Timestamp::ZERO,
                detail,
            ));
        }
        for engine in &engines {
            let reported_at = engine.reported_at();
            if self.now.saturating_since(reported_at) > UNRESPONSIVE_AFTER {
                let detail = "the engine has not answered; requests avoid it once one fails";
                alerts.push(self.alert(
                    "engine_silent",
                    "warning",
                    engine.engine.as_str(),
                    reported_at,
                    detail,
                ));
            }
        }
        alerts
    }

    fn alert(&self, name: &str, severity: &str, subject: &str, since: Timestamp, detail: &str) -> Row {
        let since = if since == Timestamp::ZERO { Value::None } else { Value::Time(since) };
        self.own_row(Noun::Alerts)
            .with("alert", name)
            .with("severity", severity)
            .with("subject", subject)
            .with("since", since)
            .with("detail", detail)
    }
}
