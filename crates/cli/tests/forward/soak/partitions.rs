//! Nodes that lose the paths to back ends, combined with other faults.

use std::time::{Duration, Instant};

use paddlemount_platform_standin::Cut;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Soak, disturbance::Cause, locked, source};

/// The longest cut: long enough for a node to notice it and to serve through others.
const MAX_CUT: Duration = Duration::from_secs(5);

/// A time in which a node had no path to back ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeCut {
    node: usize,
    from: Instant,
    to: Instant,
}

impl Soak {
    /// Runs one sequence of faults.
    pub(super) async fn partition_faults(&self, seed: u64, series: u64) {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(37).wrapping_add(series));
        while Instant::now() < self.until {
            tokio::time::sleep(Duration::from_millis(random.random_range(100..900))).await;
            let node = random.random_range(0..self.nodes());
            let length = Duration::from_millis(random.random_range(200..2_500));
            match random.random_range(0..9_u8) {
                0..4 => self.cut_off(&mut random).await,
                4 => self.freeze(node, length).await,
                5 => self.kill(node, length).await,
                6 => self.stop(node).await,
                7 => self.advance_target_version(),
                _ => self.rolling_restart(&mut random, length).await,
            }
        }
    }

    /// Cuts off one node or several, up to all of them.
    pub(super) async fn cut_off(&self, random: &mut StdRng) {
        let all = [Cut::Silent, Cut::Reset, Cut::NewOnly];
        let cut = all[random.random_range(0..all.len())];
        let length = MAX_CUT.mul_f64(random.random_range(0.1..1.0));
        let first = random.random_range(0..self.nodes());
        let count = random.random_range(1..=self.nodes());
        let nodes: Vec<usize> = (first..first + count).map(|node| node % self.nodes()).collect();
        self.log(format!("nodes {nodes:?} lose the paths to back ends for {length:?}: {cut:?}"));
        let from = Instant::now();
        nodes.iter().for_each(|node| self.cluster.partition.cut(source(*node), cut));
        tokio::time::sleep(length).await;
        nodes.iter().for_each(|node| self.cluster.partition.heal(source(*node)));
        let to = Instant::now();
        locked(&self.cuts).extend(nodes.iter().map(|node| NodeCut { node: *node, from, to }));
        self.disturbed(Cause::Link, from);
    }

    /// Whether no node had a path to back ends at `at`.
    pub(super) fn all_are_cut_off(&self, at: Instant) -> bool {
        let cuts = locked(&self.cuts);
        let is_cut = |node: usize| cuts.iter().any(|cut| cut.node == node && cut.from <= at && at < cut.to);
        (0..self.nodes()).all(is_cut)
    }
}
