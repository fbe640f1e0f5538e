//! The target versions of models' weights, and when each was announced at the earliest.
//!
//! No node knows when the operator announced a version. It only knows the last time at which it, or a node
//! that reports to it, had a complete view of the store without the version. The staleness bound of older
//! weights counts from that time. Too early a time is safe: older weights are then avoided sooner than
//! necessary. So the time moves forward only by such a proof, and a version without one, as found at startup,
//! counts as announced long ago.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion},
    time::Timestamp,
};

/// Maximum number of target versions kept per model.
const MAX_VERSIONS: usize = 16;

/// A target version that the operator has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    pub version: WeightsVersion,
    /// The time up to which this version was certainly not announced; none where that is unknown.
    pub not_before: Option<Timestamp>,
}

impl TargetVersion {
    /// The maximum time since it was announced; none where that is unknown.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.not_before.map(|after| now.saturating_since(after))
    }

    /// Whether it may have been announced `time` ago.
    pub fn may_be_older_than(&self, time: Duration, now: Timestamp) -> bool {
        self.age(now).is_none_or(|age| age >= time)
    }
}

/// A proof that no version of a model newer than `above` had been announced up to a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetVersionProof {
    pub model: ModelId,
    /// The previous version; none where there was none.
    pub above: Option<WeightsVersion>,
    /// The version that was announced next.
    pub version: WeightsVersion,
    pub at: Timestamp,
}

/// The target versions of all models.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetVersions {
    /// Oldest first.
    versions: BTreeMap<ModelId, Vec<TargetVersion>>,
    complete_at: Option<Timestamp>,
}

impl TargetVersions {
    /// Records that all versions announced up to `at` are known.
    pub fn confirm_complete(&mut self, at: Timestamp) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Records a version that was announced after the last complete view. Returns whether it is new.
    pub fn record(&mut self, model: ModelId, version: WeightsVersion) -> bool {
        let versions = self.versions.entry(model).or_default();
        if versions.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        versions.push(TargetVersion { version, not_before: self.complete_at });
        forget_oldest(versions);
        true
    }

    /// Merges the proof of another node.
    pub fn merge_proof(&mut self, proof: &TargetVersionProof) {
        let Some(versions) = self.versions.get_mut(&proof.model) else { return };
        for version in proof.above.into_iter().chain([proof.version]) {
            insert_missed(versions, version);
        }
        forget_oldest(versions);
        let Some(index) = versions.iter().position(|target| target.version == proof.version) else { return };
        let before = index.checked_sub(1).map(|before| versions[before].version);
        // The proof does not cover versions between `above` and the previous version known here.
        if before >= proof.above {
            versions[index].not_before = versions[index].not_before.max(Some(proof.at));
        }
    }

    /// This node's proofs of versions that were announced less than `within` ago.
    pub fn proofs(&self, within: Duration, now: Timestamp) -> Vec<TargetVersionProof> {
        let of_model = |(model, versions): (&ModelId, &Vec<TargetVersion>)| {
            let before = std::iter::once(None).chain(versions.iter().map(|target| Some(target.version)));
            let proofs = before.zip(versions).filter(|(_, target)| !target.may_be_older_than(within, now));
            let proof = |(above, target): (Option<WeightsVersion>, &TargetVersion)| {
                let at = target.not_before?;
                Some(TargetVersionProof { model: model.clone(), above, version: target.version, at })
            };
            proofs.filter_map(proof).collect::<Vec<_>>()
        };
        self.versions.iter().flat_map(of_model).collect()
    }

    /// The models that have a target version.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.versions.keys()
    }

    /// The target versions of a model, oldest first.
    pub fn of(&self, model: &ModelId) -> &[TargetVersion] {
        self.versions.get(model).map_or(&[], Vec::as_slice)
    }

    /// The newest target version of a model.
    pub fn newest(&self, model: &ModelId) -> Option<&TargetVersion> {
        self.of(model).last()
    }

    /// The first target version of a model newer than `held`.
    pub fn first_newer(&self, model: &ModelId, held: WeightsVersion) -> Option<&TargetVersion> {
        self.of(model).iter().find(|target| target.version > held)
    }

    /// Of the newest versions of all models, the one that may have been announced first.
    pub fn oldest_in_force(&self) -> Option<&TargetVersion> {
        self.versions.values().filter_map(|versions| versions.last()).min_by_key(|target| target.not_before)
    }
}

/// Inserts a version that this node has missed, as when it lists only the newest one.
fn insert_missed(versions: &mut Vec<TargetVersion>, version: WeightsVersion) {
    let Some(index) = versions.iter().position(|target| target.version >= version) else { return };
    let next = versions[index];
    if next.version > version {
        versions.insert(index, TargetVersion { version, not_before: next.not_before });
    }
}

/// Drops the oldest versions beyond the maximum. The next one then counts as announced as early as they were.
fn forget_oldest(versions: &mut Vec<TargetVersion>) {
    while versions.len() > MAX_VERSIONS {
        let forgotten = versions.remove(0);
        if let Some(first) = versions.first_mut() {
            first.not_before = forgotten.not_before;
        }
    }
}
