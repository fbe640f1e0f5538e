//! Attempts, routes, freshness, states of back ends, and events of streams.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_core::forwarding::{
    attempt::{AttemptEnd, AttemptHistory, NextAction, next_action},
    backends::{BackendEntry, BackendId, Backends, EntryChange},
    document::{Document, LOWEST_RANK, Route, RouteKind, Share, Tenant, rank},
    events::{EventSplitter, event_id},
    freshness::Freshness,
    table::{Admission, RouteTable, WeightedRoundRobin},
};
use paddlemount_protocol::{
    identity::{ServiceId, TenantId, ZoneId},
    time::Timestamp,
};

const KINDS: [RouteKind; 4] = [
    RouteKind::Repeatable,
    RouteKind::AtMostOnce,
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
];
const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::NotSent,
    AttemptEnd::NotRun,
    AttemptEnd::Misdirected,
    AttemptEnd::Unclear,
    AttemptEnd::Silent,
    AttemptEnd::FailedAnswer,
];

/// Calls `check` for all combinations of attempts so far and of the last one.
fn all_cases(mut check: impl FnMut(RouteKind, AttemptEnd, AttemptHistory, u32, NextAction)) {
    for kind in KINDS {
        for end in ENDS {
            for (sent, not_sent, attempts) in (0..6).flat_map(|sent| {
                (0..6).flat_map(move |not_sent| (1..4).map(move |attempts| (sent, not_sent, attempts)))
            }) {
                for (time_left, budget, earlier) in
                    (0..8).map(|bits| (bits & 1 == 1, bits & 2 == 2, bits & 4 == 4))
                {
                    let unclear =
                        matches!(end, AttemptEnd::Unclear | AttemptEnd::Silent | AttemptEnd::FailedAnswer);
                    // After an unclear end, a request is sent again only if its kind allows it.
                    let may_have_run = unclear || (earlier && kind.is_idempotent());
                    let history =
                        AttemptHistory { sent, not_sent, misdirected: sent.min(not_sent), may_have_run };
                    check(
                        kind,
                        end,
                        history,
                        attempts,
                        next_action(kind, attempts, end, history, time_left, || budget),
                    );
                }
            }
        }
    }
}

#[test]
fn what_may_have_run_is_sent_again_only_where_its_kind_allows_it() {
    all_cases(|kind, end, history, _, next| {
        if next == NextAction::Retry && history.may_have_run {
            assert!(kind.is_idempotent(), "{kind:?} {end:?}");
        }
    });
}

#[test]
fn a_refusal_is_given_only_where_nothing_has_run_or_it_may_run_again() {
    all_cases(|kind, end, history, _, next| {
        if next == NextAction::Refuse && history.may_have_run {
            assert!(kind.is_idempotent(), "{kind:?} {end:?}");
        }
    });
}

#[test]
fn no_more_back_ends_run_a_request_than_its_route_allows() {
    all_cases(|_, end, history, attempts, next| {
        let ran = matches!(end, AttemptEnd::Unclear | AttemptEnd::Silent | AttemptEnd::FailedAnswer);
        if next == NextAction::Retry && ran {
            assert!(history.sent < attempts);
        }
    });
}

#[test]
fn only_a_complete_answer_is_passed_on() {
    all_cases(|_, end, _, _, next| {
        if next == NextAction::PassOn {
            assert_eq!(end, AttemptEnd::FailedAnswer);
        }
    });
}

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let share =
        |(service, weight): &(&str, u32)| Share { service: ServiceId::from(*service), weight: *weight };
    Route {
        name: name.into(),
        host: "h.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(300),
        target_gap: None,
        attempts: 2,
        priority: 0,
        anonymous: false,
        split: split.iter().map(share).collect(),
    }
}

