//! Whether nodes heed what back ends say of themselves in their answers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::ReceivedRequest;

use super::disturbance::Disturbance;

/// What is on its way when an answer comes may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests that may reach a back end in a time without any that it has asked for.
const MOST_IN_REST: usize = 2;

/// A request that reached one process of a back end.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// What the back end saw.
    pub seen: &'a ReceivedRequest,
    /// The node that sent it.
    pub node: usize,
    /// When its caller sent it.
    pub sent_at: Instant,
    /// Whether the caller got the back end's whole answer.
    pub passed_on: bool,
}

/// A statement of a back end that a node has not heeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unheeded {
    /// A request came from a node long after it had passed on an answer that says that the back end leaves.
    Leaving { node: usize, id: String, after: Duration },
    /// More requests than may be on their way came from a node in a time without any.
    Rest { node: usize, asked: Duration, told: String, ids: Vec<String> },
}

/// What nodes have not heeded of the statements of one back end, whose arrivals come in the order of time.
pub fn unheeded(
    arrivals: &[Arrival],
    disturbances: &[Disturbance],
    drain_timeout: Duration,
) -> Vec<Unheeded> {
    let mut by_process: BTreeMap<(usize, u32), Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| !arrival.seen.misdirected) {
        by_process.entry((arrival.node, arrival.seen.starts)).or_default().push(arrival);
    }
    let parted = |node: usize, from: Instant, to: Instant| {
        disturbances.iter().any(|disturbance| disturbance.parts_node(node, from, to))
    };
    let mut found = Vec::new();
    for ((node, _), arrivals) in by_process {
        found.extend(sent_to_leaving(node, &arrivals, drain_timeout, &parted));
        found.extend(sent_in_rest(node, &arrivals, &parted));
    }
    found
}

fn sent_to_leaving(
    node: usize,
    arrivals: &[&Arrival],
    drain_timeout: Duration,
    parted: &impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Unheeded> {
    let told = arrivals.iter().find(|arrival| arrival.seen.announced_leaving && arrival.passed_on);
    let Some(told) = told.map(|told| told.seen.at) else { return Vec::new() };
    let bound = told + ON_ITS_WAY + drain_timeout;
    let late = arrivals.iter().filter(|late| late.sent_at > bound && !parted(node, told, late.seen.at));
    late.map(|late| Unheeded::Leaving {
        node,
        id: late.seen.id.clone(),
        after: late.seen.at.saturating_duration_since(told),
    })
    .collect()
}

fn sent_in_rest(
    node: usize,
    arrivals: &[&Arrival],
    parted: &impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Unheeded> {
    let mut found = Vec::new();
    for told in arrivals {
        let asked = told.seen.retry_after.as_ref().and_then(|text| text.parse().ok());
        let Some(asked) = asked.and_then(|asked| Duration::try_from_secs_f64(asked).ok()) else { continue };
        let (from, to) = (told.seen.at + ON_ITS_WAY, told.seen.at + asked);
        let within = arrivals.iter().filter(|one| one.seen.at > from && one.seen.at < to);
        let ids: Vec<String> = within.map(|one| one.seen.id.clone()).collect();
        if ids.len() > MOST_IN_REST && !parted(node, told.seen.at - ON_ITS_WAY, to) {
            found.push(Unheeded::Rest { node, asked, told: told.seen.id.clone(), ids });
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::{super::disturbance::Cause, *};

    const DRAIN: Duration = Duration::from_secs(2);

    fn seen(start: Instant, ms: u64) -> ReceivedRequest {
        ReceivedRequest {
            at: start + Duration::from_millis(ms),
            id: format!("r{ms}"),
            ran: true,
            tenant: String::new(),
            had_authorization: false,
            intended_for: String::new(),
            scope: String::new(),
            version: 1,
            deadline_ms: 1,
            resumes_after: None,
            body: Vec::new(),
            starts: 0,
            misdirected: false,
            announced_leaving: false,
            retry_after: None,
            limit: None,
        }
    }

    fn leaving(start: Instant, ms: u64) -> ReceivedRequest {
        ReceivedRequest { announced_leaving: true, ..seen(start, ms) }
    }

    fn resting(start: Instant, ms: u64) -> ReceivedRequest {
        ReceivedRequest { retry_after: Some("3".into()), ran: false, ..seen(start, ms) }
    }

    fn judged(all: &[ReceivedRequest], disturbances: &[Disturbance]) -> usize {
        let arrival = |seen| Arrival { seen, node: 1, sent_at: seen.at, passed_on: seen.ran };
        let arrivals: Vec<Arrival> = all.iter().map(arrival).collect();
        unheeded(&arrivals, disturbances, DRAIN).len()
    }

    #[test]
    fn a_back_end_that_leaves_may_be_sent_requests_up_to_the_bound() {
        let start = Instant::now();
        assert_eq!(judged(&[leaving(start, 0), seen(start, 2_500)], &[]), 0);
        assert_eq!(judged(&[leaving(start, 0), seen(start, 2_501)], &[]), 1);
    }

    #[test]
    fn what_a_node_has_not_passed_on_binds_it_to_nothing() {
        let start = Instant::now();
        let broken = ReceivedRequest { ran: false, ..leaving(start, 0) };
        assert_eq!(judged(&[broken, seen(start, 9_000)], &[]), 0);
    }

    #[test]
    fn a_new_start_of_the_back_end_ends_both() {
        let start = Instant::now();
        let again = |ms| ReceivedRequest { starts: 1, ..seen(start, ms) };
        assert_eq!(judged(&[leaving(start, 0), again(9_000)], &[]), 0);
        assert_eq!(judged(&[resting(start, 0), again(900), again(950), again(990)], &[]), 0);
    }

    #[test]
    fn two_requests_may_come_in_a_rest_beside_those_on_their_way() {
        let start = Instant::now();
        let two =
            [resting(start, 0), seen(start, 400), seen(start, 600), seen(start, 2_999), seen(start, 3_000)];
        assert_eq!(judged(&two, &[]), 0);
        let three = [resting(start, 0), seen(start, 501), seen(start, 600), seen(start, 2_999)];
        assert_eq!(judged(&three, &[]), 1);
    }

    #[test]
    fn a_start_of_the_node_or_a_trouble_of_a_link_excuses_what_follows_it() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let late = [leaving(start, 0), seen(start, 9_000)];
        let rest = [resting(start, 0), seen(start, 501), seen(start, 600), seen(start, 2_999)];
        for (cause, excuses) in
            [(Cause::Node(1), true), (Cause::Link, true), (Cause::Node(2), false), (Cause::Store, false)]
        {
            let disturbance = Disturbance { cause, from: at(100), to: at(200) };
            assert_eq!(judged(&late, &[disturbance]) == 0, excuses, "{cause:?}");
            assert_eq!(judged(&rest, &[disturbance]) == 0, excuses, "{cause:?}");
        }
    }
}
