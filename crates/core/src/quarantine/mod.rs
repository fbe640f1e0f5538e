//! Holds back requests under which engines end.
//!
//! A request can be such that each engine that begins to run it crashes. Its caller comes back, at any node, and each
//! time another engine is lost with all that runs there. No budget of repeats ends this, since each try is a request of
//! its own. What ends it is to remember what a request did to the engines before.
//!
//! Nodes tell up the tree which engines ended under which requests. The node at its top that counts [`CRASH_THRESHOLD`] of them in
//! turn, with no run of the request that came to its end meanwhile, concludes that the request is the cause: no engine gets it for
//! [`HOLD_DURATION`]. The conclusion is kept in the metadata store, so that it outlasts all nodes, and told down the tree besides.
//!
//! Ordinary requests that were caught in crashes are not held back: engines that end together, as in a rack that loses
//! power, have a common cause and do not count; a run that comes to its end clears the request, and all nodes are asked for
//! such runs before a conclusion; an engine that ended under a request that is held back already counts against no other; a
//! broken connection counts only where the engine is found to have ended.

mod completions;
mod ends;
mod fingerprint;
mod suspicion;
mod tree;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::RangeInclusive,
    time::Duration,
};

use paddlemount_protocol::{
    identity::NodeId,
    quarantine::{HeldRequest, RequestFingerprint},
    time::Timestamp,
};

use completions::Completions;
use ends::EngineEnds;
pub use fingerprint::Origin;
pub use suspicion::Crash;
use suspicion::Suspicion;
pub use tree::{MAX_REPORTED_EVENTS, ReportBatch};

/// Crashes in turn after which a request is their cause. Two may be chance where engines are replaced one after the
/// other; a third one that follows a caller's return hardly is.
pub const CRASH_THRESHOLD: usize = 3;
/// How long a request is held back: the longest life of a lease that the users' store grants.
pub const HOLD_DURATION: Duration = Duration::from_secs(600);
/// How long crashes count.
const REMEMBERED: Duration = Duration::from_secs(600);
/// How far apart two nodes may place the same moment: reports of it are some milliseconds under way.
const CLOCK_SLACK: Duration = Duration::from_millis(10);
/// How old all crashes but the last must be to conclude anything of them: by then nodes have told which engines ended with
/// them. They report each 200 ms, over two steps.
const SETTLED: Duration = Duration::from_millis(400);
/// How long all nodes must have been asked, before a conclusion, whether runs of the request come to their end: a digest
/// goes down and a report comes up, over two steps.
const ASKED: Duration = Duration::from_millis(600);
/// Ends of runs within this time are told as one: several nodes place the same end at different moments.
const SAME_END: Duration = Duration::from_millis(250);
/// Crashes in turn from which all nodes are asked so.
const SUSPICIOUS: usize = 2;
/// How long what was told from above holds where nothing more is heard.
const TOLD: Duration = Duration::from_secs(30);
/// Requests whose crashes are remembered.
const MOST_SUSPICIONS: usize = 2_048;
/// Requests that are held back.
const MOST_HELD: usize = 1_024;
/// Crashes and ends that wait for the node above.
const MOST_LOGGED: usize = 1_024;

/// How a node knows that a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldSource {
    /// It counted the crashes itself.
    Counted,
    /// The metadata store says so.
    Stored,
    /// The node above says so.
    Parent,
}

/// A request that is held back, as a node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// How it knows.
    pub by: HoldSource,
    /// Since when it knows.
    pub since: Timestamp,
    /// Until when it is held back at the longest.
    pub until: Timestamp,
}

#[derive(Clone, Debug)]
enum News {
    Crash(Crash),
    Completed { fingerprint: RequestFingerprint, at: Timestamp },
}

/// What one node knows of requests under which engines end.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ends: EngineEnds,
    suspicions: BTreeMap<RequestFingerprint, Suspicion>,
    counted: BTreeMap<RequestFingerprint, Timestamp>,
    stored: BTreeMap<RequestFingerprint, Timestamp>,
    told: BTreeMap<RequestFingerprint, Timestamp>,
    told_suspects: BTreeSet<RequestFingerprint>,
    told_at: Option<Timestamp>,
    completions: Completions,
    /// Ends of runs of which nodes above were told, of requests that only they suspect.
    answered: BTreeMap<RequestFingerprint, Timestamp>,
    /// Requests with enough crashes, of which some may be too recent to conclude anything.
    to_review: BTreeSet<RequestFingerprint>,
    news: VecDeque<News>,
    /// The number of the last news.
    last: u64,
}

