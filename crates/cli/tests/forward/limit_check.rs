//! Checks the requests of all informed nodes together against the limits that back ends advertise.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::Runner;

/// How long after its first advertisement this check enforces a limit.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The window over which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// How long after it has passed on an answer with a limit a node may exceed the limit.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Factor by which a window may exceed the limit.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Additional requests allowed per window.
const TOLERANCE_REQUESTS: f64 = 5.0;

/// A request that arrived at a back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The node that forwarded the request.
    pub node: usize,
    pub at: Instant,
    /// Number of earlier restarts of the back end.
    pub starts: u32,
    /// The limit advertised by the answer, in requests per second.
    pub limit: Option<f64>,
    /// Whether the node passed the answer on.
    pub passed_on: bool,
}

/// A window with more requests than allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    pub at: Instant,
    pub limit: f64,
    /// Number of requests in the window.
    pub received: usize,
}

/// Returns the number of requests allowed in a window.
pub fn allowed(limit: f64) -> f64 {
    TOLERANCE_FACTOR * limit * WINDOW.as_secs_f64() + TOLERANCE_REQUESTS
}

/// Fails a test in which a server received more requests in a window after `from` than its limit allows.
pub fn check_fullest_window(server: &Runner, limit: f64, from: Instant) {
    let arrivals: Vec<Instant> = server.seen().iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let until = |end: Instant| arrivals.partition_point(|at| *at < end);
    let in_window = |(first, at): (usize, &Instant)| until(*at + WINDOW) - first;
    let fullest = arrivals.iter().enumerate().map(in_window).max().unwrap_or(0);
    let allowed = allowed(limit);
    println!("{}: {fullest} requests in the fullest window, {allowed} allowed", server.id());
    assert!(fullest as f64 <= allowed, "{}: {fullest} requests in 4 s, {allowed} allowed", server.id());
}

/// The limit that a back end advertises from an instant on, or `None` for no limit.
pub type AdvertisedLimit = (Instant, Option<f64>);

/// Returns the limits that a runner has advertised.
pub fn advertised_by(runner: &Runner) -> Vec<AdvertisedLimit> {
    let read = |(at, text): (Instant, Option<String>)| (at, text.and_then(|text| text.parse().ok()));
    runner.limits().into_iter().map(read).collect()
}

