//! Drills, their faults, and mechanisms that tests disable to check that the drills detect it.

use std::{str::FromStr, time::Duration};

use paddlemount_protocol::time::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::simulation::derived_seed;

/// A mechanism that is disabled. For tests only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Breakage {
    /// Nothing is disabled.
    #[default]
    None,
    /// Engines accept requests regardless of the incarnation and weights in their precondition.
    NoPreconditions,
    /// A broken connection is taken as the end of the answer.
    BreakIsEnd,
    /// A restarted node reads the configuration from the store only.
    NoLearningFromPeers,
    /// Frames are accepted regardless of their attempt.
    FramesOfAnyAttempt,
    /// A dispatch with an unknown outcome is reported as not run.
    UnclearIsNotRun,
    /// Bookings run without a claim.
    NoClaims,
    /// A restarted replica grants keys that were issued before its start.
    FreshReplicaGrantsOldKeys,
    /// The draining state in the machine list is ignored.
    DrainingIgnored,
    /// A planned stop does not wait for requests.
    StopDoesNotWait,
    /// The store skips the comparison of revisions.
    PutWithoutCompare,
    /// A node serves without a confirmed configuration.
    ServesUnconfirmed,
}

/// A fault or operation that a drill injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An engine crashes and restarts with an empty cache.
    EngineCrash,
    /// Events of engine feeds are lost.
    EventLoss,
    /// A node crashes and restarts without state.
    NodeCrash,
    /// More than half of the nodes crash and restart together.
    HerdRestart,
    /// A zone is partitioned.
    ZoneCut,
    /// A region is partitioned.
    RegionCut,
    /// The store is unavailable.
    StoreOutage,
    StoreSlow,
    /// Replies of the store and of back ends are lost after their effect.
    LostReplies,
    /// The holder of the placement lease is paused beyond the lease's TTL.
    PausedHolder,
    /// Operators submit conflicting changes.
    RacingOperators,
    /// A back end is draining.
    LeavingEngine,
    /// A node is stopped as planned and restarted.
    PlannedStop,
    /// New weights are rolled out.
    Rollout,
    /// Answers come late and out of order.
    LateAnswers,
}

/// All faults with their names on the command line.
const FAULTS: [(Fault, &str); 15] = [
    (Fault::EngineCrash, "engine-crash"),
    (Fault::EventLoss, "event-loss"),
    (Fault::NodeCrash, "node-crash"),
    (Fault::HerdRestart, "herd-restart"),
    (Fault::ZoneCut, "zone-cut"),
    (Fault::RegionCut, "region-cut"),
    (Fault::StoreOutage, "store-outage"),
    (Fault::StoreSlow, "store-slow"),
    (Fault::LostReplies, "lost-replies"),
    (Fault::PausedHolder, "paused-holder"),
    (Fault::RacingOperators, "racing-operators"),
    (Fault::LeavingEngine, "leaving-engine"),
    (Fault::PlannedStop, "planned-stop"),
    (Fault::Rollout, "rollout"),
    (Fault::LateAnswers, "late-answers"),
];

/// Pairs of faults that are injected together.
const PAIRS: [(Fault, Fault); 12] = [
    (Fault::EngineCrash, Fault::NodeCrash),
    (Fault::EngineCrash, Fault::Rollout),
    (Fault::EngineCrash, Fault::LateAnswers),
    (Fault::HerdRestart, Fault::StoreOutage),
    (Fault::HerdRestart, Fault::LostReplies),
    (Fault::NodeCrash, Fault::StoreOutage),
    (Fault::ZoneCut, Fault::LostReplies),
    (Fault::ZoneCut, Fault::RacingOperators),
    (Fault::LostReplies, Fault::RacingOperators),
    (Fault::PausedHolder, Fault::Rollout),
    (Fault::PlannedStop, Fault::Rollout),
    (Fault::PlannedStop, Fault::StoreOutage),
];

/// A set of faults that are injected in one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drill {
    /// The names of its faults, joined by `+`.
    pub name: String,
    pub faults: Vec<Fault>,
}

/// No drill has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no drill {0:?}; use all, or one of: {names}", names = names().join(", "))]
pub struct UnknownDrill(String);

fn names() -> Vec<String> {
    Drill::all().into_iter().map(|drill| drill.name).collect()
}

impl Drill {
    /// All drills.
    pub fn all() -> Vec<Self> {
        let single = FAULTS.iter().map(|(fault, _)| Self::of(&[*fault]));
        let pairs = PAIRS.iter().map(|(one, other)| Self::of(&[*one, *other]));
        single.chain(pairs).collect()
    }

    /// The drill with these faults.
    pub fn of(faults: &[Fault]) -> Self {
        let name =
            |fault: &Fault| FAULTS.iter().find(|(known, _)| known == fault).map_or("", |(_, name)| name);
        let names: Vec<&str> = faults.iter().map(name).collect();
        Self { name: names.join("+"), faults: faults.to_vec() }
    }
}

impl FromStr for Drill {
    type Err = UnknownDrill;

    fn from_str(text: &str) -> Result<Self, UnknownDrill> {
        Self::all().into_iter().find(|drill| drill.name == text).ok_or_else(|| UnknownDrill(text.to_owned()))
    }
}

/// Settings of one run of a drill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSettings {
    pub drill: Drill,
    pub seed: u64,
    pub breakage: Breakage,
}

/// The time span of a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    pub fault: Fault,
    pub begin: Timestamp,
    pub end: Timestamp,
}

impl RunSettings {
    /// The time span of each fault, derived from the seed. The faults of a pair overlap.
    pub fn windows(&self) -> Vec<FaultWindow> {
        let mut random = StdRng::seed_from_u64(derived_seed(self.seed, "faults"));
        let window = |fault: &Fault| {
            let begin = Timestamp::from_millis(random.random_range(9_000..14_000));
            let length = match fault {
                Fault::PausedHolder => Duration::from_secs(14),
                Fault::NodeCrash | Fault::HerdRestart | Fault::EngineCrash => {
                    Duration::from_millis(random.random_range(300..2_500))
                }
                Fault::ZoneCut | Fault::RegionCut | Fault::StoreOutage => {
                    Duration::from_millis(random.random_range(6_000..26_000))
                }
                _ => Duration::from_millis(random.random_range(6_000..16_000)),
            };
            FaultWindow { fault: *fault, begin, end: begin + length }
        };
        self.drill.faults.iter().map(window).collect()
    }
}
