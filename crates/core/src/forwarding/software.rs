//! The software versions of back ends, and which of them may continue a stream.
//!
//! What two versions write does not fit together, so a stream is bound to the version that sent its first event. Nodes
//! record which version that was ([`super::stream_records`]) only while there is more than one: otherwise the history
//! of listed versions proves it.
//!
//! The proof has to hold although nodes learn of a new version at different times. So a node begins no stream at a
//! version that it has first seen less than [`NEW_VERSION_DELAY`] ago, as long as others serve, and trusts its history
//! only while its view of the registry is younger than [`MAX_PROOF_AGE`], which is less.
//!
//! A node that has just started has first seen all versions just now. Which of them others know longer, it learns from
//! the order in which the store created the entries of their back ends.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use paddlemount_protocol::{
    fleet::{SeenSoftware, SoftwareHistoryMessage},
    identity::{Revision, ServiceId, SoftwareVersion},
    time::Timestamp,
};

/// How old the view of the registry may be for a proof that there is only one version.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// How long after it was first seen a version begins streams, if another one serves.
pub const NEW_VERSION_DELAY: Duration = Duration::from_millis(3_000);
/// The longest time for which streams are recorded and versions remembered.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// How recently a version must have been listed to count as serving. Entries are looked through once a second.
const SERVING_AGE: Duration = Duration::from_millis(2_500);
/// How recently a back end must have been listed to take new requests still.
const READY_AGE: Duration = Duration::from_millis(1_200);
/// Tries of a caller for the same stream.
const TRIES: u32 = 2;

/// How long after its first event a stream may be taken up again, if an attempt takes `longest_timeout` at most.
pub fn stream_lifetime(longest_timeout: Duration) -> Duration {
    (longest_timeout * TRIES).min(MAX_STREAM_LIFETIME)
}

/// Which software versions may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareBinding {
    /// No event was sent yet: all.
    #[default]
    Unbound,
    /// The stream began at this version.
    Bound(SoftwareVersion),
    /// The stream began at a version that is not known: none.
    Unknown,
}

impl SoftwareBinding {
    /// The binding of a stream whose first event came from this version, if it is known.
    pub fn to(software: Option<SoftwareVersion>) -> Self {
        software.map_or(Self::Unknown, Self::Bound)
    }

    /// Whether a back end with this version may run the request.
    pub fn admits(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Unbound => true,
            Self::Bound(version) => software == Some(version),
            Self::Unknown => false,
        }
    }

    /// The version that it is bound to.
    pub const fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Bound(version) => Some(version),
            Self::Unbound | Self::Unknown => None,
        }
    }

    /// Whether the stream has begun.
    pub fn has_begun(&self) -> bool {
        *self != Self::Unbound
    }
}

/// When a version was listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    first: Timestamp,
    last: Timestamp,
    /// When a back end was last listed that takes new requests.
    last_ready: Option<Timestamp>,
    /// When the store created the first entry of a back end with it, if this node has read one there.
    created: Option<Revision>,
}

impl Seen {
    /// Whether it is known to have been listed before another version.
    fn is_older_than(&self, other: &Self) -> bool {
        matches!((self.created, other.created), (Some(own), Some(other)) if own < other)
    }
}

/// For which time nothing was missed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Complete {
    #[default]
    Never,
    Since(Timestamp),
    /// Since the first start of the fleet.
    Always,
}

/// The software versions of each service's back ends that were listed lately. `None` stands for unknown ones.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Seen>>,
    complete: Complete,
}

impl SoftwareHistory {
    /// The history at the first start of the whole fleet, before which there was nothing to miss.
    pub fn of_first_start() -> Self {
        Self { services: BTreeMap::new(), complete: Complete::Always }
    }

    /// Records that all back ends are known from `since` on, but not what was listed before.
    pub fn begin(&mut self, since: Timestamp) {
        self.complete = Complete::Since(since);
    }

    /// Whether the whole registry has been known for `lifetime`.
    pub fn is_complete(&self, lifetime: Duration, now: Timestamp) -> bool {
        match self.complete {
            Complete::Never => false,
            Complete::Since(since) => now.saturating_since(since) >= lifetime,
            Complete::Always => true,
        }
    }

    /// Whether the whole registry is known.
    pub fn has_begun(&self) -> bool {
        self.complete != Complete::Never
    }

