//! Back ends that fall over when they have to reject too many requests for want of room in one second.
//!
//! One rejection is cheap for an ordinary back end, so that room is found by trial. A brittle one states how many it
//! bears, for all nodes together. So its room is not tried out: each node keeps to its share of the slots, so that the
//! sum stays within them however late the nodes hear of each other; a node that was rejected sends nothing for a second,
//! and from then on fewer.

use std::{collections::BTreeMap, time::Duration};

use paddlemount_protocol::{fleet::BackendProcess, identity::ServiceId, time::Timestamp};

/// How long a statement counts. Every answer of a brittle back end repeats it, so an older one is of no more use.
const STATEMENT_TTL: Duration = Duration::from_secs(5);
/// How long a node sends nothing to a brittle back end that rejected a request: the time over which rejections count.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// The factor on the requests in flight at which a back end rejected one, for its room from then on.
const REJECTED_FACTOR: f64 = 0.8;
/// The time constant by which the room that was learned from a rejection returns to the slots.
const ROOM_RECOVERY: Duration = Duration::from_secs(10);

/// The requests in flight at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Those of this node.
    pub own: u32,
    /// Those of all nodes, as far as known.
    pub total: u32,
    pub slots: u32,
}

/// A change of what a service's back ends state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrittlenessChange {
    /// They are brittle, and bear this many rejections a second.
    Begins(f64),
    Ends,
}

/// What a process has rejected.
#[derive(Clone, Copy, Debug)]
struct Rejection {
    /// Requests in flight from which on it had no room.
    room: f64,
    at: Timestamp,
}

/// Which services have brittle back ends, and what those have rejected.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    /// The rejections a second that a service's back ends bear, and when one of them last said so. All of a service
    /// are of one kind, so that a back end need not be met before it is spared.
    stated: BTreeMap<ServiceId, (f64, Timestamp)>,
    rejections: BTreeMap<BackendProcess, Rejection>,
}

impl Brittleness {
    /// Records what an answer of a back end states: the rejections a second that it bears, if it is brittle. The
    /// request was sent at `sent_at`.
    pub fn observe(
        &mut self,
        service: &ServiceId,
        stated: Option<f64>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<BrittlenessChange> {
        let before = self.stated(service, now);
        match stated {
            Some(rejections) => {
                self.stated.insert(service.clone(), (rejections, now));
                (before != Some(rejections)).then_some(BrittlenessChange::Begins(rejections))
            }
            None => {
                let (_, stated_at) = *self.stated.get(service)?;
                if sent_at <= stated_at {
                    return None;
                }
                self.stated.remove(service);
                before.map(|_| BrittlenessChange::Ends)
            }
        }
    }

    /// Records that a process rejected a request for want of room, with so many in flight as far as known.
    pub fn record_rejection(&mut self, process: &BackendProcess, in_flight: u32, now: Timestamp) {
        let room = (f64::from(in_flight) * REJECTED_FACTOR).max(1.0);
        self.rejections.insert(process.clone(), Rejection { room, at: now });
    }

    /// Whether a request may be sent to a back end of the service, of which this node may use `fraction`, from 0 to 1. If
    /// that is less than one slot, `draw`, uniform in 0 to 1, decides whether the node has one.
    pub fn allows(
        &self,
        service: &ServiceId,
        process: &BackendProcess,
        in_flight: InFlight,
        fraction: f64,
        draw: f64,
        now: Timestamp,
    ) -> bool {
        if self.stated(service, now).is_none() {
            return true;
        }
        let rejection = self.rejections.get(process);
        if rejection.is_some_and(|rejection| now.saturating_since(rejection.at) < REJECTION_PAUSE) {
            return false;
        }
        let room = rejection.map_or(in_flight.slots, |rejection| rejection.room_now(in_flight.slots, now));
        let share = f64::from(room) * fraction;
        let own_room = if share < 1.0 { u32::from(draw < share) } else { share as u32 };
        in_flight.total < room && in_flight.own < own_room
    }

    /// The rejections a second that the service's back ends bear; `None` if they are not known to be brittle.
    pub fn stated(&self, service: &ServiceId, now: Timestamp) -> Option<f64> {
        let (rejections, at) = *self.stated.get(service)?;
        (now.saturating_since(at) < STATEMENT_TTL).then_some(rejections)
    }

    /// The number of services with brittle back ends.
    pub fn count(&self, now: Timestamp) -> usize {
        self.stated.values().filter(|(_, at)| now.saturating_since(*at) < STATEMENT_TTL).count()
    }

    /// Removes what is no longer needed, and returns the services whose statement has expired.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<ServiceId> {
        self.rejections.retain(|_, rejection| now.saturating_since(rejection.at) < ROOM_RECOVERY * 4);
        let is_over = |at: &Timestamp| now.saturating_since(*at) >= STATEMENT_TTL;
        let expired: Vec<ServiceId> = self
            .stated
            .iter()
            .filter(|(_, (_, at))| is_over(at))
            .map(|(service, _)| service.clone())
            .collect();
        self.stated.retain(|_, (_, at)| !is_over(at));
        expired
    }
}

impl Rejection {
    fn room_now(&self, slots: u32, now: Timestamp) -> u32 {
        let slots = f64::from(slots);
        let age = now.saturating_since(self.at).as_secs_f64() / ROOM_RECOVERY.as_secs_f64();
        let missing = (slots - self.room).max(0.0) * (-age).exp();
        (slots - missing) as u32
    }
}
