//! Which software version began which stream, and which nodes remember it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bolero::TypeGenerator;
use paddlemount_core::forwarding::{
    membership::{ASKED, KnownMembers, Membership, REPLICAS},
    stream_records::{MAX_RECORDS, StreamRecords, stream_key},
};
use paddlemount_protocol::{
    fleet::{FoundStream, Member, StreamKey, StreamOrigin},
    identity::{NodeId, ServiceId, SoftwareVersion, TenantId, ZoneId},
    time::Timestamp,
};

const LIFETIME: Duration = Duration::from_secs(20);
const ZONES: u8 = 3;

fn origin(version: u8) -> StreamOrigin {
    StreamOrigin { service: ServiceId::from("pool"), software: SoftwareVersion::from(format!("v{version}")) }
}

fn key(number: u8) -> StreamKey {
    stream_key(Some(&TenantId::from("t")), &format!("r{number}"))
}

fn member(number: u8) -> Member {
    Member {
        node: NodeId::from(format!("n{number}")),
        zone: ZoneId::from(format!("z{}", number % ZONES)),
        address: ([10, 0, 0, number], 7_340).into(),
        capacity: 25,
    }
}

fn fleet(numbers: impl Iterator<Item = u8>) -> Membership {
    Membership::new(numbers.map(member).collect())
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn a_tenant_learns_nothing_of_anothers_streams() {
    let tenant = |name: &str| TenantId::from(name);
    assert_ne!(stream_key(Some(&tenant("a")), "r"), stream_key(Some(&tenant("b")), "r"));
    assert_ne!(stream_key(Some(&tenant("ab")), "c"), stream_key(Some(&tenant("a")), "bc"));
    assert_ne!(stream_key(None, "r"), stream_key(Some(&tenant("a")), "r"));
}

#[test]
fn two_streams_under_one_name_have_no_known_origin() {
    let mut records = StreamRecords::default();
    records.put(key(1), origin(1), LIFETIME, at(0));
    records.put(key(1), origin(1), LIFETIME, at(500));
    assert_eq!(records.find(key(1), at(600)), FoundStream::Known { origin: origin(1), age_ms: 100 });
    records.put(key(1), origin(2), LIFETIME, at(700));
    records.put(key(1), origin(2), LIFETIME, at(800));
    assert_eq!(records.find(key(1), at(900)), FoundStream::Ambiguous);
    assert_eq!(records.find(key(1), at(800) + LIFETIME), FoundStream::Unknown);
}

#[test]
fn memory_is_bounded() {
    let mut records = StreamRecords::default();
    for number in 0..MAX_RECORDS as u64 + 10 {
        records.put(StreamKey(number.into()), origin(1), LIFETIME, at(number));
    }
    assert_eq!(records.len(), MAX_RECORDS);
    assert_eq!(records.find(StreamKey(3), at(20)), FoundStream::Unknown, "the oldest are dropped");
    records.sweep(at(1_000_000));
    assert!(records.is_empty());
}

/// Records lie in several zones, so that the loss of one leaves some.
#[test]
fn a_stream_is_remembered_in_as_many_zones_as_there_are() {
    let all = fleet(0..9);
    for number in 0..200 {
        let ranked = all.ranked(key(number), &NodeId::from("n0"), &BTreeSet::new());
        let zones: BTreeSet<_> = ranked.iter().take(REPLICAS).map(|member| &member.zone).collect();
        assert_eq!(zones.len(), REPLICAS);
        assert!(ranked.iter().all(|member| member.node != NodeId::from("n0")));
    }
}

/// A joining or leaving node moves few streams, and readers ask more nodes than writers tell.
#[test]
fn readers_with_another_list_of_nodes_still_find_most_streams() {
    let (writer, reader) = (fleet(0..30), fleet(2..32));
    let mut missed = 0;
    for number in 0..250 {
        let told = writer.ranked(key(number), &NodeId::from("n5"), &BTreeSet::new());
        let told: BTreeSet<_> = told.into_iter().take(REPLICAS).map(|member| member.node.clone()).collect();
        let asked = reader.ranked(key(number), &NodeId::from("n6"), &BTreeSet::new());
        missed += usize::from(!asked.into_iter().take(ASKED).any(|member| told.contains(&member.node)));
    }
    assert!(missed <= 2, "{missed} of 250 streams were not found");
}

/// A root that has just started lists only the nodes that have reported to it.
#[test]
fn nodes_that_a_new_root_does_not_list_yet_still_count() {
    let names = |known: &KnownMembers| -> Vec<String> {
        known.all().members().iter().map(|member| member.node.to_string()).collect()
    };
    let mut known = KnownMembers::default();
    known.set_listed(fleet(0..3), at(0));
    known.set_listed(fleet(0..1), at(1_000));
    assert_eq!(names(&known), ["n0", "n1", "n2"]);
    assert_eq!(known.listed(), &fleet(0..1), "others are told only of what is listed");
    known.set_listed(fleet(0..2), at(4_000));
    known.tick(at(10_900));
    assert_eq!(names(&known), ["n0", "n1", "n2"]);
    known.tick(at(11_000));
    assert_eq!(names(&known), ["n0", "n1"], "a node that is gone is forgotten");
}

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    /// A stream begins at a node, at a version of the software.
    Begin {
        stream: u8,
        node: u8,
        version: u8,
        lost: u8,
    },
    /// A stream is taken up at a node, which tells the others again.
    TakeUp {
        stream: u8,
        node: u8,
    },
    /// A node starts again without records, or joins.
    Restart {
        node: u8,
    },
    Leave {
        node: u8,
    },
    Wait {
        tenths: u8,
    },
}

