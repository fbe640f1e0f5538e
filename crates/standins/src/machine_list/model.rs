//! State machine of the machine list.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use paddlemount_protocol::{
    identity::Revision,
    platform::{Machine, MachineList, MachineState},
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum MachineChange {
    /// Adds a machine or replaces the one at its address.
    Put { machine: Machine },
    /// Changes the state of the machine at an address.
    SetState { address: SocketAddr, state: MachineState },
    /// Removes the machine at an address.
    Remove { address: SocketAddr },
}

/// The propagation delay of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListLag {
    /// Milliseconds until a change becomes visible.
    pub lag_ms: u64,
}

/// The visible list, and changes that are not visible yet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MachineListModel {
    lag: Duration,
    listed: MachineList,
    pending: VecDeque<(Timestamp, MachineChange)>,
}

impl MachineListModel {
    /// Creates a list of `machines` in which each change becomes visible after `lag`.
    pub fn new(mut machines: Vec<Machine>, lag: Duration) -> Self {
        machines.sort_by_key(|machine| machine.address);
        let listed = MachineList { revision: Revision(1), machines };
        Self { lag, listed, pending: VecDeque::new() }
    }

    /// Sets the lag of later changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Queues a change, which becomes visible after the lag and never before earlier changes.
    pub fn change(&mut self, change: MachineChange, now: Timestamp) {
        let earlier = self.pending.back().map_or(Timestamp::ZERO, |(visible_at, _)| *visible_at);
        self.pending.push_back(((now + self.lag).max(earlier), change));
    }

    /// Returns the list as visible at `now`.
    pub fn list(&mut self, now: Timestamp) -> &MachineList {
        while self.pending.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
        &self.listed
    }

    fn apply(&mut self, change: MachineChange) {
        let machines = &mut self.listed.machines;
        match change {
            MachineChange::Put { machine } => {
                match machines.binary_search_by_key(&machine.address, |listed| listed.address) {
                    Ok(index) => machines[index] = machine,
                    Err(index) => machines.insert(index, machine),
                }
            }
            MachineChange::SetState { address, state } => {
                for machine in machines.iter_mut().filter(|machine| machine.address == address) {
                    machine.state = state;
                }
            }
            MachineChange::Remove { address } => machines.retain(|machine| machine.address != address),
        }
        self.listed.revision = self.listed.revision.next();
    }
}
