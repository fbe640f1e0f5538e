//! From when on a named version of weights counts, by what nodes know and tell each other.

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

/// Versions with the moments that they count from.
fn known(target_versions: &TargetVersions) -> Vec<(u64, Option<Timestamp>)> {
    target_versions.of(&model()).iter().map(|naming| (naming.version.0, naming.not_before)).collect()
}

#[test]
fn a_version_counts_from_the_last_moment_up_to_which_all_was_known() {
    let mut target_versions = TargetVersions::default();
    target_versions.confirm_complete(at(1_000));
    assert!(target_versions.announce(model(), WeightsVersion(2)));
    target_versions.confirm_complete(at(5_000));
    assert!(!target_versions.announce(model(), WeightsVersion(2)), "no news");
    assert!(target_versions.announce(model(), WeightsVersion(3)));
    assert_eq!(known(&target_versions), [(2, Some(at(1_000))), (3, Some(at(5_000)))]);
}

#[test]
fn what_another_node_has_proof_of_moves_a_version_on_and_never_back() {
    let mut target_versions = TargetVersions::default();
    target_versions.announce(model(), WeightsVersion(2));
    target_versions.merge_proof(&proof(None, 2, 4_000));
    assert_eq!(known(&target_versions), [(2, Some(at(4_000)))]);
    target_versions.merge_proof(&proof(None, 2, 3_000));
    assert_eq!(known(&target_versions), [(2, Some(at(4_000)))]);
}

#[test]
fn a_proof_tells_nothing_of_versions_that_were_named_before_and_missed_here() {
    // This node knew version 1 last and missed version 2, so that weights of version 1 count as too old from its naming.
    let mut target_versions = TargetVersions::default();
    target_versions.announce(model(), WeightsVersion(1));
    target_versions.confirm_complete(at(1_000));
    target_versions.announce(model(), WeightsVersion(3));
    target_versions.merge_proof(&proof(Some(2), 3, 9_000));
    assert_eq!(known(&target_versions), [(1, None), (2, Some(at(1_000))), (3, Some(at(9_000)))]);
    let newer = target_versions.first_newer(&model(), WeightsVersion(1)).and_then(|naming| naming.not_before);
    assert_eq!(newer, Some(at(1_000)));
}

#[test]
fn a_proof_of_a_version_that_is_not_known_here_is_passed_over() {
    let mut target_versions = TargetVersions::default();
    target_versions.merge_proof(&proof(None, 2, 4_000));
    assert_eq!(target_versions.models().count(), 0);
    target_versions.announce(model(), WeightsVersion(1));
    target_versions.merge_proof(&proof(Some(1), 2, 4_000));
    assert_eq!(known(&target_versions), [(1, None)]);
}

#[test]
fn where_many_versions_are_named_the_oldest_remembered_one_counts_from_before_the_forgotten_ones() {
    let mut target_versions = TargetVersions::default();
    for version in 1..=40 {
        target_versions.confirm_complete(at(version * 100));
        target_versions.announce(model(), WeightsVersion(version));
    }
    // A proof that tells of the time since a forgotten version tells nothing of the time before.
    let oldest = target_versions.of(&model()).first().map_or(0, |naming| naming.version.0);
    target_versions.merge_proof(&proof(Some(oldest - 1), oldest, 9_000));
    let known = known(&target_versions);
    assert!(known.len() <= 16, "{known:?}");
    assert_eq!(known.first(), Some(&(oldest, Some(at(100)))));
    assert_eq!(known.last(), Some(&(40, Some(at(4_000)))));
}

#[test]
fn only_versions_that_were_named_lately_are_told() {
    let mut target_versions = TargetVersions::default();
    target_versions.announce(model(), WeightsVersion(1));
    target_versions.confirm_complete(at(1_000));
    target_versions.announce(model(), WeightsVersion(2));
    target_versions.confirm_complete(at(7_000));
    target_versions.announce(model(), WeightsVersion(3));
    assert_eq!(target_versions.proofs(Duration::from_secs(8), at(9_500)), [proof(Some(2), 3, 7_000)]);
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Pass { milliseconds: u8 },
    Name { skipped: bool },
    Watch { node: u8, sent_ago: u8 },
    List { node: u8, sent_ago: u8 },
    Restart { node: u8 },
    Tell { from: u8, to: u8 },
    Record { node: u8, lasts: u8 },
}

const NODES: usize = 3;

#[derive(Default)]
struct Knowing {
    target_versions: TargetVersions,
    /// Versions that the store told or another node did; none before all is known for the first time.
    upto: Option<usize>,
    proved_at: Timestamp,
}