    /// Records that a back end with this version is listed. Returns whether the version is new.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        software: Option<&SoftwareVersion>,
        now: Timestamp,
    ) -> bool {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else { return false };
        let key = software.cloned();
        match versions.get_mut(&key) {
            Some(seen) => {
                seen.last = seen.last.max(now);
                false
            }
            None => {
                versions.insert(key, Seen { first: now, last: now, last_ready: None, created: None });
                true
            }
        }
    }

    /// Records that a back end with this version, which was observed before, takes new requests.
    pub fn record_ready(&mut self, service: &ServiceId, software: Option<&SoftwareVersion>, now: Timestamp) {
        let versions = self.services.get_mut(service).into_iter().flatten();
        for (_, seen) in versions.filter(|(version, _)| version.as_ref() == software) {
            seen.last_ready = Some(now);
        }
    }

    /// Records when the store created the entry of a back end with this version, which was observed before.
    pub fn record_creation(
        &mut self,
        service: &ServiceId,
        software: Option<&SoftwareVersion>,
        created: Revision,
    ) {
        let versions = self.services.get_mut(service).into_iter().flatten();
        for (_, seen) in versions.filter(|(version, _)| version.as_ref() == software) {
            seen.created = Some(seen.created.map_or(created, |known| known.min(created)));
        }
    }

    /// The only version at which a stream of the service can have begun within `lifetime`, with a view of the registry
    /// of this age.
    pub fn only_version(
        &self,
        service: &ServiceId,
        view_age: Option<Duration>,
        lifetime: Duration,
        now: Timestamp,
    ) -> Option<&SoftwareVersion> {
        let is_fresh = view_age.is_some_and(|age| age <= MAX_PROOF_AGE);
        if !is_fresh || !self.is_complete(lifetime, now) {
            return None;
        }
        let mut recent = self.services.get(service)?.iter().filter(|(_, seen)| {
            // The last look at the registry may have missed a version's end.
            now.saturating_since(seen.last) <= lifetime + SERVING_AGE
        });
        let (version, _) = recent.next()?;
        if recent.next().is_some() {
            return None;
        }
        version.as_ref()
    }

    /// Whether streams may begin at this version: other nodes know of it, or no version serves that they know longer.
    pub fn may_begin(&self, service: &ServiceId, software: Option<&SoftwareVersion>, now: Timestamp) -> bool {
        let Some(versions) = self.services.get(service) else { return true };
        if versions.len() < 2 {
            return true;
        }
        let is_settled = |seen: &Seen| now.saturating_since(seen.first) >= NEW_VERSION_DELAY;
        let is_serving = |seen: &Seen| now.saturating_since(seen.last) <= SERVING_AGE;
        let own = versions.iter().find(|(version, _)| version.as_ref() == software);
        let Some((_, own)) = own.filter(|(_, seen)| !is_settled(seen)) else { return true };
        if versions.values().any(|other| is_settled(other) && is_serving(other)) {
            return false;
        }
        // A node that has just started serves at once where the older version takes no new requests.
        let is_ready = |seen: &Seen| seen.last_ready.is_some_and(|at| now.saturating_since(at) <= READY_AGE);
        self.is_complete(NEW_VERSION_DELAY, now)
            || !versions.values().any(|other| other.is_older_than(own) && is_ready(other))
    }

    /// The versions of a service that are listed, `None` for unknown ones.
    pub fn serving(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceId, Option<&SoftwareVersion>)> {
        self.services.iter().flat_map(move |(service, versions)| {
            let serving =
                versions.iter().filter(move |(_, seen)| now.saturating_since(seen.last) <= SERVING_AGE);
            serving.map(move |(version, _)| (service, version.as_ref()))
        })
    }

    /// Forgets versions that no stream can have begun at any more.
    pub fn sweep(&mut self, now: Timestamp) {
        let kept = MAX_STREAM_LIFETIME + SERVING_AGE;
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| now.saturating_since(seen.last) <= kept);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// The message to another node, with the age of this node's view of the registry.
    pub fn message(&self, view_age: Duration, now: Timestamp) -> SoftwareHistoryMessage {
        let age_ms = |at: Timestamp| now.saturating_since(at).as_millis() as u64;
        let seen = self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|(software, seen)| SeenSoftware {
                service: service.clone(),
                software: software.clone(),
                first_ms: age_ms(seen.first),
                last_ms: age_ms(seen.last),
            })
        });
        let complete_ms = match self.complete {
            Complete::Never => Some(0),
            Complete::Since(since) => Some(age_ms(since)),
            Complete::Always => None,
        };
        let view_age_ms = view_age.as_millis() as u64 + 1;
        SoftwareHistoryMessage { complete_ms, view_age_ms, seen: seen.collect() }
    }

    /// Adds the history of another node, which misses nothing up to `covered_until`. It completes this node's only if
    /// that reaches back to then.
    pub fn merge(&mut self, message: &SoftwareHistoryMessage, covered_until: Timestamp, now: Timestamp) {
        let joins = match self.complete {
            Complete::Never => false,
            Complete::Since(since) => since <= covered_until,
            Complete::Always => true,
        };
        for seen in &message.seen {
            // Counted from the latest time at which the message may have been written.
            let (first, last) =
                (now - Duration::from_millis(seen.first_ms), now - Duration::from_millis(seen.last_ms));
            let versions = self.services.entry(seen.service.clone()).or_default();
            let known = versions.entry(seen.software.clone()).or_insert(Seen {
                first,
                last,
                last_ready: None,
                created: None,
            });
            known.first = known.first.min(first);
            known.last = known.last.max(last);
        }
        if !joins {
            return;
        }
        self.complete = match (self.complete, message.complete_ms) {
            (Complete::Always, _) | (_, None) => Complete::Always,
            (Complete::Since(since), Some(age_ms)) => {
                // The other node's history counts from the latest time at which it may have begun.
                Complete::Since(since.min(now - Duration::from_millis(age_ms)))
            }
            (Complete::Never, Some(_)) => Complete::Never,
        };
    }

    /// The number of versions of each service that are listed, of the service with the most.
    pub fn count_serving(&self, now: Timestamp) -> usize {
        let mut by_service: BTreeMap<&ServiceId, BTreeSet<Option<&SoftwareVersion>>> = BTreeMap::new();
        for (service, version) in self.serving(now) {
            by_service.entry(service).or_default().insert(version);
        }
        by_service.values().map(BTreeSet::len).max().unwrap_or(0)
    }
}
