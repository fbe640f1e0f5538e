//! Receives the bodies of requests, and tells what callers make the node hold.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use paddlemount_core::caller_memory::Owner;

use crate::{answers::Reason, metrics::Gauge, node::Node, received_body::ReceivedBody};

impl Node {
    /// Receives a body to its end. One of which the announced length is too large is not read at all.
    pub(crate) async fn receive_body(&self, mut body: ReceivedBody, owner: Owner) -> Result<Bytes, Reason> {
        let max_bytes = self.max_body_bytes();
        let announced_bytes =
            body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(Reason::BodyTooLarge);
        }
        if announced_bytes.is_some_and(|bytes| bytes > self.request_bodies.max_body_bytes()) {
            return Err(Reason::NoMemory);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let mut arriving = self.request_bodies.begin(owner, announced_bytes, self.now());
        let mut received_bytes = 0;
        loop {
            let frame = arriving.receive(body.frame(), || self.now()).await.map_err(|_| Reason::NoMemory)?;
            let Some(frame) = frame else { break };
            let Ok(data) = frame.map_err(|_| Reason::RequestBroken)?.into_data() else { continue };
            received_bytes += data.len();
            if received_bytes > max_bytes {
                return Err(Reason::BodyTooLarge);
            }
            arriving.push(&data, self.now()).map_err(|_| Reason::NoMemory)?;
        }
        arriving.finish().map_err(|_| Reason::NoMemory)
    }

    /// What callers make this node hold.
    pub(crate) fn caller_gauges(&self) -> [Gauge; 6] {
        let gauge = |name, value| Gauge { name, value };
        let bodies = self.request_bodies.usage();
        let rooms = self.settings().limits.rooms();
        [
            gauge("paddlemount_forward_body_bytes", bodies.held_bytes as f64),
            gauge("paddlemount_forward_body_bytes_allowed", (rooms.small_bytes + rooms.large_bytes) as f64),
            gauge("paddlemount_forward_bodies_refused", bodies.refused as f64),
            gauge("paddlemount_forward_bodies_evicted", bodies.evicted as f64),
            gauge("paddlemount_forward_caller_connections", self.open_connections.count() as f64),
            gauge(
                "paddlemount_forward_caller_connections_reclaimed",
                self.open_connections.reclaimed() as f64,
            ),
        ]
    }

    /// The configured size in bytes of the largest body.
    fn max_body_bytes(&self) -> usize {
        self.state.borrow().table.as_ref().map_or(0, |table| table.limits().body_bytes)
    }
}
