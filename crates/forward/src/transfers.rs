//! The rates by which transfers of cached tokens are weighed, and the record of those requested.

use paddlemount_core::forwarding::{
    choice::{Choice, StoreEndpoint},
    transfers::{FALLBACK_OUTPUT_PER_TOKEN, FALLBACK_PREFILL_PER_TOKEN, Link, TransferRates},
};
use paddlemount_protocol::{identity::ServiceId, time::Timestamp};

use crate::{metrics::Counter, node::Node, node_state::NodeState};

impl NodeState {
    /// The rates of a service's engines and of a cache store, from the operator's document; `None` if it does
    /// not state those of the engines.
    pub(crate) fn transfer_rates(
        &self,
        service: &ServiceId,
        store: Option<&StoreEndpoint>,
        now: Timestamp,
    ) -> Option<TransferRates<'_>> {
        let table = self.table.as_ref()?;
        let engine = table.service(service)?.engine.as_ref()?;
        if engine.bytes_per_token == 0 || engine.link_mbps <= 0.0 {
            return None;
        }
        let store = store
            .and_then(|store| table.service(&ServiceId::from(store.id.as_str())))
            .and_then(|service| service.cache_store.as_ref());
        let measured = self.trusted_rates(service, now);
        Some(TransferRates {
            bytes_per_token: engine.bytes_per_token,
            engine: Link { mbps: engine.link_mbps },
            store: Link { mbps: store.map_or(0.0, |store| store.link_mbps) },
            store_zone: store.map(|store| &store.zone),
            prefill_per_token: measured.map_or(FALLBACK_PREFILL_PER_TOKEN, |rates| rates.per_token),
            output_per_token: FALLBACK_OUTPUT_PER_TOKEN,
        })
    }
}

impl Node {
    /// Counts the transfers of an attempt, requested or not, and records the requested ones.
    pub(crate) fn record_transfers(&self, choice: &Choice) {
        let transfers = choice.transfers;
        let kinds = [("import", transfers.import), ("save", transfers.save), ("copy", transfers.copy)];
        for (kind, weighed) in kinds {
            if let Some(verdict) = weighed.verdict.label() {
                self.metrics.count(Counter::Transfers { kind, verdict });
            }
        }
        self.state.borrow_mut().chooser.record_transfers(choice, self.now());
    }
}
