//! Which versions of models' weights the operator has named, and at what moment at the earliest.
//!
//! No node knows when a version was named. It can prove a moment at which nothing newer than some version had been named:
//! the last one up to which it, or a node that tells it, knew all that the store held. The bound of older weights counts
//! from there. The safe direction is back: from too early a moment older weights are left alone sooner than need be, from
//! too late a one requests begin on them for too long. So a moment moves on only by such a proof, and where there is none,
//! as with what a node finds at its start, the version counts as named for ever.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion},
    time::Timestamp,
};

/// Named versions that are remembered for a model.
const MOST_NAMED: usize = 16;

/// A version that the operator has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: WeightsVersion,
    /// Up to when nothing newer than the version before it had been named; none where nobody knows.
    pub not_before: Option<Timestamp>,
}

impl TargetVersion {
    /// How long ago it was named at most; none where nobody knows.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.not_before.map(|after| now.saturating_since(after))
    }

    /// Whether it may have been named `time` ago.
    pub fn may_be_older_than(&self, time: Duration, now: Timestamp) -> bool {
        self.age(now).is_none_or(|age| age >= time)
    }
}

/// A proof that up to a moment no version of a model newer than `above` had been named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersionProof {
    /// The model.
    pub model: ModelId,
    /// The version before; none where none had been named.
    pub above: Option<WeightsVersion>,
    /// The version that was named next.
    pub version: WeightsVersion,
    /// The moment.
    pub at: Timestamp,
}

/// The versions that the operator has named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVersions {
    /// By model, the oldest first.
    named: BTreeMap<ModelId, Vec<TargetVersion>>,
    complete_at: Option<Timestamp>,
}

impl TargetVersions {
    /// All that had been named up to `at` is known.
    pub fn confirm_complete(&mut self, at: Timestamp) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// A version was named, after the moment up to which all was known. Tells whether it is news.
    pub fn announce(&mut self, model: ModelId, version: WeightsVersion) -> bool {
        let named = self.named.entry(model).or_default();
        if named.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        named.push(TargetVersion { version, not_before: self.complete_at });
        forget_oldest(named);
        true
    }

    /// Takes in what another node has proof of.
    pub fn merge_proof(&mut self, proof: &TargetVersionProof) {
        let Some(named) = self.named.get_mut(&proof.model) else { return };
        for version in proof.above.into_iter().chain([proof.version]) {
            insert_missed(named, version);
        }
        forget_oldest(named);
        let Some(place) = named.iter().position(|naming| naming.version == proof.version) else { return };
        let before = place.checked_sub(1).map(|before| named[before].version);
        // Of versions between `above` and the one before here the proof tells nothing.
        if before >= proof.above {
            named[place].not_before = named[place].not_before.max(Some(proof.at));
        }
    }

    /// What this node has proof of, for others: of versions that were named less than `within` ago.
    pub fn proofs(&self, within: Duration, now: Timestamp) -> Vec<TargetVersionProof> {
        let of_model = |(model, named): (&ModelId, &Vec<TargetVersion>)| {
            let before = std::iter::once(None).chain(named.iter().map(|naming| Some(naming.version)));
            let proofs = before.zip(named).filter(|(_, naming)| !naming.may_be_older_than(within, now));
            let proof = |(above, naming): (Option<WeightsVersion>, &TargetVersion)| {
                let at = naming.not_before?;
                Some(TargetVersionProof { model: model.clone(), above, version: naming.version, at })
            };
            proofs.filter_map(proof).collect::<Vec<_>>()
        };
        self.named.iter().flat_map(of_model).collect()
    }

    /// The models of which a version was named.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.named.keys()
    }

    /// The named versions of a model, the oldest first.
    pub fn of(&self, model: &ModelId) -> &[TargetVersion] {
        self.named.get(model).map_or(&[], Vec::as_slice)
    }

    /// The newest named version of a model.
    pub fn newest(&self, model: &ModelId) -> Option<&TargetVersion> {
        self.of(model).last()
    }

    /// The first version of a model newer than `held`.
    pub fn first_newer(&self, model: &ModelId, held: WeightsVersion) -> Option<&TargetVersion> {
        self.of(model).iter().find(|naming| naming.version > held)
    }

    /// The version in force, of any model, that may have been named longest ago.
    pub fn oldest_in_force(&self) -> Option<&TargetVersion> {
        self.named.values().filter_map(|named| named.last()).min_by_key(|naming| naming.not_before)
    }
}

/// Puts a version in its place that this node has not heard of when it was named, as where a listing told of the next one.
fn insert_missed(named: &mut Vec<TargetVersion>, version: WeightsVersion) {
    let Some(place) = named.iter().position(|naming| naming.version >= version) else { return };
    let next = named[place];
    if next.version > version {
        named.insert(place, TargetVersion { version, not_before: next.not_before });
    }
}

/// Forgets the oldest versions where there are many: the next one counts as named as early as they were.
fn forget_oldest(named: &mut Vec<TargetVersion>) {
    while named.len() > MOST_NAMED {
        let forgotten = named.remove(0);
        if let Some(first) = named.first_mut() {
            first.not_before = forgotten.not_before;
        }
    }
}
