//! The earliest announcement times of target versions, as nodes learn and report them.

use std::time::Duration;

use bolero::TypeGenerator;
use paddlemount_core::forwarding::target_versions::{TargetVersion, TargetVersionProof, TargetVersions};
use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion},
    time::Timestamp,
};

/// Longer than any test.
const ALWAYS: Duration = Duration::from_secs(1 << 20);

fn model() -> ModelId {
    ModelId::from("m")
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn proof(above: Option<u64>, version: u64, milliseconds: u64) -> TargetVersionProof {
    let (above, version) = (above.map(WeightsVersion), WeightsVersion(version));
    TargetVersionProof { model: model(), above, version, at: at(milliseconds) }
}

/// The known versions with the times from which they count.
fn known(target_versions: &TargetVersions) -> Vec<(u64, Option<Timestamp>)> {
    target_versions.of(&model()).iter().map(|target| (target.version.0, target.not_before)).collect()
}

#[test]
fn a_version_counts_from_the_last_complete_view() {
    let mut target_versions = TargetVersions::default();
    target_versions.confirm_complete(at(1_000));
    assert!(target_versions.record(model(), WeightsVersion(2)));
    target_versions.confirm_complete(at(5_000));
    assert!(!target_versions.record(model(), WeightsVersion(2)), "already known");
    assert!(target_versions.record(model(), WeightsVersion(3)));
    assert_eq!(known(&target_versions), [(2, Some(at(1_000))), (3, Some(at(5_000)))]);
}

#[test]
fn a_proof_moves_a_version_forward_and_never_back() {
    let mut target_versions = TargetVersions::default();
    target_versions.record(model(), WeightsVersion(2));
    target_versions.merge_proof(&proof(None, 2, 4_000));
    assert_eq!(known(&target_versions), [(2, Some(at(4_000)))]);
    target_versions.merge_proof(&proof(None, 2, 3_000));
    assert_eq!(known(&target_versions), [(2, Some(at(4_000)))]);
}

#[test]
fn a_proof_does_not_cover_missed_earlier_versions() {
    // This node missed version 2, so weights of version 1 count as too old from before version 2.
    let mut target_versions = TargetVersions::default();
    target_versions.record(model(), WeightsVersion(1));
    target_versions.confirm_complete(at(1_000));
    target_versions.record(model(), WeightsVersion(3));
    target_versions.merge_proof(&proof(Some(2), 3, 9_000));
    assert_eq!(known(&target_versions), [(1, None), (2, Some(at(1_000))), (3, Some(at(9_000)))]);
    let newer = target_versions.first_newer(&model(), WeightsVersion(1)).and_then(|target| target.not_before);
    assert_eq!(newer, Some(at(1_000)));
}

#[test]
fn a_proof_of_an_unknown_version_is_ignored() {
    let mut target_versions = TargetVersions::default();
    target_versions.merge_proof(&proof(None, 2, 4_000));
    assert_eq!(target_versions.models().count(), 0);
    target_versions.record(model(), WeightsVersion(1));
    target_versions.merge_proof(&proof(Some(1), 2, 4_000));
    assert_eq!(known(&target_versions), [(1, None)]);
}

#[test]
fn the_oldest_kept_version_counts_from_before_the_dropped_ones() {
    let mut target_versions = TargetVersions::default();
    for version in 1..=40 {
        target_versions.confirm_complete(at(version * 100));
        target_versions.record(model(), WeightsVersion(version));
    }
    // A proof since a dropped version does not cover the time before it.
    let oldest = target_versions.of(&model()).first().map_or(0, |target| target.version.0);
    target_versions.merge_proof(&proof(Some(oldest - 1), oldest, 9_000));
    let known = known(&target_versions);
    assert!(known.len() <= 16, "{known:?}");
    assert_eq!(known.first(), Some(&(oldest, Some(at(100)))));
    assert_eq!(known.last(), Some(&(40, Some(at(4_000)))));
}

#[test]
fn only_recent_versions_have_proofs() {
    let mut target_versions = TargetVersions::default();
    target_versions.record(model(), WeightsVersion(1));
    target_versions.confirm_complete(at(1_000));
    target_versions.record(model(), WeightsVersion(2));
    target_versions.confirm_complete(at(7_000));
    target_versions.record(model(), WeightsVersion(3));
    assert_eq!(target_versions.proofs(Duration::from_secs(8), at(9_500)), [proof(Some(2), 3, 7_000)]);
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Wait { milliseconds: u8 },
    Announce { skipped: bool },
    Watch { node: u8, sent_ago: u8 },
    List { node: u8, sent_ago: u8 },
    Restart { node: u8 },
    Report { from: u8, to: u8 },
    Record { node: u8, lease_ms: u8 },
}

const NODES: usize = 3;

#[derive(Default)]
struct View {
    target_versions: TargetVersions,
    /// The number of announced versions that were known; none before the first complete view.
    known_count: Option<usize>,
    proved_at: Timestamp,
}

impl View {
    fn complete(&mut self, known_count: usize, proved_at: Timestamp) {
        self.known_count = Some(known_count);
        self.proved_at = self.proved_at.max(proved_at);
        self.target_versions.confirm_complete(proved_at);
    }
}

#[derive(Default)]
struct World {
    now: u64,
    /// The announced versions with their times.
    announced: Vec<(WeightsVersion, Timestamp)>,
    nodes: [View; NODES],
    /// A record of a proof in the store, and when its lease ends.
    record: Option<(Record, Timestamp)>,
}

/// What a leader writes into the store.
#[derive(Clone, Debug)]
struct Record {
    proof: TargetVersionProof,
    /// The maximum age of the announcement when the lease ends.
    max_age: Duration,
}

impl World {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait { milliseconds } => self.now += u64::from(milliseconds),
            Step::Announce { skipped } => {
                let last = self.announced.last().map_or(0, |(version, _)| version.0);
                self.announced.push((WeightsVersion(last + 1 + u64::from(skipped)), at(self.now)));
            }
            Step::Watch { node, sent_ago } => self.watch(usize::from(node) % NODES, sent_ago),
            Step::List { node, sent_ago } => self.list(usize::from(node) % NODES, sent_ago),
            Step::Restart { node } => self.nodes[usize::from(node) % NODES] = View::default(),
            Step::Record { node, lease_ms } => self.write_record(usize::from(node) % NODES, lease_ms),
            Step::Report { from, to } => self.report(usize::from(from) % NODES, usize::from(to) % NODES),
        }
    }

    /// A watch returns all versions announced since.
    fn watch(&mut self, node: usize, sent_ago: u8) {
        let view = &mut self.nodes[node];
        let Some(known_count) = view.known_count else { return };
        for (version, _) in &self.announced[known_count..] {
            view.target_versions.record(model(), *version);
        }
        let sent_at = at(self.now.saturating_sub(u64::from(sent_ago))).max(view.proved_at);
        view.complete(self.announced.len(), sent_at);
    }

    /// A listing returns only the newest version, and the record if its lease had not ended when the call was
    /// sent.
    fn list(&mut self, node: usize, sent_ago: u8) {
        let sent_at = at(self.now.saturating_sub(u64::from(sent_ago)));
        let view = &mut self.nodes[node];
        if let Some((version, _)) = self.announced.last() {
            view.target_versions.record(model(), *version);
        }
        if let Some((record, _)) = self.record.as_ref().filter(|(_, lease_ends_at)| sent_at < *lease_ends_at)
        {
            view.target_versions
                .merge_proof(&TargetVersionProof { at: sent_at - record.max_age, ..record.proof.clone() });
        }
        view.complete(self.announced.len(), sent_at);
    }

    /// A node records its proof of the newest version, bound to a lease that starts now.
    fn write_record(&mut self, node: usize, lease_ms: u8) {
        let Some(proof) = self.nodes[node].target_versions.proofs(ALWAYS, at(self.now)).pop() else { return };
        let lease = Duration::from_millis(u64::from(lease_ms));
        let max_age = lease + at(self.now).saturating_since(proof.at);
        self.record = Some((Record { proof, max_age }, at(self.now) + lease));
    }

    /// A node reports its newest version and its proofs to another.
    fn report(&mut self, from: usize, to: usize) {
        let (known_count, proved_at) = (self.nodes[from].known_count, self.nodes[from].proved_at);
        let Some(known) = known_count.filter(|_| from != to && known_count >= self.nodes[to].known_count)
        else {
            return;
        };
        let proofs = self.nodes[from].target_versions.proofs(ALWAYS, at(self.now));
        let newest = self.nodes[from].target_versions.newest(&model()).copied();
        let view = &mut self.nodes[to];
        if let Some(newest) = newest {
            view.target_versions.record(model(), newest.version);
        }
        proofs.iter().for_each(|proof| view.target_versions.merge_proof(proof));
        view.complete(known, proved_at);
    }

    fn check(&self) {
        for view in &self.nodes {
            for held in 0..=self.announced.last().map_or(0, |(version, _)| version.0) {
                let held = WeightsVersion(held);
                let truth = self.announced.iter().find(|(version, _)| *version > held);
                let believed = view.target_versions.first_newer(&model(), held);
                let Some(TargetVersion { not_before: Some(after), version }) = believed else { continue };
                let (_, announced_at) = truth.expect("every known version was announced");
                assert!(
                    after <= announced_at,
                    "{held:?} counts from {after:?} for {version:?}, {announced_at:?}"
                );
            }
        }
    }
}

#[test]
fn no_order_of_events_lets_a_version_count_from_too_late() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut world = World::default();
        for step in steps {
            world.apply(*step);
            world.check();
        }
    });
}
