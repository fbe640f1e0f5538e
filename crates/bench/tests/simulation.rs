//! The simulation kernel: order of events, and delays and losses of the network.

use std::time::Duration;

use paddlemount_bench::simulation::{
    EventQueue, LinkQuality, LinkSettings, Links, Region, Scope, Zone, derived_seed,
};
use paddlemount_protocol::time::Timestamp;

#[test]
fn events_come_in_time_order_and_equal_times_in_the_order_scheduled() {
    let mut queue = EventQueue::new();
    queue.schedule_at(Timestamp(20), "late");
    queue.schedule_at(Timestamp(10), "first");
    queue.schedule_at(Timestamp(10), "second");
    queue.schedule_at(Timestamp(10), "third");
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event).collect();
    assert_eq!(order, ["first", "second", "third", "late"]);
    queue.schedule_at(Timestamp(5), "past");
    assert_eq!(queue.pop(), Some((Timestamp(20), "past")), "time never runs backwards");
}

#[test]
fn pop_until_leaves_later_events_and_the_time() {
    let mut queue = EventQueue::new();
    queue.schedule_after(Duration::from_micros(7), ());
    assert_eq!(queue.pop_until(Timestamp(6)), None);
    assert_eq!(queue.now(), Timestamp::ZERO);
    assert_eq!(queue.pop_until(Timestamp(7)), Some((Timestamp(7), ())));
}

fn settings(loss: f64) -> LinkSettings {
    let quality = |delay| LinkQuality {
        delay: Duration::from_micros(delay),
        jitter: Duration::from_micros(delay / 10),
        loss,
    };
    LinkSettings {
        within_zone: quality(100),
        between_zones: quality(1_200),
        between_regions: quality(30_000),
    }
}

#[test]
fn delay_follows_distance_and_the_seed() {
    let run = |seed| {
        let mut links = Links::new(settings(0.0), seed);
        let here = links.add(Zone(0), Region(0));
        let near = links.add(Zone(0), Region(0));
        let zone = links.add(Zone(1), Region(0));
        let region = links.add(Zone(2), Region(1));
        [near, zone, region].map(|to| links.transmit(here, to).unwrap().as_micros())
    };
    let delays = run(1);
    for (delay, min) in delays.into_iter().zip([100, 1_200, 30_000]) {
        assert!((min..=min + min / 10).contains(&delay), "{delay}");
    }
    assert_eq!(run(1), delays);
    assert_ne!(run(2), delays);
}

#[test]
fn cuts_stop_messages_in_their_direction_until_healed() {
    let mut links = Links::new(settings(0.0), 1);
    let one = links.add(Zone(0), Region(0));
    let other = links.add(Zone(1), Region(0));
    links.cut(Scope::Zone(Zone(0)), Scope::Endpoint(other));
    assert!(links.transmit(one, other).is_none());
    assert!(links.transmit(other, one).is_some());
    links.cut_between(Scope::Region(Region(0)), Scope::Endpoint(one));
    assert!(links.transmit(other, one).is_none());
    links.heal_all();
    assert!(links.transmit(one, other).is_some() && links.transmit(other, one).is_some());
}

#[test]
fn the_given_share_of_messages_is_lost() {
    let mut links = Links::new(settings(0.25), 3);
    let one = links.add(Zone(0), Region(0));
    let other = links.add(Zone(0), Region(0));
    let lost = (0..10_000).filter(|_| links.transmit(one, other).is_none()).count();
    assert!((2_300..2_700).contains(&lost), "{lost}");
}

#[test]
fn purposes_have_seeds_of_their_own() {
    assert_ne!(derived_seed(1, "links"), derived_seed(1, "arrivals"));
    assert_ne!(derived_seed(1, "links"), derived_seed(2, "links"));
}