fn table() -> RouteTable {
    let tenant = Tenant {
        name: TenantId::from("a"),
        keys: vec!["k".into()],
        priority: 0,
        isolated: false,
        quota: None,
    };
    let open = Route { anonymous: true, ..route("open", "/x/open/", &[("s", 1)]) };
    RouteTable::new(Document {
        version: 3,
        routes: vec![route("short", "/x/", &[("s", 1)]), route("long", "/x/y/", &[("s", 1)]), open],
        tenants: vec![tenant],
        ..Document::default()
    })
}

fn admitted(admission: Admission) -> String {
    match admission {
        Admission::Admitted { route, .. } => route.name.clone(),
        other => format!("{other:?}"),
    }
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = table();
    assert_eq!(admitted(table.admit("h.example", "/x/y/z", Some("k"))), "long");
    assert_eq!(admitted(table.admit("h.example:8080", "/x/z", Some("k"))), "short");
    assert!(matches!(table.admit("h.example", "/x", Some("k")), Admission::NoRoute));
    assert!(matches!(table.admit("other.example", "/x/y/", Some("k")), Admission::NoRoute));
}

#[test]
fn a_key_is_required_unless_the_route_is_anonymous() {
    let table = table();
    assert!(matches!(table.admit("h.example", "/x/", None), Admission::UnknownKey));
    assert!(matches!(table.admit("h.example", "/x/", Some("other")), Admission::UnknownKey));
    assert_eq!(admitted(table.admit("h.example", "/x/open/", None)), "open");
}

#[test]
fn shares_follow_their_weights_over_few_requests() {
    let mut round_robin = WeightedRoundRobin::default();
    let split = route("r", "/", &[("s", 70), ("t", 20), ("u", 10), ("none", 0)]);
    let mut counts = [0_u32; 4];
    for _ in 0..100 {
        counts[round_robin.pick(&split).expect("a share")] += 1;
    }
    assert_eq!(counts, [70, 20, 10, 0]);
}

#[test]
fn freshness_counts_from_when_a_call_was_sent_and_never_goes_back() {
    let at = Timestamp::from_millis;
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(Duration::from_secs(1), at(0)));
    freshness.prove(at(1_000));
    freshness.prove(at(400));
    assert_eq!(freshness.age(at(1_900)), Some(Duration::from_millis(900)));
    assert!(freshness.is_within(Duration::from_millis(901), at(1_900)));
    assert!(!freshness.is_within(Duration::from_millis(900), at(1_900)));
}

fn entry(id: &str, leaving: bool) -> BackendEntry {
    BackendEntry {
        software: None,
        id: BackendId::from(id),
        service: ServiceId::from("s"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneId::from("z"),
        slots: 1,
        leaving,
        started_at: None,
        weights: BTreeMap::new(),
    }
}

fn usable(backends: &Backends) -> Vec<String> {
    backends.usable(&ServiceId::from("s")).map(|backend| backend.entry.id.to_string()).collect()
}

#[test]
fn a_back_end_that_is_leaving_gets_nothing_and_does_not_come_back() {
    let mut backends = Backends::default();
    assert_eq!(backends.put(entry("a", false)), EntryChange::Appeared);
    assert_eq!(backends.put(entry("a", true)), EntryChange::Leaving);
    assert_eq!(backends.put(entry("a", false)), EntryChange::Updated);
    assert!(usable(&backends).is_empty());
}

#[test]
fn an_entry_that_vanishes_while_the_registry_is_unavailable_is_suspect_and_used_only_where_few_are_left() {
    let at = Timestamp::from_millis;
    let mut backends = Backends::default();
    for id in ["a", "b", "c"] {
        backends.put(entry(id, false));
    }
    backends.registry.failed();
    assert_eq!(backends.remove(&BackendId::from("a"), at(0)), EntryChange::Suspect);
    assert_eq!(usable(&backends), ["b", "c"]);
    assert_eq!(backends.remove(&BackendId::from("b"), at(0)), EntryChange::Suspect);
    assert_eq!(usable(&backends), ["a", "b", "c"]);
    assert!(backends.expire(at(10_000)).is_empty(), "no back end is gone while the registry is unavailable");
    backends.registry.answered(at(10_000));
    assert_eq!(backends.remove(&BackendId::from("c"), at(10_500)), EntryChange::Suspect);
    backends.put(entry("a", false));
    assert!(backends.expire(at(12_000)).is_empty(), "entries are still being renewed");
    assert_eq!(backends.expire(at(12_400)).len(), 2, "back ends that are still missing are gone");
    assert_eq!(usable(&backends), ["a"]);
    backends.registry.answered(at(12_400));
    assert_eq!(backends.remove(&BackendId::from("a"), at(12_500)), EntryChange::Removed);
}

#[test]
fn an_entry_that_vanishes_long_after_an_outage_is_gone_at_once() {
    let at = Timestamp::from_millis;
    let mut backends = Backends::default();
    backends.put(entry("a", false));
    backends.registry.failed();
    backends.registry.answered(at(0));
    assert_eq!(backends.remove(&BackendId::from("a"), at(2_400)), EntryChange::Removed);
}

#[test]
fn events_are_returned_complete_however_the_bytes_are_split() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda";
    bolero::check!().with_type::<Vec<u8>>().for_each(|lengths| {
        let mut splitter = EventSplitter::default();
        let (mut emitted, mut rest) = (Vec::new(), &stream[..]);
        for length in lengths.iter().map(|length| usize::from(*length) % 9 + 1) {
            let (chunk, remaining) = rest.split_at(length.min(rest.len()));
            emitted.extend_from_slice(&splitter.push(chunk));
            rest = remaining;
        }
        emitted.extend_from_slice(&splitter.push(rest));
        assert_eq!(emitted, stream[..stream.len() - 8]);
        assert_eq!(splitter.last_id(), Some(3));
        assert!(splitter.has_partial_event());
    });
}