const NODES: u8 = 8;
const STREAMS: u8 = 6;

/// The nodes with their records, and what really began each stream and when it was last recorded.
#[derive(Default)]
struct Model {
    now: u64,
    nodes: BTreeMap<u8, StreamRecords>,
    began: BTreeMap<u8, (BTreeSet<u8>, u64)>,
}

impl Model {
    fn view(&self) -> Membership {
        fleet(self.nodes.keys().copied())
    }

    /// Tells the replicas of a stream; the bits of `lost` say which messages get lost.
    fn tell(&mut self, stream: u8, node: u8, version: u8, lost: u8) {
        let (view, now) = (self.view(), at(self.now));
        let local = member(node).node;
        let ranked = view.ranked(key(stream), &local, &BTreeSet::new());
        let told = ranked.into_iter().take(REPLICAS).enumerate();
        let told = told.filter(|(number, _)| lost >> number & 1 == 0).map(|(_, member)| member.node.clone());
        let told: BTreeSet<NodeId> = told.chain([local]).collect();
        for (number, records) in &mut self.nodes {
            if told.contains(&member(*number).node) {
                records.put(key(stream), origin(version), LIFETIME, now);
            }
        }
    }

    /// The version that a node finds for a stream.
    fn find(&self, stream: u8, node: u8) -> Option<StreamOrigin> {
        let own = self.nodes.get(&node)?;
        let local = member(node).node;
        let view = self.view();
        let asked = view.ranked(key(stream), &local, &BTreeSet::new());
        let asked = asked.into_iter().take(ASKED).map(|member| member.node.clone());
        let others = asked.filter_map(|name| {
            self.nodes.iter().find(|(number, _)| member(**number).node == name).map(|(_, records)| records)
        });
        let mut found =
            std::iter::once(own).chain(others).map(|records| records.find(key(stream), at(self.now)));
        found.find_map(|found| match found {
            FoundStream::Known { origin, .. } => Some(Some(origin)),
            FoundStream::Ambiguous => Some(None),
            FoundStream::Unknown => None,
        })?
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Begin { stream, node, version, lost } => {
                let (stream, node, version) = (stream % STREAMS, node % NODES, version % 3);
                // A caller gives each attempt an id of its own.
                if self.nodes.contains_key(&node) && !self.began.contains_key(&stream) {
                    self.tell(stream, node, version, lost);
                    self.began.insert(stream, (BTreeSet::from([version]), self.now));
                }
            }
            Step::TakeUp { stream, node } => {
                let (stream, node) = (stream % STREAMS, node % NODES);
                let Some(found) = self.find(stream, node) else { return };
                let (versions, recorded_at) = self.began.get(&stream).expect("only what began is found");
                let began_at = versions.first().copied().expect("a version");
                assert_eq!(found, origin(began_at), "a stream goes on where it began");
                assert!(
                    at(self.now).saturating_since(at(*recorded_at)) < LIFETIME,
                    "no record outlives its bound"
                );
                self.tell(stream, node, began_at, 0);
                self.began.insert(stream, (BTreeSet::from([began_at]), self.now));
            }
            Step::Restart { node } => {
                self.nodes.insert(node % NODES, StreamRecords::default());
            }
            Step::Leave { node } => {
                self.nodes.remove(&(node % NODES));
            }
            Step::Wait { tenths } => {
                self.now += u64::from(tenths) * 100;
                let now = at(self.now);
                self.nodes.values_mut().for_each(|records| records.sweep(now));
            }
        }
        assert!(self.nodes.values().all(|records| records.len() <= usize::from(STREAMS)));
    }
}

/// Whatever is lost, joins, leaves and expires: what is found is the version that began the stream.
#[test]
fn no_order_of_events_makes_a_stream_go_on_at_another_version() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::default();
        for node in 0..NODES / 2 {
            model.nodes.insert(node, StreamRecords::default());
        }
        steps.iter().for_each(|step| model.apply(step));
    });
}
