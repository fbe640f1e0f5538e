//! Asks other nodes which software version began a stream.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use paddlemount_core::forwarding::membership::ASKED;
use paddlemount_protocol::fleet::{FIND_STREAM_PATH, FindStream, FoundStream, StreamKey, StreamOrigin};

use super::replication::post;
use crate::node::Node;

/// How long the others may take to answer: a caller that waits longer could have been served anew elsewhere.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);

/// What is known of a stream over all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Lookup {
    Found {
        origin: StreamOrigin,
        /// The time since it was recorded or confirmed.
        age: Duration,
        /// Where it was found, for log lines.
        at: &'static str,
    },
    /// The nodes that would remember it do not.
    NotFound,
    /// None of them answered, so they may remember it.
    Unanswered,
}

impl Node {
    /// Looks for a stream here, then at the nodes that are to remember it.
    pub(crate) async fn find_stream(self: &Rc<Self>, key: StreamKey) -> Lookup {
        let found = self.state.borrow().stream_records.find(key, self.now());
        if let Some(lookup) = conclude(found, "here") {
            return lookup;
        }
        let mut answers = self.ask_others(key);
        let mut has_answer = false;
        while let Some(found) = answers.next().await {
            let Some(found) = found else { continue };
            has_answer = true;
            if let Some(lookup) = conclude(found, "other_node") {
                return lookup;
            }
        }
        if has_answer { Lookup::NotFound } else { Lookup::Unanswered }
    }

    /// The answers of other nodes as they come; `None` for a node that gave none in time.
    fn ask_others(
        self: &Rc<Self>,
        key: StreamKey,
    ) -> FuturesUnordered<impl Future<Output = Option<FoundStream>> + use<>> {
        let answers = FuturesUnordered::new();
        let Some(peers) = &self.peers else { return answers };
        let peers = peers.borrow();
        let local = &peers.fleet.local_member().node;
        for member in peers.fleet.members().all().ranked(key, local, &BTreeSet::new()).into_iter().take(ASKED)
        {
            let client = self.streams.borrow_mut().replication.client(self, member.address);
            answers.push(async move {
                let body = post(&client, FIND_STREAM_PATH, &FindStream { key }, FIND_TIMEOUT).await?;
                serde_json::from_slice::<FoundStream>(&body).ok()
            });
        }
        answers
    }
}

/// What one node's answer means; `None` if others have to be asked.
fn conclude(found: FoundStream, at: &'static str) -> Option<Lookup> {
    match found {
        FoundStream::Known { origin, age_ms } => {
            Some(Lookup::Found { origin, age: Duration::from_millis(age_ms), at })
        }
        FoundStream::Ambiguous => Some(Lookup::NotFound),
        FoundStream::Unknown => None,
    }
}
