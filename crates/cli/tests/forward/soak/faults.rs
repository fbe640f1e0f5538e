//! Faults from outside, in series that overlap.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use paddlemount_platform_standin::{Behaviour, Runner, cluster::KEY, proxy::LinkFault, store::StoreFault};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    REMOVED_KEY, Soak,
    disturbance::{Cause, Disturbance},
    locked, start_node,
    weights::Naming,
};
use crate::router::Router;

impl Soak {
    /// One series of faults, one after the other.
    pub(super) async fn faults(&self, seed: u64, series: u64) {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(series));
        while Instant::now() < self.until {
            tokio::time::sleep(Duration::from_millis(random.random_range(100..900))).await;
            let (fault, length) = (random.random_range(0..14_u8), random.random_range(200..2_500));
            let node = random.random_range(0..self.nodes());
            let length = Duration::from_millis(length);
            match fault {
                0 => self.trouble_store(&mut random, length).await,
                1 | 2 => self.harm_link(&mut random, length).await,
                3 | 4 => self.misbehave(&mut random),
                5 => self.freeze(node, length).await,
                6 => self.kill(node, length).await,
                7 => self.stop(node).await,
                8 => self.name_weights(),
                9 => self.change_document().await,
                10 => self.hang_up(&mut random, node).await,
                11 => self.lose_rack(&mut random),
                12 => self.silence(&mut random),
                _ => self.release(&mut random, length).await,
            }
        }
    }

    /// The operator takes a key away.
    pub(super) async fn take_key_away(&self, at: Instant) {
        tokio::time::sleep_until(at.into()).await;
        let mut version = self.document.lock().await;
        *version += 1;
        self.place.configure(*version, &[KEY]);
        *locked(&self.removed_at) = Some(Instant::now());
    }

    pub(super) fn disturbed(&self, cause: Cause, from: Instant) {
        let disturbance = Disturbance { cause, from, to: Instant::now() };
        locked(&self.disturbances).push(disturbance);
    }

    async fn trouble_store(&self, random: &mut StdRng, length: Duration) {
        let troubles =
            [StoreFault::Silent, StoreFault::Refuses, StoreFault::LosesAnswers, StoreFault::Nonsense];
        let trouble = troubles[random.random_range(0..troubles.len())];
        self.tell(format!("store {trouble:?} for {length:?}"));
        let from = Instant::now();
        self.place.store.set_fault(trouble);
        tokio::time::sleep(length).await;
        self.place.store.set_fault(StoreFault::None);
        self.disturbed(Cause::Store, from);
    }

    async fn harm_link(&self, random: &mut StdRng, length: Duration) {
        let all = [&self.store_links, &self.runner_links, &self.peer_links];
        let kind = random.random_range(0..all.len());
        let number = random.random_range(0..all[kind].len());
        let harms = [
            LinkFault::Late(length / 8),
            LinkFault::CutThere,
            LinkFault::CutBack,
            LinkFault::Silent,
            LinkFault::Reset,
        ];
        let harm = harms[random.random_range(0..harms.len())];
        let link = &all[kind][number];
        self.tell(format!("link {kind}.{number} {harm:?} for {length:?}"));
        let from = Instant::now();
        link.set(harm);
        tokio::time::sleep(length).await;
        link.set(LinkFault::None);
        // A node that others do not reach may be the one that concludes for them.
        self.disturbed(Cause::Link, from);
    }

    /// Open connections that fall silent for good; new ones work.
    pub(super) fn silence(&self, random: &mut StdRng) {
        let all = [&self.store_links, &self.runner_links, &self.peer_links];
        let kind = random.random_range(0..all.len());
        let number = random.random_range(0..all[kind].len());
        self.tell(format!("open connections over link {kind}.{number} fall silent for good"));
        let from = Instant::now();
        all[kind][number].stall_open_connections();
        self.disturbed(Cause::Link, from);
    }

    pub(super) fn misbehave(&self, random: &mut StdRng) {
        let all = [
            Behaviour::Sheds,
            Behaviour::Fails,
            Behaviour::Breaks,
            Behaviour::BreaksInEvent,
            Behaviour::AnswersAnother,
            Behaviour::AnswersTwice,
            Behaviour::Hangs,
            Behaviour::Slow,
        ];
        let runner = self.any_runner(random);
        let script: Vec<Behaviour> =
            (0..random.random_range(1..6)).map(|_| all[random.random_range(0..all.len())]).collect();
        self.tell(format!("{} will {script:?}", runner.id()));
        runner.script(&script);
    }

    pub(super) fn any_runner(&self, random: &mut StdRng) -> &Runner {
        let runners = self.place.engines.len() + self.place.bookings.len();
        let number = random.random_range(0..runners);
        self.place.engines.iter().chain(&self.place.bookings).nth(number).expect("a runner of this number")
    }

    pub(super) async fn freeze(&self, node: usize, length: Duration) {
        let Ok(_taken) = self.taken[node].try_lock() else { return };
        let Some(router) = self.router(node) else { return };
        self.tell(format!("node {node} stands still for {length:?}"));
        let from = Instant::now();
        router.freeze();
        tokio::time::sleep(length).await;
        router.thaw();
        self.disturbed(Cause::Node(node), from);
    }

    pub(super) async fn kill(&self, node: usize, length: Duration) {
        let Ok(_taken) = self.taken[node].try_lock() else { return };
        self.tell(format!("node {node} is killed"));
        let from = Instant::now();
        if let Some(router) = self.router(node) {
            router.kill();
        }
        self.set_router(node, None);
        tokio::time::sleep(length / 4).await;
        self.restart(node).await;
        self.disturbed(Cause::Node(node), from);
    }

    /// A planned stop: callers keep using the process, by the connections that they have, until it is gone.
    pub(super) async fn stop(&self, node: usize) {
        let Ok(_taken) = self.taken[node].try_lock() else { return };
        let Some(router) = self.router(node) else { return };
        self.tell(format!("node {node} is stopped as planned"));
        let from = Instant::now();
        router.terminate();
        router.until("gone after its grace period", async || router.is_gone()).await;
        self.set_router(node, None);
        self.restart(node).await;
        self.disturbed(Cause::Node(node), from);
    }

    pub(super) async fn restart(&self, node: usize) {
        let router = start_node(&self.store_links[node], &self.peer_links[node], node).await;
        self.set_router(node, Some(Arc::new(router)));
    }

    pub(super) fn set_router(&self, node: usize, router: Option<Arc<Router>>) {
        *locked(&self.routers[node]) = router;
    }

    /// The operator names the next version of the weights.
    pub(super) fn name_weights(&self) {
        let mut namings = locked(&self.namings);
        let version = namings.last().map_or(2, |naming| naming.version + 1);
        self.place.set_target_version(version);
        namings.push(Naming { version, at: Instant::now() });
        drop(namings);
        self.tell(format!("version {version} is named"));
    }

    /// Several versions of the document in quick succession.
    async fn change_document(&self) {
        self.tell("the document changes".into());
        for _ in 0..3 {
            let mut version = self.document.lock().await;
            *version += 1;
            let removed = locked(&self.removed_at).is_some();
            let keys: &[&str] = if removed { &[KEY] } else { &[KEY, REMOVED_KEY] };
            self.place.configure(*version, keys);
            drop(version);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }

    /// Signals in quick succession that tell of settings which have not changed, at times beside a stop.
    async fn hang_up(&self, random: &mut StdRng, node: usize) {
        let Some(router) = self.router(node) else { return };
        self.tell(format!("node {node} is told of its settings"));
        for _ in 0..random.random_range(1..5) {
            if router.is_gone() {
                return;
            }
            router.hang_up();
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Engines that end at the same moment.
    fn lose_rack(&self, random: &mut StdRng) {
        let count = random.random_range(1..=self.place.engines.len());
        self.tell(format!("{count} engines end together"));
        self.place.engines.iter().take(count).for_each(Runner::crash);
    }

    /// Runners that end one after the other.
    pub(super) async fn release(&self, random: &mut StdRng, length: Duration) {
        self.tell(format!("runners are replaced one by one over {length:?}"));
        for _ in 0..3 {
            self.any_runner(random).crash();
            tokio::time::sleep(length / 3).await;
        }
    }
}

impl Router {
    /// The process ends at once.
    pub(super) fn kill(&self) {
        self.signal("-KILL");
    }
}
