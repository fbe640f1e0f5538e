//! Whether back ends get more requests than the limit that they have named, summed over the nodes that it was told to.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// From how long after a back end first named a limit its requests are counted.
pub const CONTACT: Duration = Duration::from_secs(3);
/// The window in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// How long after a node has passed on an answer with a limit it is bound by it.
const HEARD_AFTER: Duration = Duration::from_millis(500);
/// How many times what a limit allows may come in a window.
const TIMES: f64 = 1.5;
/// Requests that may come beside.
const BESIDE: f64 = 5.0;

/// A request that reached a back end.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The node that sent it.
    pub node: usize,
    /// When it came.
    pub at: Instant,
    /// How often the back end had started again.
    pub starts: u32,
    /// The requests a second that its answer names.
    pub limit: Option<f64>,
    /// Whether the node passed that answer on.
    pub passed_on: bool,
}

/// A window with too many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Its end.
    pub at: Instant,
    /// The limit.
    pub limit: f64,
    /// Requests in it.
    pub got: usize,
}

/// The requests that may come in a window.
pub fn allowed(limit: f64) -> f64 {
    TIMES * limit * WINDOW.as_secs_f64() + BESIDE
}

/// Windows in which one back end got more than it may, by the arrivals there in order of time. `is_excused` tells whether a node
/// was out of touch at any moment from one to another.
pub fn exceeded(arrivals: &[Arrival], is_excused: impl Fn(usize, Instant, Instant) -> bool) -> Vec<Exceeded> {
    let mut by_start: BTreeMap<u32, Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals {
        by_start.entry(arrival.starts).or_default().push(arrival);
    }
    by_start.values().flat_map(|of_start| exceeded_in_one_life(of_start, &is_excused)).collect()
}

fn exceeded_in_one_life(
    arrivals: &[&Arrival],
    is_excused: &impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<Exceeded> {
    let Some(first) = arrivals.iter().find(|arrival| arrival.limit.is_some()) else { return Vec::new() };
    let counted_from = first.at + CONTACT;
    let ends = arrivals.iter().filter(|arrival| arrival.at >= counted_from && arrival.limit.is_some());
    ends.filter_map(|end| {
        let from = end.at - WINDOW;
        let in_window: Vec<_> =
            arrivals.iter().filter(|one| one.at > from && one.at <= end.at).copied().collect();
        let limit = in_window.iter().filter_map(|one| one.limit).fold(0.0, f64::max);
        let is_told = |node: usize| {
            let told = |one: &&Arrival| {
                one.node == node && one.passed_on && one.limit.is_some() && one.at + HEARD_AFTER <= end.at
            };
            arrivals.iter().copied().any(|one| told(&one)) && !is_excused(node, from, end.at)
        };
        let got = in_window.iter().filter(|one| is_told(one.node)).count();
        (got as f64 > allowed(limit)).then_some(Exceeded { at: end.at, limit, got })
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

    #[test]
    fn one_request_over_what_is_allowed_is_found_from_the_time_of_contact_on() {
        let start = Instant::now();
        // A limit of 1 allows 11.
        let mut times: Vec<(usize, u64)> = (0..11).map(|number| (number % 2, number as u64)).collect();
        times.push((0, 2_999));
        assert_eq!(exceeded(&arrivals(start, Some(1.0), &times), never), []);
        times.push((0, 3_000));
        assert_eq!(exceeded(&arrivals(start, Some(1.0), &times), never).len(), 1);
    }

    #[test]
    fn nodes_that_were_not_told_or_that_are_excused_do_not_count() {
        let start = Instant::now();
        let mut times: Vec<(usize, u64)> = (0..12).map(|number| (0, number)).collect();
        times.push((1, 3_100));
        let all = arrivals(start, Some(1.0), &times);
        assert_eq!(exceeded(&all, never).len(), 1);
        assert_eq!(exceeded(&all, |node, _, _| node == 0), []);
        let untold: Vec<Arrival> =
            all.iter().map(|one| Arrival { passed_on: one.node == 1, ..*one }).collect();
        assert_eq!(exceeded(&untold, never), []);
    }

    #[test]
    fn a_new_start_of_the_back_end_or_the_end_of_its_limit_counts_nothing_more() {
        let start = Instant::now();
        let times: Vec<(usize, u64)> = (0..12).map(|number| (0, number)).collect();
        let mut all = arrivals(start, Some(1.0), &times);
        let late: Vec<(usize, u64)> = (0..20).map(|number| (0, 3_100 + number)).collect();
        all.extend(arrivals(start, None, &late));
        assert_eq!(exceeded(&all, never), []);
        let again = arrivals(start, Some(1.0), &[(0, 3_150)]).into_iter();
        let again: Vec<Arrival> =
            all.iter().copied().take(12).chain(again.map(|one| Arrival { starts: 1, ..one })).collect();
        assert_eq!(exceeded(&again, never), []);
    }
}