/// Returns the windows in which one back end received too many requests; `arrivals` are in order of time.
/// `is_excused` returns whether a node was disconnected at any time in an interval.
pub fn exceeded(
    arrivals: &[Arrival],
    advertised: &[AdvertisedLimit],
    is_excused: impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Exceeded> {
    let mut by_start: BTreeMap<u32, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals {
        by_start.entry(arrival.starts).or_default().push(arrival);
    }
    by_start
        .values()
        .flat_map(|of_start| exceeded_in_one_incarnation(of_start, advertised, &is_excused))
        .collect()
}

/// The time since which a limit has been advertised without interruption at `at`.
fn limited_since(advertised: &[AdvertisedLimit], at: Instant) -> Option<Instant> {
    let before: Vec<&AdvertisedLimit> = advertised.iter().take_while(|(from, _)| *from <= at).collect();
    let since = before.iter().rev().take_while(|(_, limit)| limit.is_some()).last();
    since.map(|(from, _)| *from)
}

/// The highest limit advertised at any time in an interval.
fn max_limit(advertised: &[AdvertisedLimit], from: Instant, to: Instant) -> f64 {
    let ends = advertised.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
    let held =
        advertised.iter().zip(ends).filter(|((at, _), end)| *at <= to && end.is_none_or(|end| end > from));
    held.filter_map(|((_, limit), _)| *limit).fold(0.0, f64::max)
}

fn exceeded_in_one_incarnation(
    arrivals: &[&Arrival],
    advertised: &[AdvertisedLimit],
    is_excused: &impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Exceeded> {
    let is_settled = |end: &&&Arrival| {
        limited_since(advertised, end.at).is_some_and(|since| end.at >= since + SETTLE_TIME)
    };
    let ends = arrivals.iter().filter(|end| end.limit.is_some()).filter(is_settled);
    ends.filter_map(|end| {
        let from = end.at - WINDOW;
        let in_window: Vec<_> =
            arrivals.iter().filter(|arrival| arrival.at > from && arrival.at <= end.at).copied().collect();
        // A changed limit takes as long to propagate as the first one.
        let limit = max_limit(advertised, from - PROPAGATION_TIME, end.at);
        let is_bound = |node: usize| {
            let passed_limit_on = |arrival: &&Arrival| {
                arrival.node == node
                    && arrival.passed_on
                    && arrival.limit.is_some()
                    && arrival.at + PROPAGATION_TIME <= end.at
            };
            arrivals.iter().copied().any(|arrival| passed_limit_on(&arrival))
                && !is_excused(node, from, end.at)
        };
        let received = in_window.iter().filter(|arrival| is_bound(arrival.node)).count();
        (received as f64 > allowed(limit)).then_some(Exceeded { at: end.at, limit, received })
    })
    .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arrivals(start: Instant, limit: Option<f64>, times: &[(usize, u64)]) -> Vec<Arrival> {
        let arrival = |(node, ms): &(usize, u64)| Arrival {
            node: *node,
            at: start + Duration::from_millis(*ms),
            starts: 0,
            limit,
            passed_on: true,
        };
        times.iter().map(arrival).collect()
    }

    fn never(_: usize, _: Instant, _: Instant) -> bool {
        false
    }

    fn limit_of_one(start: Instant) -> [AdvertisedLimit; 1] {
        [(start, Some(1.0))]
    }

    #[test]
    fn the_highest_limit_in_the_window_applies_and_a_withdrawal_restarts_its_period() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let advertised =
            [(at(0), Some(2.0)), (at(1_000), Some(9.0)), (at(2_000), None), (at(3_000), Some(1.0))];
        assert_eq!(max_limit(&advertised, at(500), at(900)), 2.0);
        assert_eq!(max_limit(&advertised, at(1_500), at(9_000)), 9.0);
        assert_eq!(max_limit(&advertised, at(2_500), at(9_000)), 1.0);
        assert_eq!(limited_since(&advertised, at(1_500)), Some(at(0)));
        assert_eq!(limited_since(&advertised, at(2_500)), None);
        assert_eq!(limited_since(&advertised, at(3_500)), Some(at(3_000)));
    }

    #[test]
    fn one_request_over_the_allowance_is_found_after_the_settle_time() {
        let start = Instant::now();
        // A limit of 1 allows 11 requests.
        let mut times: Vec<(usize, u64)> = (0..11).map(|number| (number % 2, number as u64)).collect();
        times.push((0, 2_999));
        assert_eq!(exceeded(&arrivals(start, Some(1.0), &times), &limit_of_one(start), never), []);
        times.push((0, 3_000));
        assert_eq!(exceeded(&arrivals(start, Some(1.0), &times), &limit_of_one(start), never).len(), 1);
    }

    #[test]
    fn uninformed_and_excused_nodes_do_not_count() {
        let start = Instant::now();
        let mut times: Vec<(usize, u64)> = (0..12).map(|number| (0, number)).collect();
        times.push((1, 3_100));
        let all = arrivals(start, Some(1.0), &times);
        assert_eq!(exceeded(&all, &limit_of_one(start), never).len(), 1);
        assert_eq!(exceeded(&all, &limit_of_one(start), |node, _, _| node == 0), []);
        let not_passed_on: Vec<Arrival> =
            all.iter().map(|arrival| Arrival { passed_on: arrival.node == 1, ..*arrival }).collect();
        assert_eq!(exceeded(&not_passed_on, &limit_of_one(start), never), []);
    }

    #[test]
    fn a_restart_of_the_back_end_or_a_withdrawn_limit_ends_the_count() {
        let start = Instant::now();
        let times: Vec<(usize, u64)> = (0..12).map(|number| (0, number)).collect();
        let mut all = arrivals(start, Some(1.0), &times);
        let late: Vec<(usize, u64)> = (0..20).map(|number| (0, 3_100 + number)).collect();
        all.extend(arrivals(start, None, &late));
        assert_eq!(exceeded(&all, &limit_of_one(start), never), []);
        let again = arrivals(start, Some(1.0), &[(0, 3_150)]).into_iter();
        let again: Vec<Arrival> = all
            .iter()
            .copied()
            .take(12)
            .chain(again.map(|arrival| Arrival { starts: 1, ..arrival }))
            .collect();
        assert_eq!(exceeded(&again, &limit_of_one(start), never), []);
    }
}
