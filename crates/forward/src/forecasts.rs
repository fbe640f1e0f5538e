//! Records outcomes for forecasts of the time to the first event, and reports whether these are in use.

use std::time::Duration;

use paddlemount_core::forwarding::{
    choice::Choice,
    forecast::{Forecaster, NEUTRAL_SLOWNESS, Outcome, rates::Rates, time_to_first_event},
};
use paddlemount_protocol::{
    fleet::PoolRates,
    identity::{NodeId, ServiceId},
    time::Timestamp,
};

use crate::{
    exchange::Exchange,
    journal::Event,
    metrics::{Distribution, Gauge},
    node::Node,
    node_state::NodeState,
};

/// The shortest outcome and forecast that are compared as a ratio.
const MIN_COMPARED: Duration = Duration::from_millis(1);

impl Node {
    /// Records the time until the first event of an answer.
    pub(crate) fn record_forecast_outcome(
        &self,
        service: &ServiceId,
        choice: &Choice,
        measured: Duration,
        target: Duration,
    ) {
        if choice.scope.is_none() || !self.settings().load.forecast {
            return;
        }
        if let Some(forecast) = choice.forecast {
            let ratio = measured.max(MIN_COMPARED).as_secs_f64() / forecast.max(MIN_COMPARED).as_secs_f64();
            self.metrics.observe_value(Distribution::ForecastRatio, ratio);
        }
        let outcome = Outcome {
            workload: choice.workload,
            work: choice.work,
            forecast: choice.forecast,
            measured,
            target,
        };
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.forecasters.entry(service.clone()).or_default().record(&outcome, now);
    }

    /// Updates the forecasters, and logs those that came into use, are no longer used, or prefer other engines
    /// for long prompts.
    pub(crate) fn update_forecasts(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !self.settings().load.forecast {
            state.forecasters.clear();
            return;
        }
        let NodeState { forecasters, shared_rates, table, backends, demand, .. } = &mut *state;
        let known = shared_rates.known(forecasters, now);
        for rates in &known {
            forecasters.entry(rates.service.clone()).or_default();
        }
        for (service, forecaster) in forecasters {
            forecaster.use_shared(known.iter().find(|rates| rates.service == *service), now);
            let target = table.as_ref().and_then(|table| table.tightest_target(service));
            let (Some(target), Some(pool)) = (target, backends.pool(service)) else { continue };
            let before = (forecaster.is_trusted(now), share(forecaster));
            let long_prompt_tokens = demand.total(service, now).map(|total| total.long_prompt_tokens);
            forecaster.update(target, pool.len(), long_prompt_tokens, now);
            let trusted = forecaster.is_trusted(now);
            if before != (trusted, share(forecaster)) {
                self.journal.log(&Event::ForecastChanged {
                    service: service.as_str(),
                    trusted,
                    long_tokens: forecaster.long_prompts().map(|long| long.min_tokens),
                    long_share: share(forecaster),
                });
            }
        }
    }

    /// The number of services whose engines are chosen by forecasts.
    pub(crate) fn forecast_gauge(&self, state: &NodeState) -> Gauge {
        let now = self.now();
        let trusted = state.forecasters.values().filter(|forecaster| forecaster.is_trusted(now)).count();
        Gauge { name: "paddlemount_forward_forecasts_trusted", value: trusted as f64 }
    }
}

impl Exchange {
    /// Records the time until the first event of a run that began here.
    pub(crate) fn record_forecast_outcome(&self, choice: &Choice, now: Timestamp) {
        let Some(sent_at) = self.sent_at.filter(|_| self.record.resumed == 0) else { return };
        let measured = now.saturating_since(sent_at);
        self.node.record_forecast_outcome(&self.service, choice, measured, self.route.target_latency);
    }
}

impl NodeState {
    /// The forecast for a choice; `None` without a prompt or without rates.
    pub(crate) fn forecast(&self, service: &ServiceId, choice: &Choice, now: Timestamp) -> Option<Duration> {
        choice.scope.as_ref()?;
        let rates = self.forecasters.get(service)?.measured_rates(now)?;
        let slowness = match self.engines.are_shared {
            true => self.profile(&choice.backend, now).known_slowness(),
            false => NEUTRAL_SLOWNESS,
        };
        Some(time_to_first_event(&rates, slowness, choice.workload, choice.work))
    }

    /// The rates of a service's engines, if forecasts by them may be trusted.
    pub(crate) fn trusted_rates(&self, service: &ServiceId, now: Timestamp) -> Option<Rates> {
        self.forecasters.get(service)?.trusted_rates(now)
    }

    /// The outcomes for the next report to the parent.
    pub(crate) fn rates_report(&mut self, now: Timestamp) -> Vec<PoolRates> {
        self.shared_rates.report(&self.forecasters, now)
    }

    /// The outcomes for the next digest to a child.
    pub(crate) fn rates_digest(&mut self, child: &NodeId, now: Timestamp) -> Vec<PoolRates> {
        self.shared_rates.digest_for(child, &self.forecasters, now)
    }
}

fn share(forecaster: &Forecaster) -> Option<f64> {
    forecaster.long_prompts().map(|long| long.share)
}