impl Knowing {
    fn complete(&mut self, upto: usize, proved_at: Timestamp) {
        self.upto = Some(upto);
        self.proved_at = self.proved_at.max(proved_at);
        self.target_versions.confirm_complete(proved_at);
    }
}

#[derive(Default)]
struct World {
    now: u64,
    /// Versions with the moments at which they were named.
    named: Vec<(WeightsVersion, Timestamp)>,
    nodes: [Knowing; NODES],
    /// A record of a naming in the store, and when its lease is over.
    record: Option<(Record, Timestamp)>,
}

/// What a leader writes into the store.
#[derive(Clone, Debug)]
struct Record {
    proof: TargetVersionProof,
    /// How old the name is at most when the lease is over.
    before: Duration,
}

impl World {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Pass { milliseconds } => self.now += u64::from(milliseconds),
            Step::Name { skipped } => {
                let last = self.named.last().map_or(0, |(version, _)| version.0);
                self.named.push((WeightsVersion(last + 1 + u64::from(skipped)), at(self.now)));
            }
            Step::Watch { node, sent_ago } => self.watch(usize::from(node) % NODES, sent_ago),
            Step::List { node, sent_ago } => self.list(usize::from(node) % NODES, sent_ago),
            Step::Restart { node } => self.nodes[usize::from(node) % NODES] = Knowing::default(),
            Step::Record { node, lasts } => self.write_record(usize::from(node) % NODES, lasts),
            Step::Tell { from, to } => self.tell(usize::from(from) % NODES, usize::from(to) % NODES),
        }
    }

    /// A watch is answered with all that was named since.
    fn watch(&mut self, node: usize, sent_ago: u8) {
        let knowing = &mut self.nodes[node];
        let Some(upto) = knowing.upto else { return };
        for (version, _) in &self.named[upto..] {
            knowing.target_versions.announce(model(), *version);
        }
        let sent_at = at(self.now.saturating_sub(u64::from(sent_ago))).max(knowing.proved_at);
        knowing.complete(self.named.len(), sent_at);
    }

    /// A listing tells the newest version alone, and the record, if its lease was not over when the listing was asked for.
    fn list(&mut self, node: usize, sent_ago: u8) {
        let sent_at = at(self.now.saturating_sub(u64::from(sent_ago)));
        let knowing = &mut self.nodes[node];
        if let Some((version, _)) = self.named.last() {
            knowing.target_versions.announce(model(), *version);
        }
        if let Some((record, _)) = self.record.as_ref().filter(|(_, over_at)| sent_at < *over_at) {
            knowing
                .target_versions
                .merge_proof(&TargetVersionProof { at: sent_at - record.before, ..record.proof.clone() });
        }
        knowing.complete(self.named.len(), sent_at);
    }

    /// A node records the newest version that it has proof of, bound to a lease that is granted now.
    fn write_record(&mut self, node: usize, lasts: u8) {
        let Some(proof) = self.nodes[node].target_versions.proofs(ALWAYS, at(self.now)).pop() else { return };
        let lasts = Duration::from_millis(u64::from(lasts));
        let before = lasts + at(self.now).saturating_since(proof.at);
        self.record = Some((Record { proof, before }, at(self.now) + lasts));
    }

    /// A node tells another the newest version that it knows, and what it has proof of.
    fn tell(&mut self, from: usize, to: usize) {
        let (upto, proved_at) = (self.nodes[from].upto, self.nodes[from].proved_at);
        let Some(known) = upto.filter(|_| from != to && upto >= self.nodes[to].upto) else { return };
        let proofs = self.nodes[from].target_versions.proofs(ALWAYS, at(self.now));
        let newest = self.nodes[from].target_versions.newest(&model()).copied();
        let knowing = &mut self.nodes[to];
        if let Some(newest) = newest {
            knowing.target_versions.announce(model(), newest.version);
        }
        proofs.iter().for_each(|proof| knowing.target_versions.merge_proof(proof));
        knowing.complete(known, proved_at);
    }

    fn check(&self) {
        for knowing in &self.nodes {
            for held in 0..=self.named.last().map_or(0, |(version, _)| version.0) {
                let held = WeightsVersion(held);
                let truth = self.named.iter().find(|(version, _)| *version > held);
                let believed = knowing.target_versions.first_newer(&model(), held);
                let Some(TargetVersion { not_before: Some(after), version }) = believed else { continue };
                let (_, named_at) = truth.expect("what is known was named");
                assert!(after <= named_at, "{held:?} counts from {after:?} for {version:?}, {named_at:?}");
            }
        }
    }
}

#[test]
fn no_order_of_starts_watches_reports_and_records_lets_older_weights_count_from_too_late() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut world = World::default();
        for step in steps {
            world.apply(*step);
            world.check();
        }
    });
}
