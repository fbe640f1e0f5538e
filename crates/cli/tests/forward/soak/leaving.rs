//! Back ends that say in their answers that they leave, or ask for rest, beside outages of the store, its returns from older copies,
//! and starts, stand-stills and stops of nodes, in series that overlap. Links work all the time.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use paddlemount_platform_standin::{Identity, RestartPlan, Runner, store::StoreFault};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{Soak, disturbance::Cause};

/// Times without requests that back ends ask for: seconds, fractions, and values that mean nothing.
const RESTS: [&str; 7] = ["1", "2", "3", "0.7", "1.25", "-2", "soon"];

/// Limits that back ends name: requests a second, and values that mean nothing.
const LIMITS: [&str; 6] = ["0", "0.3", "1.1", "5", "40", "few"];

/// How long the store is away before it comes back from a copy, and what was lost is missing there.
const RESTORE: Duration = Duration::from_millis(200);

/// The faults of these plays.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Leave,
    LeaveWhileStoreIsAway,
    Rest,
    AllRest,
    Limit,
    AllLimit,
    StoreAway,
    StoreRestored,
    StandStill,
    Kill,
    Stop,
    Release,
    Misbehave,
    Name,
}

/// The faults that are drawn, each as often as it stands here.
const FAULTS: [Fault; 22] = [
    Fault::Leave,
    Fault::Leave,
    Fault::LeaveWhileStoreIsAway,
    Fault::LeaveWhileStoreIsAway,
    Fault::Rest,
    Fault::Rest,
    Fault::Rest,
    Fault::AllRest,
    Fault::Limit,
    Fault::Limit,
    Fault::Limit,
    Fault::AllLimit,
    Fault::StoreAway,
    Fault::StoreRestored,
    Fault::StoreRestored,
    Fault::StandStill,
    Fault::Kill,
    Fault::Stop,
    Fault::Release,
    Fault::Misbehave,
    Fault::Misbehave,
    Fault::Name,
];

impl Soak {
    /// One series, one fault after the other.
    pub(super) async fn faults_beside_announcements(&self, seed: u64, series: u64) {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(series) ^ 1 << 49);
        while Instant::now() < self.until {
            tokio::time::sleep(Duration::from_millis(random.random_range(50..500))).await;
            let fault = FAULTS[random.random_range(0..FAULTS.len())];
            let node = random.random_range(0..self.nodes());
            let length = Duration::from_millis(random.random_range(200..2_500));
            match fault {
                Fault::Leave => self.leave(&mut random).await,
                Fault::LeaveWhileStoreIsAway => {
                    tokio::join!(self.store_away(length * 2), self.leave(&mut random));
                }
                Fault::Rest => self.reject_requests(&mut random, 1),
                Fault::AllRest => self.reject_requests(&mut random, self.place.engines.len()),
                Fault::Limit => self.limit(&mut random, 1).await,
                Fault::AllLimit => self.limit(&mut random, self.place.engines.len()).await,
                Fault::StoreAway => self.store_away(length).await,
                Fault::StoreRestored => self.restore_store(length).await,
                Fault::StandStill => self.freeze(node, length).await,
                Fault::Kill => self.kill(node, length).await,
                Fault::Stop => self.stop(node).await,
                Fault::Release => self.release(&mut random, length).await,
                Fault::Misbehave => self.misbehave(&mut random),
                Fault::Name => self.name_weights(),
            }
        }
    }

    async fn store_away(&self, length: Duration) {
        self.tell(format!("the store is away for {length:?}"));
        let from = Instant::now();
        self.place.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(length).await;
        self.place.store.set_fault(StoreFault::None);
        self.disturbed(Cause::Store, from);
    }

    /// The store is away for a moment, and comes back from a copy that is some seconds old.
    async fn restore_store(&self, age: Duration) {
        // Two at once would make one of the copies older than the other's era.
        let Ok(_taken) = self.restoring.try_lock() else { return };
        let copy = self.place.store.backup();
        tokio::time::sleep(age).await;
        self.tell(format!("the store comes back from a copy of {age:?} ago"));
        let from = Instant::now();
        self.place.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(RESTORE).await;
        let written = self.place.store.restore(&copy);
        self.place.store.set_fault(StoreFault::None);
        tokio::time::sleep(RESTORE).await;
        self.place.store.rewrite(&written);
        self.disturbed(Cause::Store, from);
    }

    /// One or two back ends leave: they say so in their answers, some in their entries as well, serve on for seconds, and start
    /// again.
    async fn leave(&self, random: &mut StdRng) {
        let leaving: Vec<&Runner> = (0..random.random_range(1..3)).map(|_| self.any_runner(random)).collect();
        let says = random.random_range(0..2) == 0;
        let repeats_entry = random.random_range(0..2) == 0;
        let serves_on = Duration::from_millis(random.random_range(1_500..4_500));
        let identity = if random.random_range(0..2) == 0 { Identity::Same } else { Identity::Another };
        let names: Vec<String> = leaving.iter().map(|runner| runner.id()).collect();
        self.tell(format!("{names:?} leave in {serves_on:?}, entries say so: {says}"));
        leaving.iter().for_each(|runner| runner.announce_leaving());
        let ends = leaving.iter().map(|runner| async {
            if says {
                self.place.drain_at(runner);
            }
            tokio::time::sleep(serves_on / 2).await;
            if repeats_entry && !says {
                self.place.change_slots(runner, 7);
            }
            tokio::time::sleep(serves_on / 2).await;
            runner.crash_with(RestartPlan { after: Duration::from_millis(300), identity });
        });
        join_all(ends).await;
    }

    /// Back ends of one service name limits for some seconds, another one each second.
    async fn limit(&self, random: &mut StdRng, count: usize) {
        let runners = if random.random_range(0..2) == 0 { &self.place.engines } else { &self.place.bookings };
        let first = random.random_range(0..runners.len());
        let limited: Vec<&Runner> =
            (0..count.min(runners.len())).map(|number| &runners[(first + number) % runners.len()]).collect();
        for _ in 0..random.random_range(2..9) {
            let text = LIMITS[random.random_range(0..LIMITS.len())];
            self.tell(format!("{count} from {} on name a limit of {text:?}", runners[first].id()));
            limited.iter().for_each(|runner| runner.advertise_limit(text));
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        limited.iter().for_each(|runner| runner.withdraw_limit());
    }

    /// Back ends of one service turn requests away for a while, and ask for rest.
    fn reject_requests(&self, random: &mut StdRng, count: usize) {
        let runners = if random.random_range(0..2) == 0 { &self.place.engines } else { &self.place.bookings };
        let text = RESTS[random.random_range(0..RESTS.len())];
        let lasts = Duration::from_millis(random.random_range(200..4_000));
        let first = random.random_range(0..runners.len());
        self.tell(format!("{count} from {} on ask for {text:?} over {lasts:?}", runners[first].id()));
        for number in 0..count.min(runners.len()) {
            runners[(first + number) % runners.len()].reject_requests(text, lasts);
        }
    }
}