impl Quarantine {
    /// An engine ended under a run.
    pub fn crashed(&mut self, crash: Crash, now: Timestamp) {
        let fingerprint = crash.fingerprint;
        if now.saturating_since(crash.ended) >= REMEMBERED {
            return;
        }
        self.ends.ended(&crash.engine, crash.ended);
        if self.counted.contains_key(&fingerprint) {
            self.ends.explained(&crash.engine, fingerprint);
        }
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        if !suspicion.crashed(crash.clone()) {
            return;
        }
        self.log(News::Crash(crash));
        self.recount(fingerprint, now);
        if let Some(at) = self.completions.last(&fingerprint) {
            self.completion_told(fingerprint, at, now);
        }
        self.bound_suspicions(fingerprint);
    }

    /// Draws conclusions: requests that are to be held back from now on. To be called several times a second where this
    /// node hears of all crashes that others hear of; one that has seen a part of a lost rack only would be misled.
    pub fn conclude(&mut self, found_by: &NodeId, now: Timestamp) -> Vec<HeldRequest> {
        let mut held = Vec::new();
        for fingerprint in std::mem::take(&mut self.to_review) {
            self.recount(fingerprint, now);
            let Some(suspicion) = self.suspicions.get(&fingerprint) else { continue };
            if suspicion.counted < CRASH_THRESHOLD || self.counted.contains_key(&fingerprint) {
                continue;
            }
            // What ended with the latest may not have been told yet.
            let is_settled = |crash: &Crash| now.saturating_since(crash.ended) >= SETTLED;
            let settled = suspicion.in_turn(|crash| is_settled(crash) && self.ends.speak_against(crash));
            if settled + 1 < CRASH_THRESHOLD || !suspicion.was_asked_about(now, ASKED) {
                self.to_review.insert(fingerprint);
                continue;
            }
            held.extend(suspicion.as_held(found_by));
            self.counted.insert(fingerprint, now);
            bound(&mut self.counted);
        }
        for request in &held {
            request.engines.iter().for_each(|engine| self.ends.explained(engine, request.fingerprint));
        }
        // What the store holds already is not kept a second time.
        held.retain(|request| !self.stored.contains_key(&request.fingerprint));
        held
    }

    /// A run came to its end at this node. Whether that ends a hold.
    pub fn completed(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        self.completions.completed(fingerprint, now);
        self.completion_told(fingerprint, now, now)
    }

    /// A run came to its end at `at`, here or elsewhere: the engines that ended before ended of something else. Whether that
    /// ends a hold.
    fn completion_told(&mut self, fingerprint: RequestFingerprint, at: Timestamp, now: Timestamp) -> bool {
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else {
            self.answer(fingerprint, at);
            return false;
        };
        if !suspicion.completed(at) {
            return false;
        }
        self.log(News::Completed { fingerprint, at });
        self.recount(fingerprint, now);
        let over =
            self.suspicions.get(&fingerprint).is_some_and(|suspicion| suspicion.counted < CRASH_THRESHOLD);
        over && self.counted.remove(&fingerprint).is_some()
    }

    /// Tells above of the end of a run of a request that others suspect or hold back, once for each.
    fn answer(&mut self, fingerprint: RequestFingerprint, at: Timestamp) {
        let suspected = self.told_suspects.contains(&fingerprint) || self.is_known(&fingerprint);
        let answered = self.answered.get(&fingerprint).is_some_and(|known| at < *known + SAME_END);
        if suspected && !answered {
            self.answered.insert(fingerprint, at);
            self.log(News::Completed { fingerprint, at });
        }
    }

    /// Counts anew what speaks against a request.
    fn recount(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else { return };
        let count = suspicion.in_turn(|crash| self.ends.speak_against(crash));
        suspicion.set_count(count, SUSPICIOUS, now);
        if count >= CRASH_THRESHOLD {
            self.to_review.insert(fingerprint);
        }
    }

    /// The metadata store holds a conclusion; whether that is news.
    pub fn stored(&mut self, fingerprint: RequestFingerprint, now: Timestamp) -> bool {
        let news = !self.is_known(&fingerprint);
        self.stored.entry(fingerprint).or_insert(now);
        bound(&mut self.stored);
        news
    }

    /// The metadata store no longer holds a conclusion: its time is over, or an operator has removed it. One further crash
    /// brings it back.
    pub fn released(&mut self, fingerprint: &RequestFingerprint, now: Timestamp) -> bool {
        let known = self.stored.remove(fingerprint).is_some();
        let counted = self.counted.remove(fingerprint).is_some();
        self.told.remove(fingerprint);
        let cleared = self.suspicions.get(fingerprint).is_some_and(Suspicion::was_cleared);
        if (known || counted) && !cleared {
            self.on_probation(*fingerprint, now);
        }
        known || counted
    }