#[test]
fn a_resumed_stream_gives_no_event_twice() {
    let mut splitter = EventSplitter::resuming_after(Some(2));
    let emitted = splitter.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assert_eq!(&emitted[..], b"id: 3\ndata: c\n\n");
}

#[test]
fn any_bytes_can_be_split() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut splitter = EventSplitter::default();
        let emitted = splitter.push(bytes);
        let _ = event_id(bytes);
        assert!(emitted.len() <= bytes.len());
    });
}

#[test]
fn a_tenants_rank_takes_precedence_over_its_routes() {
    let tenant = |priority| Tenant {
        name: TenantId::from("a"),
        keys: Vec::new(),
        priority,
        isolated: false,
        quota: None,
    };
    let of_route = |priority| Route { priority, ..route("r", "/", &[]) };
    assert!(rank(Some(&tenant(0)), &of_route(2)) < rank(Some(&tenant(1)), &of_route(0)));
    assert!(rank(Some(&tenant(1)), &of_route(0)) < rank(Some(&tenant(1)), &of_route(1)));
    assert_eq!(rank(None, &of_route(2)), 2);
    assert_eq!(rank(Some(&tenant(200)), &of_route(200)), LOWEST_RANK);
}

/// Guards against an event without end that is kept until the deadline of its request.
#[test]
fn comments_without_end_exceed_the_limit() {
    let mut splitter = EventSplitter::default();
    let comments = b": still there\r\n\r\n: no event\n\n".repeat(1_024);
    for _ in 0..20 {
        splitter.push(&comments);
    }
    assert!(splitter.exceeds_limit());
}

#[test]
fn comments_between_events_may_be_many() {
    let mut splitter = EventSplitter::default();
    let comments = b": still there\n\n".repeat(1_024);
    for number in 0..100 {
        splitter.push(&comments);
        splitter.push(format!("id: {number}\ndata: piece\n\n").as_bytes());
        assert!(!splitter.exceeds_limit());
    }
}

#[test]
fn an_event_without_end_exceeds_the_limit() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: piece\n\nid: 2\ndata: ").len(), 19);
    assert!(!splitter.exceeds_limit());
    for _ in 0..300 {
        assert!(splitter.push(&[b'a'; 1_024]).is_empty());
    }
    assert!(splitter.exceeds_limit());
}
