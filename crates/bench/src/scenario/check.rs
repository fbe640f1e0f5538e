//! Range checks of a scenario's values.

use super::{FaultEvent, Scenario, ScenarioError};

struct Checker<'a> {
    origin: &'a str,
}

impl Checker<'_> {
    fn require(
        &self,
        valid: bool,
        key: &str,
        value: impl ToString,
        expected: &'static str,
    ) -> Result<(), ScenarioError> {
        if valid {
            return Ok(());
        }
        let (origin, key, value) = (self.origin.to_owned(), key.to_owned(), value.to_string());
        Err(ScenarioError::OutOfRange { origin, key, value, expected })
    }

    fn count(&self, key: &str, value: usize) -> Result<(), ScenarioError> {
        self.require(value > 0, key, value, "a whole number above 0")
    }

    fn positive(&self, key: &str, value: f64) -> Result<(), ScenarioError> {
        self.require(value > 0.0 && value.is_finite(), key, value, "a number above 0")
    }

    fn not_negative(&self, key: &str, value: f64) -> Result<(), ScenarioError> {
        self.require(value >= 0.0 && value.is_finite(), key, value, "a number of at least 0")
    }

    fn share(&self, key: &str, value: f64) -> Result<(), ScenarioError> {
        self.require((0.0..=1.0).contains(&value), key, value, "a share from 0.0 to 1.0")
    }

    fn range(&self, key: &str, [min, max]: [u32; 2]) -> Result<(), ScenarioError> {
        let value = format!("[{min}, {max}]");
        self.require(min <= max, key, value, "[least, most] with least not above most")
    }
}

/// Checks all values whose valid range is narrower than their type.
pub(super) fn check(origin: &str, scenario: &Scenario) -> Result<(), ScenarioError> {
    let checker = Checker { origin };
    check_sizes(&checker, scenario)?;
    check_reports(&checker, scenario)?;
    check_workload(&checker, scenario)?;
    check_faults(&checker, scenario)
}

fn check_sizes(checker: &Checker<'_>, scenario: &Scenario) -> Result<(), ScenarioError> {
    checker.not_negative("run.warm_up_s", scenario.run.warm_up_s)?;
    checker.positive("run.measured_s", scenario.run.measured_s)?;
    let places = &scenario.places;
    checker.count("places.regions", places.regions)?;
    checker.count("places.zones_per_region", places.zones_per_region)?;
    checker.not_negative("places.caller_ms", places.caller_ms)?;
    checker.not_negative("places.within_zone_ms", places.within_zone_ms)?;
    checker.not_negative("places.between_zones_ms", places.between_zones_ms)?;
    checker.not_negative("places.between_regions_ms", places.between_regions_ms)?;
    checker.not_negative("places.jitter", places.jitter)?;
    let runners = &scenario.runners;
    checker.count("runners.count", runners.count)?;
    let speed = &runners.speed;
    checker.count("runners.speed.cache_blocks", speed.cache_blocks as usize)?;
    checker.count("runners.speed.batch_slots", speed.batch_slots as usize)?;
    checker.count("runners.speed.prefill_chunk_tokens", speed.prefill_chunk_tokens as usize)?;
    checker.positive("runners.speed.prefill_tokens_per_second", speed.prefill_tokens_per_second)?;
    checker.positive("runners.speed.decode_base_ms", speed.decode_base_ms)?;
    checker.not_negative("runners.speed.decode_per_request_ms", speed.decode_per_request_ms)?;
    checker.count("nodes.count", scenario.nodes.count)?;
    checker.count("nodes.attempts", scenario.nodes.attempts as usize)?;
    checker.positive("nodes.deadline_s", scenario.nodes.deadline_s)
}

fn check_reports(checker: &Checker<'_>, scenario: &Scenario) -> Result<(), ScenarioError> {
    let reports = &scenario.reports;
    checker.not_negative("reports.load_lag_ms", reports.load_lag_ms)?;
    checker.positive("reports.status_interval_ms", reports.status_interval_ms)?;
    checker.positive("reports.feed_interval_ms", reports.feed_interval_ms)?;
    checker.not_negative("reports.event_delay_ms", reports.event_delay_ms)?;
    checker.positive("reports.snapshot_interval_ms", reports.snapshot_interval_ms)?;
    checker.share("reports.event_loss", reports.event_loss)?;
    checker.share("policies.reuse_weight", scenario.policies.reuse_weight)
}

fn check_workload(checker: &Checker<'_>, scenario: &Scenario) -> Result<(), ScenarioError> {
    checker.count("tenants (number of groups)", scenario.tenants.len())?;
    for tenant in &scenario.tenants {
        checker.count(&format!("tenants.{}.count", tenant.name), tenant.count)?;
        checker.positive(&format!("tenants.{}.traffic", tenant.name), tenant.traffic)?;
    }
    checker.count("prefixes.levels (number of levels)", scenario.prefixes.levels.len())?;
    for (position, level) in scenario.prefixes.levels.iter().enumerate() {
        checker.count(&format!("prefixes.levels[{position}].fan_out"), level.fan_out)?;
        checker.range(&format!("prefixes.levels[{position}].blocks"), level.blocks)?;
        checker.share(&format!("prefixes.levels[{position}].ends_here"), level.ends_here)?;
    }
    checker.range("prefixes.own_blocks", scenario.prefixes.own_blocks)?;
    checker.not_negative("prefixes.zipf_skew", scenario.prefixes.zipf_skew)?;
    if let Some(period) = scenario.prefixes.shift_period_s {
        checker.positive("prefixes.shift_period_s", period)?;
    }
    checker.positive("arrivals.requests_per_second", scenario.arrivals.requests_per_second)?;
    checker.not_negative("arrivals.ramp_up_s", scenario.arrivals.ramp_up_s)?;
    checker.positive("answers.mean_tokens", scenario.answers.mean_tokens)?;
    checker.count("answers.most_tokens", scenario.answers.max_tokens as usize)
}

fn check_faults(checker: &Checker<'_>, scenario: &Scenario) -> Result<(), ScenarioError> {
    for (position, fault) in scenario.faults.iter().enumerate() {
        let key = |name: &str| format!("faults[{position}].{name}");
        checker.not_negative(&key("at_s"), fault.at_s)?;
        match &fault.event {
            FaultEvent::EngineCrash { engines, down_s } => {
                checker.not_negative(&key("event.engine_crash.down_s"), *down_s)?;
                check_positions(
                    checker,
                    &key("event.engine_crash.engines"),
                    engines,
                    scenario.runners.count,
                )?;
            }
            FaultEvent::NodeRestart { nodes } => {
                check_positions(checker, &key("event.node_restart.nodes"), nodes, scenario.nodes.count)?;
            }
            FaultEvent::EventLoss { share } => checker.share(&key("event.event_loss.share"), *share)?,
            FaultEvent::PrefixShift {} => {}
        }
    }
    Ok(())
}

fn check_positions(
    checker: &Checker<'_>,
    key: &str,
    positions: &[usize],
    count: usize,
) -> Result<(), ScenarioError> {
    for position in positions {
        checker.require(*position < count, key, position, "positions from 0 to one below the count")?;
    }
    Ok(())
}