    /// The requests of which the store said that they are held back.
    pub fn stored_holds(&self) -> impl Iterator<Item = &RequestFingerprint> {
        self.stored.keys()
    }

    /// Whether and since when a request is held back.
    pub fn held(&self, fingerprint: &RequestFingerprint, now: Timestamp) -> Option<Hold> {
        let sources = [
            (HoldSource::Counted, &self.counted),
            (HoldSource::Stored, &self.stored),
            (HoldSource::Parent, &self.told),
        ];
        sources.into_iter().find_map(|(by, known)| {
            let since = *known.get(fingerprint)?;
            let until = since + HOLD_DURATION;
            (now < until || by == HoldSource::Stored).then_some(Hold { by, since, until })
        })
    }

    /// Whether any request of this origin may be held back: only then is its fingerprint worth computing.
    pub fn may_hold(&self, origin: u64) -> bool {
        let mut maps = [&self.counted, &self.stored, &self.told].into_iter();
        maps.any(|known| known.range(all_of(origin)).next().is_some())
    }

    /// Forgets what no longer counts; requests that are no longer held back.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<RequestFingerprint> {
        if self.told_at.is_some_and(|at| now.saturating_since(at) >= TOLD) {
            self.told.clear();
            self.told_suspects.clear();
        }
        let over = |since: &Timestamp| now.saturating_since(*since) >= HOLD_DURATION;
        let ended: Vec<RequestFingerprint> = self
            .counted
            .iter()
            .filter(|(fingerprint, since)| over(since) && !self.stored.contains_key(*fingerprint))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in &ended {
            self.released(fingerprint, now);
        }
        self.ends.forget_before(now - REMEMBERED);
        self.answered.retain(|_, at| now.saturating_since(*at) < REMEMBERED);
        self.suspicions.retain(|_, suspicion| now.saturating_since(suspicion.last_news()) < REMEMBERED);
        ended
    }

    /// Requests that are held back, as far as this node knows.
    pub fn count_held(&self) -> usize {
        let all: BTreeSet<&RequestFingerprint> =
            self.counted.keys().chain(self.stored.keys()).chain(self.told.keys()).collect();
        all.len()
    }

    /// When this node first heard of the oldest of them.
    pub fn oldest_held(&self) -> Option<Timestamp> {
        self.counted.values().chain(self.stored.values()).chain(self.told.values()).min().copied()
    }

    /// Requests under which engines ended and that are not held back for it.
    pub fn count_suspected(&self) -> usize {
        self.suspicions.len()
    }

    fn is_known(&self, fingerprint: &RequestFingerprint) -> bool {
        let maps = [&self.counted, &self.stored, &self.told];
        maps.into_iter().any(|known| known.contains_key(fingerprint))
    }

    fn on_probation(&mut self, fingerprint: RequestFingerprint, now: Timestamp) {
        let suspicion = self.suspicions.entry(fingerprint).or_default();
        suspicion.carry(CRASH_THRESHOLD - 1, now);
        self.bound_suspicions(fingerprint);
    }

    fn log(&mut self, news: News) {
        self.last += 1;
        self.news.push_back(news);
        if self.news.len() > MOST_LOGGED {
            self.news.pop_front();
        }
    }

    /// Forgets the request against which least speaks, the one not heard of for longest, where there are too many.
    fn bound_suspicions(&mut self, newest: RequestFingerprint) {
        if self.suspicions.len() <= MOST_SUSPICIONS {
            return;
        }
        let others = self.suspicions.iter().filter(|(fingerprint, _)| **fingerprint != newest);
        let least = others.min_by_key(|(_, suspicion)| (suspicion.counted, suspicion.last_news()));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = least {
            self.suspicions.remove(&fingerprint);
        }
    }
}

/// All fingerprints of one origin.
const fn all_of(origin: u64) -> RangeInclusive<RequestFingerprint> {
    RequestFingerprint { origin, content: 0 }..=RequestFingerprint { origin, content: u128::MAX }
}

/// Drops the oldest of the requests that are held back, where there are too many.
fn bound(held: &mut BTreeMap<RequestFingerprint, Timestamp>) {
    if held.len() <= MOST_HELD {
        return;
    }
    let oldest = held.iter().min_by_key(|(_, since)| **since).map(|(fingerprint, _)| *fingerprint);
    if let Some(fingerprint) = oldest {
        held.remove(&fingerprint);
    }
}
