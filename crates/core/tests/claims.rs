//! Claims on idempotency keys: replica, coordinator, placement and its change.

use std::{collections::BTreeSet, time::Duration};

use paddlemount_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimOutcome, ClaimReplica, ClaimSettings, ClaimedRequest,
    Reconfiguration, ReconfigurationAction, RunResult, claim_key, issued_at, placement,
};
use paddlemount_protocol::{
    identity::{AttemptId, IdempotencyKey, NodeId, RegionId, TenantId, ZoneId},
    peer::claims::{
        ClaimKey, ClaimMember, ClaimMessage, ClaimPlacement, ClaimReply, Fingerprint, PlacementEpoch,
        RecordedOutcome,
    },
    refusal::{Outcome, RefusalCode},
    time::Timestamp,
};

const EPOCH: PlacementEpoch = PlacementEpoch(1);

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn key_of_second(second: u64, number: u64) -> ClaimKey {
    let milliseconds = second * 1_000;
    let text = format!("{:08x}-{:04x}-7000-8000-{number:012x}", milliseconds >> 16, milliseconds & 0xffff);
    claim_key(&TenantId::from("kestrel"), &IdempotencyKey::from(text))
}

fn claim(key: &ClaimKey, owner: &str) -> ClaimMessage {
    ClaimMessage::Claim {
        epoch: EPOCH,
        key: key.clone(),
        owner: AttemptId::from(owner),
        fingerprint: Fingerprint(1),
        run_for_ms: 5_000,
    }
}

fn record(key: &ClaimKey, owner: &str, answer: &str) -> ClaimMessage {
    let outcome = RecordedOutcome::Completed { answer: Some(answer.to_owned()) };
    ClaimMessage::Record {
        key: key.clone(),
        owner: AttemptId::from(owner),
        fingerprint: Fingerprint(1),
        outcome,
    }
}

fn release(key: &ClaimKey, owner: &str) -> ClaimMessage {
    ClaimMessage::Release { key: key.clone(), owner: AttemptId::from(owner) }
}

fn replica() -> ClaimReplica {
    ClaimReplica::new(ClaimSettings::default(), EPOCH, seconds(0))
}

