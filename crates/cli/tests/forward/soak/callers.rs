//! Callers of a soak, and what they sent and got.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::cluster::KEY;
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use super::{ORDINARY, POISON, Play, REMOVED_KEY, Soak, locked};
use crate::{
    raw_caller::{Ending, RawCaller},
    router::Got,
};

/// How long the caller of the request that crashes what runs it waits between two tries.
const POISON_PAUSE: Duration = Duration::from_millis(400);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long a caller waits that was refused, or whose node is away: requests that are refused at once earn retries too, and with
/// more of them no play comes near the retry budget.
const COME_BACK: Duration = Duration::from_millis(300);
const PATHS: [&str; 4] = ["/hold/1", "/quote/1", "/chat/1", "/claim/1"];
/// Paths whose requests may be sent on to a second back end.
const REPEATABLE_PATHS: [&str; 4] = ["/claim/1", "/claim/1", "/claim/1", "/quote/1"];

/// What callers of a play choose from: every other play of namings asks for what may be repeated, or no play would come near the
/// retry budget.
fn paths_of(play: Play, seed: u64) -> [&'static str; 4] {
    match (play, seed % 2) {
        (Play::Namings, 1) => REPEATABLE_PATHS,
        _ => PATHS,
    }
}

/// A service of the place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Model engines.
    Engines,
    /// Booking instances.
    Bookings,
}

/// The service of a path.
pub fn service_of(path: &str) -> Service {
    if path == "/chat/1" || path == "/claim/1" { Service::Engines } else { Service::Bookings }
}

/// What one caller sent and got.
#[derive(Debug)]
pub struct Sent {
    pub id: String,
    pub path: &'static str,
    pub key: &'static str,
    pub body: String,
    pub node: usize,
    pub at: Instant,
    pub got: Option<Got>,
}

/// A request as a caller's retry budget counts it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub service: Service,
    pub at: Instant,
}

impl Soak {
    /// Callers ask from now on for something on this path.
    pub(super) fn ask(&self, path: &str, at: Instant) {
        locked(&self.asked).push(Asked { service: service_of(path), at });
    }

    /// A caller that goes to any node with each request.
    pub(super) async fn call(&self, play: Play, caller: usize, seed: u64, until: Instant) -> Vec<Sent> {
        let mut random = StdRng::seed_from_u64(seed ^ (caller as u64) << 32);
        let paths = paths_of(play, seed);
        let mut sent = Vec::new();
        while Instant::now() < until {
            let node = random.random_range(0..self.nodes());
            let path = paths[random.random_range(0..paths.len())];
            let key = if random.random_range(0..5) == 0 { REMOVED_KEY } else { KEY };
            let id = format!("{caller}-{}-{:x}", sent.len(), random.next_u64());
            let body = match play {
                Play::AllFaults => ORDINARY.to_owned(),
                Play::Namings | Play::Announcements => own_body(&id),
            };
            sent.extend(self.send(node, path, id, key, body).await);
            tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
        }
        sent
    }

    /// The caller of the request that crashes whatever runs it: it comes back all the time, at any node.
    pub(super) async fn call_poison(&self, seed: u64, until: Instant) -> Vec<Sent> {
        let mut random = StdRng::seed_from_u64(seed ^ u64::from(u32::MAX) << 32);
        let mut sent = Vec::new();
        while Instant::now() < until {
            let node = random.random_range(0..self.nodes());
            let id = format!("poison-{}-{:x}", sent.len(), random.next_u64());
            sent.extend(self.send(node, "/chat/1", id, KEY, POISON.into()).await);
            tokio::time::sleep(POISON_PAUSE).await;
        }
        sent
    }

    async fn send(
        &self,
        node: usize,
        path: &'static str,
        id: String,
        key: &'static str,
        body: String,
    ) -> Option<Sent> {
        let router = self.router(node)?;
        let at = Instant::now();
        self.ask(path, at);
        let call = router.send_body(path, &id, key, body.clone());
        let got = tokio::time::timeout(PATIENCE, call).await.ok().flatten();
        Some(Sent { id, path, key, body, node, at, got })
    }

    /// A caller that uses one connection until its process is gone, or it was told to close, and then opens one to any node.
    pub(super) async fn call_on_one_connection(&self, caller: usize, seed: u64, until: Instant) -> Vec<Sent> {
        let mut random = StdRng::seed_from_u64(seed ^ (caller as u64 + 1) << 40);
        let mut sent = Vec::new();
        while Instant::now() < until {
            let node = random.random_range(0..self.nodes());
            let connection = match self.router(node) {
                Some(router) => RawCaller::try_connect(router.callers).await,
                None => None,
            };
            match connection {
                Some(mut connection) => {
                    let paths = paths_of(Play::Namings, seed);
                    self.use_up(&mut connection, node, paths, &mut random, until, &mut sent).await;
                }
                None => tokio::time::sleep(COME_BACK).await,
            }
        }
        sent
    }

    async fn use_up(
        &self,
        connection: &mut RawCaller,
        node: usize,
        paths: [&'static str; 4],
        random: &mut StdRng,
        until: Instant,
        sent: &mut Vec<Sent>,
    ) {
        while Instant::now() < until && connection.is_open() {
            let path = paths[random.random_range(0..paths.len())];
            let id = format!("held-{}-{:x}", sent.len(), random.next_u64());
            let at = Instant::now();
            self.ask(path, at);
            let body = own_body(&id);
            connection.send_body(path, &id, &body).await;
            let ending = connection.ending().await;
            let goes_on = matches!(&ending, Ending::Whole { closes: false, .. });
            let refused = matches!(&ending, Ending::Whole { status: 503, .. });
            sent.push(Sent { id, path, key: KEY, body, node, at, got: got_by(ending) });
            if refused {
                tokio::time::sleep(COME_BACK).await;
            }
            if !goes_on {
                return;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(1..40))).await;
        }
    }
}

/// The body of a request like no other: where engines crash in series under requests that are all the same, these can't be
/// told from one that crashes what runs it, and are rightly held back.
pub fn own_body(id: &str) -> String {
    format!("{ORDINARY} of {id}")
}

fn got_by(ending: Ending) -> Option<Got> {
    match ending {
        Ending::Whole { status, headers, body, .. } => {
            let status = http::StatusCode::from_u16(status).expect("a status");
            Some(Got { status, headers, body, whole: true })
        }
        Ending::Cut(_) => None,
    }
}
