//! Checks that no request starts on older weights too long after newer ones became the target.

use std::time::{Duration, Instant};

use super::disturbance::Disturbance;

/// A target version of the weights set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    pub version: u64,
    /// When the store accepted the version.
    pub at: Instant,
}

/// A request that started on a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// The caller's request identifier.
    pub id: String,
    /// The node that forwarded the request.
    pub node: usize,
    /// The version on which the request started.
    pub version: u64,
    /// When the request started.
    pub at: Instant,
}

/// A request that started too late on its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateStart {
    pub started: StartedRequest,
    /// The newer target version.
    pub newer: TargetVersion,
    /// For how long all nodes could have known the newer version.
    pub known_for: Duration,
}

/// Returns requests that started on a version more than `bound` after a newer target was set.
///
/// The bound applies to periods without faults of store and links, and to nodes that have not been disturbed
/// for a while. A start counts as a disturbance, after which the node must learn earlier targets.
pub fn late_starts(
    started: &[StartedRequest],
    targets: &[TargetVersion],
    disturbances: &[Disturbance],
    bound: Duration,
) -> Vec<LateStart> {
    let late = started.iter().filter_map(|started| {
        let newer = *targets
            .iter()
            .filter(|target| target.version > started.version)
            .min_by_key(|target| target.at)?;
        let undisturbed =
            disturbances.iter().map(|disturbance| disturbance.store_and_links_undisturbed_since(started.at));
        let since = undisturbed.flatten().fold(newer.at, Instant::max);
        let known_for = started.at.saturating_duration_since(since);
        let excused =
            disturbances.iter().any(|disturbance| disturbance.affects_node(started.node, started.at));
        (known_for > bound && !excused).then(|| LateStart { started: started.clone(), newer, known_for })
    });
    late.collect()
}

#[cfg(test)]
mod tests {
    use super::{
        super::disturbance::{Cause, SETTLE_TIME},
        *,
    };

    const BOUND: Duration = Duration::from_secs(4);

    fn after(start: Instant, seconds: u64) -> Instant {
        start + Duration::from_secs(seconds)
    }

    fn started(start: Instant, version: u64, seconds: u64) -> StartedRequest {
        StartedRequest { id: "r".into(), node: 1, version, at: after(start, seconds) }
    }

    fn targets(start: Instant) -> Vec<TargetVersion> {
        vec![
            TargetVersion { version: 2, at: after(start, 10) },
            TargetVersion { version: 3, at: after(start, 12) },
        ]
    }

    fn is_late(start: Instant, started: StartedRequest, disturbances: &[Disturbance]) -> bool {
        !late_starts(&[started], &targets(start), disturbances, BOUND).is_empty()
    }

    #[test]
    fn an_older_version_may_be_used_up_to_the_bound() {
        let start = Instant::now();
        assert!(!is_late(start, started(start, 1, 9), &[]));
        assert!(!is_late(start, started(start, 1, 14), &[]));
        assert!(is_late(start, started(start, 1, 15), &[]));
    }

    #[test]
    fn the_bound_counts_from_the_first_newer_version() {
        let start = Instant::now();
        assert!(!is_late(start, started(start, 2, 16), &[]));
        assert!(is_late(start, started(start, 2, 17), &[]));
        assert!(!is_late(start, started(start, 3, 100), &[]));
    }

    #[test]
    fn later_target_versions_do_not_extend_the_bound() {
        let start = Instant::now();
        let late = late_starts(&[started(start, 1, 15)], &targets(start), &[], BOUND);
        assert_eq!(late[0].newer.version, 2);
        assert_eq!(late[0].known_for, Duration::from_secs(5));
    }

    #[test]
    fn a_store_outage_extends_the_bound() {
        let start = Instant::now();
        let outage = Disturbance { cause: Cause::Store, from: after(start, 11), to: after(start, 13) };
        let bound_end = after(start, 13) + SETTLE_TIME + BOUND;
        assert!(!is_late(start, StartedRequest { at: bound_end, ..started(start, 1, 0) }, &[outage]));
        assert!(is_late(
            start,
            StartedRequest { at: bound_end + Duration::from_millis(1), ..started(start, 1, 0) },
            &[outage]
        ));
    }

    #[test]
    fn a_disturbance_after_the_bound_excuses_nothing_before_it() {
        let start = Instant::now();
        let outage = Disturbance { cause: Cause::Link, from: after(start, 16), to: after(start, 17) };
        assert!(is_late(start, started(start, 1, 15), &[outage]));
    }

    #[test]
    fn a_restart_of_the_node_excuses_it_for_a_limited_time() {
        let start = Instant::now();
        let restarted = Disturbance { cause: Cause::Node(1), from: after(start, 13), to: after(start, 14) };
        assert!(!is_late(start, started(start, 1, 16), &[restarted]));
        assert!(is_late(start, started(start, 1, 18), &[restarted]));
    }

    #[test]
    fn a_restart_of_another_node_excuses_nothing() {
        let start = Instant::now();
        let other = Disturbance { cause: Cause::Node(2), from: after(start, 13), to: after(start, 15) };
        assert!(is_late(start, started(start, 1, 15), &[other]));
    }
}