#[test]
fn a_key_carries_its_time_of_issue() {
    let key = IdempotencyKey::from("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    assert_eq!(issued_at(&key), Ok(Timestamp::from_millis(0x017f_22e2_79b0)));
    for wrong in [
        "",
        "booking-4711",
        "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e2079b0-7cc3-98c4-dc0c0c07398f",
        "+17f22e2-79b0-7cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c0739é",
    ] {
        assert!(issued_at(&IdempotencyKey::from(wrong)).is_err(), "{wrong}");
    }
}

#[test]
fn a_replica_grants_a_key_to_one_attempt_and_replays_its_answer() {
    let (mut replica, key) = (replica(), key_of_second(10, 1));
    assert_eq!(replica.handle(&claim(&key, "a"), seconds(10)), ClaimReply::Granted);
    assert_eq!(replica.handle(&claim(&key, "a"), seconds(10)), ClaimReply::Granted);
    let in_progress = ClaimReply::InProgress { fingerprint: Fingerprint(1) };
    assert_eq!(replica.handle(&claim(&key, "b"), seconds(10)), in_progress);
    assert_eq!(replica.handle(&record(&key, "a", "1"), seconds(11)), ClaimReply::Acknowledged);
    let reply = replica.handle(&claim(&key, "b"), seconds(12));
    assert!(
        matches!(reply, ClaimReply::Ended { outcome: RecordedOutcome::Completed { answer: Some(answer) }, .. } if answer == "1")
    );
}

#[test]
fn an_attempt_that_exceeds_its_deadline_is_reported_as_unknown() {
    let (mut replica, key) = (replica(), key_of_second(10, 1));
    replica.handle(&claim(&key, "a"), seconds(10));
    let reply = replica.handle(&claim(&key, "b"), seconds(16));
    assert_eq!(reply, ClaimReply::Ended { fingerprint: Fingerprint(1), outcome: RecordedOutcome::Unknown });
}

#[test]
fn a_new_replica_refuses_keys_that_an_earlier_incarnation_could_have_granted() {
    let mut fresh = ClaimReplica::new(ClaimSettings::default(), EPOCH, seconds(100));
    for second in [50, 100, 101, 102] {
        let reply = fresh.handle(&claim(&key_of_second(second, 1), "a"), seconds(103));
        assert_eq!(reply, ClaimReply::TooOld { floor: seconds(102) }, "{second}");
    }
    assert_eq!(fresh.handle(&claim(&key_of_second(103, 1), "a"), seconds(103)), ClaimReply::Granted);
    let future = fresh.handle(&claim(&key_of_second(105, 1), "a"), seconds(103));
    assert_eq!(future, ClaimReply::FromFuture { now: seconds(103) });
}

#[test]
fn keys_older_than_the_retention_are_refused() {
    let (mut replica, key) = (replica(), key_of_second(10, 1));
    replica.handle(&claim(&key, "a"), seconds(10));
    let reply = replica.handle(&claim(&key, "b"), seconds(700));
    assert!(matches!(reply, ClaimReply::TooOld { .. }));
    assert_eq!(replica.usage().entries, 0);
}

#[test]
fn memory_is_bounded_by_refusing_the_oldest_keys() {
    let settings = ClaimSettings { max_entries: 10, ..ClaimSettings::default() };
    let mut replica = ClaimReplica::new(settings, EPOCH, seconds(0));
    for second in 10..40 {
        assert_eq!(
            replica.handle(&claim(&key_of_second(second, 1), "a"), seconds(second)),
            ClaimReply::Granted
        );
        assert!(replica.usage().entries <= 11);
    }
    let reply = replica.handle(&claim(&key_of_second(10, 1), "b"), seconds(40));
    assert!(matches!(reply, ClaimReply::TooOld { .. }));
}

#[test]
fn large_answers_are_not_stored_and_stored_ones_are_bounded() {
    let settings = ClaimSettings { max_bytes: 20_000, max_answer_bytes: 1_000, ..ClaimSettings::default() };
    let mut replica = ClaimReplica::new(settings, EPOCH, seconds(0));
    for second in 10..100 {
        let key = key_of_second(second, 1);
        replica.handle(&claim(&key, "a"), seconds(second));
        replica.handle(&record(&key, "a", &"x".repeat(900)), seconds(second));
        assert!(replica.usage().bytes < 22_000);
    }
    let key = key_of_second(100, 1);
    replica.handle(&record(&key, "a", &"x".repeat(1_001)), seconds(100));
    let reply = replica.handle(&claim(&key, "b"), seconds(100));
    assert!(matches!(reply, ClaimReply::Ended { outcome: RecordedOutcome::Completed { answer: None }, .. }));
}

#[test]
fn a_released_claim_is_free_for_others_but_not_for_its_late_duplicate() {
    let (mut replica, key) = (replica(), key_of_second(10, 1));
    replica.handle(&release(&key, "a"), seconds(10));
    assert_eq!(replica.handle(&claim(&key, "a"), seconds(10)), ClaimReply::AlreadyReleased);
    assert_eq!(replica.handle(&claim(&key, "b"), seconds(10)), ClaimReply::Granted);
    replica.handle(&release(&key, "a"), seconds(10));
    assert!(matches!(replica.handle(&claim(&key, "c"), seconds(10)), ClaimReply::InProgress { .. }));
    replica.handle(&record(&key, "b", "1"), seconds(10));
    replica.handle(&release(&key, "b"), seconds(10));
    assert!(matches!(replica.handle(&claim(&key, "c"), seconds(10)), ClaimReply::Ended { .. }));
}

fn begin(owner: &str, now: Timestamp) -> (ClaimCoordinator, Vec<ClaimAction>) {
    let request = ClaimedRequest {
        key: key_of_second(10, 1),
        owner: AttemptId::from(owner),
        fingerprint: Fingerprint(1),
        epoch: EPOCH,
        replicas: ["r1", "r2", "r3"].map(NodeId::from).to_vec(),
        deadline: now + Duration::from_secs(5),
    };
    ClaimCoordinator::begin(request, &ClaimSettings::default(), now)
}

fn reply(coordinator: &mut ClaimCoordinator, replica: &str, reply: ClaimReply) -> Vec<ClaimAction> {
    coordinator.handle(ClaimEvent::Replied { replica: NodeId::from(replica), reply }, seconds(10))
}

fn outcome(actions: &[ClaimAction]) -> Option<&ClaimOutcome> {
    actions.iter().find_map(|action| match action {
        ClaimAction::End(outcome) => Some(outcome),
        _ => None,
    })
}

fn refusal(actions: &[ClaimAction]) -> (RefusalCode, Outcome) {
    match outcome(actions) {
        Some(ClaimOutcome::Refused(refusal)) => (refusal.code, refusal.outcome),
        other => panic!("{other:?}"),
    }
}

/// The replicas that receive a claim.
fn contacted(actions: &[ClaimAction]) -> Vec<&str> {
    let claims = actions.iter().filter_map(|action| match action {
        ClaimAction::Send { to, message: ClaimMessage::Claim { .. } } => Some(to.as_str()),
        _ => None,
    });
    claims.collect()
}

#[test]
fn of_two_attempts_one_stops_at_the_first_replica_that_both_reach() {
    let (mut first, _) = begin("a", seconds(10));
    let (mut second, _) = begin("b", seconds(10));
    let unreachable = || ClaimEvent::Unreachable { replica: NodeId::from("r1") };
    assert_eq!(contacted(&first.handle(unreachable(), seconds(10))), ["r2"]);
    assert_eq!(contacted(&second.handle(unreachable(), seconds(10))), ["r2"]);
    assert_eq!(contacted(&reply(&mut first, "r2", ClaimReply::Granted)), ["r3"]);
    let in_progress = ClaimReply::InProgress { fingerprint: Fingerprint(1) };
    let stopped = reply(&mut second, "r2", in_progress);
    assert_eq!(refusal(&stopped).0, RefusalCode::InProgress);
    assert!(contacted(&stopped).is_empty(), "the second attempt is granted nothing that the first one needs");
    assert!(reply(&mut first, "r3", ClaimReply::Granted).contains(&ClaimAction::Dispatch));
}

#[test]
fn an_unresponsive_replica_delays_a_claim_by_a_fraction_of_the_timeout() {
    let (mut coordinator, _) = begin("a", seconds(10));
    let next_replica_delay = ClaimSettings::default().reply_timeout / 4;
    assert!(contacted(&coordinator.handle(ClaimEvent::Tick, seconds(10))).is_empty());
    assert_eq!(contacted(&coordinator.handle(ClaimEvent::Tick, seconds(10) + next_replica_delay)), ["r2"]);
    assert_eq!(contacted(&reply(&mut coordinator, "r2", ClaimReply::Granted)), ["r3"]);
    assert!(reply(&mut coordinator, "r3", ClaimReply::Granted).contains(&ClaimAction::Dispatch));
}

#[test]
fn a_majority_lets_the_request_run_and_its_answer_is_recorded_first() {
    let (mut coordinator, actions) = begin("a", seconds(10));
    assert_eq!(contacted(&actions), ["r1"]);
    assert_eq!(contacted(&reply(&mut coordinator, "r1", ClaimReply::Granted)), ["r2", "r3"]);
    assert!(reply(&mut coordinator, "r1", ClaimReply::Granted).is_empty());
    let actions = reply(&mut coordinator, "r2", ClaimReply::Granted);
    assert!(actions.contains(&ClaimAction::Dispatch));
    assert!(reply(&mut coordinator, "r3", ClaimReply::Granted).is_empty());
    let ran = ClaimEvent::DispatchEnded(RunResult::Completed { answer: "1".into() });
    assert_eq!(outcome(&coordinator.handle(ran, seconds(10))), None);
    let acknowledged = |replica| ClaimEvent::Acknowledged { replica: NodeId::from(replica) };
    assert_eq!(outcome(&coordinator.handle(acknowledged("r1"), seconds(10))), None);
    let actions = coordinator.handle(acknowledged("r3"), seconds(10));
    assert_eq!(outcome(&actions), Some(&ClaimOutcome::Answered { answer: "1".into(), replayed: false }));
}

#[test]
fn only_an_explicit_not_run_is_retried_and_reported_as_not_run() {
    let (mut coordinator, _) = begin("a", seconds(10));
    reply(&mut coordinator, "r1", ClaimReply::Granted);
    reply(&mut coordinator, "r2", ClaimReply::Granted);
    let not_run = |others_left| {
        ClaimEvent::DispatchEnded(RunResult::NotRun {
            code: RefusalCode::Overloaded,
            message: String::new(),
            others_left,
        })
    };
    assert_eq!(coordinator.handle(not_run(true), seconds(10)), [ClaimAction::Dispatch]);
    let actions = coordinator.handle(not_run(false), seconds(10));
    assert_eq!(refusal(&actions), (RefusalCode::Overloaded, Outcome::NotRun));
    let released = |action: &ClaimAction| {
        matches!(action, ClaimAction::Send { message: ClaimMessage::Release { .. }, .. })
    };
    assert_eq!(actions.iter().filter(|action| released(action)).count(), 3);
}

#[test]
fn a_timeout_is_reported_as_unknown_and_a_late_answer_is_still_recorded() {
    let (mut coordinator, _) = begin("a", seconds(10));
    reply(&mut coordinator, "r1", ClaimReply::Granted);
    reply(&mut coordinator, "r2", ClaimReply::Granted);
    let actions = coordinator.handle(ClaimEvent::Tick, seconds(15));
    assert_eq!(refusal(&actions), (RefusalCode::DeadlineExceeded, Outcome::Unknown));
    let late = ClaimEvent::DispatchEnded(RunResult::Completed { answer: "1".into() });
    let actions = coordinator.handle(late, seconds(16));
    assert_eq!(actions.len(), 3);
    assert_eq!(outcome(&actions), None);
}

#[test]
fn no_refusal_without_a_majority_says_not_run() {
    let in_progress = ClaimReply::InProgress { fingerprint: Fingerprint(1) };
    let other = ClaimReply::InProgress { fingerprint: Fingerprint(2) };
    let too_old = ClaimReply::TooOld { floor: seconds(20) };
    let unknown = ClaimReply::Ended { fingerprint: Fingerprint(1), outcome: RecordedOutcome::Unknown };
    let cases = [
        (in_progress, RefusalCode::InProgress),
        (other, RefusalCode::KeyReused),
        (too_old, RefusalCode::KeyTooOld),
        (unknown, RefusalCode::BackendFailed),
        (ClaimReply::FromFuture { now: seconds(1) }, RefusalCode::InvalidRequest),
        (ClaimReply::OtherEpoch { epoch: PlacementEpoch(2) }, RefusalCode::Unavailable),
    ];
    for (answer, code) in cases {
        let (mut coordinator, _) = begin("a", seconds(10));
        let mut actions = reply(&mut coordinator, "r1", ClaimReply::Granted);
        actions.extend(reply(&mut coordinator, "r2", answer.clone()));
        actions.extend(reply(&mut coordinator, "r3", answer));
        assert_eq!(refusal(&actions), (code, Outcome::Unknown));
    }
    let (mut coordinator, _) = begin("a", seconds(10));
    for replica in ["r1", "r2"] {
        coordinator.handle(ClaimEvent::Unreachable { replica: NodeId::from(replica) }, seconds(10));
    }
    let actions = coordinator.handle(ClaimEvent::Tick, seconds(11));
    assert_eq!(refusal(&actions), (RefusalCode::Unavailable, Outcome::Unknown));
}

#[test]
fn an_answer_stored_at_one_replica_is_replayed() {
    let (mut coordinator, _) = begin("b", seconds(10));
    let recorded = RecordedOutcome::Completed { answer: Some("1".into()) };
    let actions =
        reply(&mut coordinator, "r2", ClaimReply::Ended { fingerprint: Fingerprint(1), outcome: recorded });
    assert_eq!(outcome(&actions), Some(&ClaimOutcome::Answered { answer: "1".into(), replayed: true }));
}

fn placement_of(nodes: &[(&str, &str, &str)]) -> ClaimPlacement {
    let member = |(node, zone, region): &(&str, &str, &str)| ClaimMember {
        node: NodeId::from(*node),
        zone: ZoneId::from(*zone),
        region: RegionId::from(*region),
    };
    ClaimPlacement { epoch: EPOCH, members: nodes.iter().map(member).collect(), next: None }
}

#[test]
fn replicas_are_in_different_zones_and_do_not_depend_on_order() {
    let mut placement = placement_of(&[
        ("n1", "z1", "r"),
        ("n2", "z1", "r"),
        ("n3", "z2", "r"),
        ("n4", "z2", "r"),
        ("n5", "z3", "r"),
        ("n6", "z4", "r"),
        ("m1", "y1", "s"),
    ]);
    let mut used = BTreeSet::new();
    for number in 0..200 {
        let key = key_of_second(10, number);
        let replicas = placement::replicas_of(&placement, &key);
        assert_eq!(replicas.len(), 3);
        let zone = |node: &NodeId| {
            placement.members.iter().find(|member| member.node == *node).map(|member| member.zone.clone())
        };
        assert_eq!(replicas.iter().map(zone).collect::<BTreeSet<_>>().len(), 3);
        placement.members.reverse();
        assert_eq!(placement::replicas_of(&placement, &key), replicas);
        used.extend(replicas);
    }
    assert_eq!(used.len(), 6, "all members of the region with enough zones, and no other");
}

#[test]
fn few_zones_or_members_still_give_replicas() {
    let key = key_of_second(10, 1);
    let two_zones = placement_of(&[("n1", "z1", "r"), ("n2", "z1", "r"), ("n3", "z2", "r")]);
    assert_eq!(placement::replicas_of(&two_zones, &key).len(), 3);
    assert_eq!(placement::replicas_of(&placement_of(&[("n1", "z1", "r")]), &key).len(), 1);
    assert!(placement::replicas_of(&ClaimPlacement::default(), &key).is_empty());
}

#[test]
fn a_sealed_epoch_grants_nothing_more_and_the_next_refuses_its_keys() {
    let (mut replica, key) = (replica(), key_of_second(10, 1));
    assert_eq!(replica.handle(&ClaimMessage::Seal { epoch: EPOCH }, seconds(10)), ClaimReply::Acknowledged);
    assert_eq!(replica.handle(&claim(&key, "a"), seconds(10)), ClaimReply::OtherEpoch { epoch: EPOCH });
    replica.adopt(PlacementEpoch(2), false, seconds(20));
    replica.adopt(EPOCH, true, seconds(20));
    let mut next = claim(&key_of_second(22, 1), "a");
    if let ClaimMessage::Claim { epoch, .. } = &mut next {
        *epoch = PlacementEpoch(2);
    }
    assert!(matches!(replica.handle(&next, seconds(22)), ClaimReply::TooOld { .. }));
}

#[test]
fn the_next_placement_begins_only_after_enough_members_have_sealed() {
    let mut placement = placement_of(&[("n1", "z1", "r"), ("n2", "z2", "r"), ("n3", "z3", "r")]);
    let settle = Duration::from_secs(30);
    assert!(Reconfiguration::begin(placement.clone(), settle).is_none());
    placement.next = Some(placement_of(&[("n4", "z1", "r")]).members);
    let mut change = Reconfiguration::begin(placement, settle).expect("the placement lists next members");
    assert_eq!(change.tick(seconds(1)).len(), 3);
    change.record_sealed(NodeId::from("stranger"), seconds(1));
    change.record_sealed(NodeId::from("n1"), seconds(1));
    assert_eq!(change.tick(seconds(100)).len(), 2);
    change.record_sealed(NodeId::from("n3"), seconds(100));
    assert!(change.tick(seconds(129)).is_empty());
    let [ReconfigurationAction::Activate(next)] = &change.tick(seconds(130))[..] else {
        panic!("the next epoch begins");
    };
    assert_eq!((next.epoch, next.members.len()), (PlacementEpoch(2), 1));
}
