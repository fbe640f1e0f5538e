//! Whether requests begin on weights that were replaced by newer ones too long ago.

use std::time::{Duration, Instant};

use super::disturbance::Disturbance;

/// A version of weights that the operator named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: u64,
    /// When the store had it.
    pub at: Instant,
}

/// A request that began to run on a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// The identity that its caller gave it.
    pub id: String,
    /// The node that sent it on.
    pub node: usize,
    /// The version that it began on.
    pub version: u64,
    /// When it began.
    pub at: Instant,
}

/// A request that began too late on its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunLate {
    /// The request.
    pub begun: Begun,
    /// The newer version that had been named.
    pub newer: Naming,
    /// How long all nodes could have known of it by then.
    pub known_for: Duration,
}

/// Requests that began on a version more than `bound` after a newer one was named.
///
/// The bound counts within a time in which store and links worked. It holds for nodes that nothing has disturbed for a
/// while; a start is a disturbance like others, so a node that started since must find out what was named before.
pub fn begun_late(
    begun: &[Begun],
    namings: &[Naming],
    disturbances: &[Disturbance],
    bound: Duration,
) -> Vec<BegunLate> {
    let late = begun.iter().filter_map(|begun| {
        let newer =
            *namings.iter().filter(|naming| naming.version > begun.version).min_by_key(|naming| naming.at)?;
        let undisturbed =
            disturbances.iter().map(|disturbance| disturbance.place_undisturbed_since(begun.at));
        let since = undisturbed.flatten().fold(newer.at, Instant::max);
        let known_for = begun.at.saturating_duration_since(since);
        let excused = disturbances.iter().any(|disturbance| disturbance.concerns_node(begun.node, begun.at));
        (known_for > bound && !excused).then(|| BegunLate { begun: begun.clone(), newer, known_for })
    });
    late.collect()
}

#[cfg(test)]
mod tests {
    use super::{
        super::disturbance::{CONTACT, Cause},
        *,
    };

    const BOUND: Duration = Duration::from_secs(4);

    fn after(start: Instant, seconds: u64) -> Instant {
        start + Duration::from_secs(seconds)
    }

    fn begun(start: Instant, version: u64, seconds: u64) -> Begun {
        Begun { id: "r".into(), node: 1, version, at: after(start, seconds) }
    }

    fn namings(start: Instant) -> Vec<Naming> {
        vec![Naming { version: 2, at: after(start, 10) }, Naming { version: 3, at: after(start, 12) }]
    }

    fn is_late(start: Instant, begun: Begun, disturbances: &[Disturbance]) -> bool {
        !begun_late(&[begun], &namings(start), disturbances, BOUND).is_empty()
    }

    #[test]
    fn an_older_version_may_be_used_up_to_the_bound() {
        let start = Instant::now();
        assert!(!is_late(start, begun(start, 1, 9), &[]));
        assert!(!is_late(start, begun(start, 1, 14), &[]));
        assert!(is_late(start, begun(start, 1, 15), &[]));
    }

    #[test]
    fn the_bound_counts_from_the_first_newer_version() {
        let start = Instant::now();
        assert!(!is_late(start, begun(start, 2, 16), &[]));
        assert!(is_late(start, begun(start, 2, 17), &[]));
        assert!(!is_late(start, begun(start, 3, 100), &[]));
    }

    #[test]
    fn further_namings_do_not_put_the_bound_off() {
        let start = Instant::now();
        let late = begun_late(&[begun(start, 1, 15)], &namings(start), &[], BOUND);
        assert_eq!(late[0].newer.version, 2);
        assert_eq!(late[0].known_for, Duration::from_secs(5));
    }

    #[test]
    fn a_trouble_of_the_store_puts_the_bound_off() {
        let start = Instant::now();
        let trouble = Disturbance { cause: Cause::Store, from: after(start, 11), to: after(start, 13) };
        let bound_over = after(start, 13) + CONTACT + BOUND;
        assert!(!is_late(start, Begun { at: bound_over, ..begun(start, 1, 0) }, &[trouble]));
        assert!(is_late(
            start,
            Begun { at: bound_over + Duration::from_millis(1), ..begun(start, 1, 0) },
            &[trouble]
        ));
    }

    #[test]
    fn a_trouble_after_the_bound_excuses_nothing_before_it() {
        let start = Instant::now();
        let trouble = Disturbance { cause: Cause::Link, from: after(start, 16), to: after(start, 17) };
        assert!(is_late(start, begun(start, 1, 15), &[trouble]));
    }

    #[test]
    fn a_start_of_the_node_excuses_it_only_for_a_while() {
        let start = Instant::now();
        let started = Disturbance { cause: Cause::Node(1), from: after(start, 13), to: after(start, 14) };
        assert!(!is_late(start, begun(start, 1, 16), &[started]));
        assert!(is_late(start, begun(start, 1, 18), &[started]));
    }

    #[test]
    fn a_start_of_another_node_excuses_nothing() {
        let start = Instant::now();
        let other = Disturbance { cause: Cause::Node(2), from: after(start, 13), to: after(start, 15) };
        assert!(is_late(start, begun(start, 1, 15), &[other]));
    }
}
