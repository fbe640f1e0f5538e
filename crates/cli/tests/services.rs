//! Service calls through node and stand-in processes.

mod support;

use paddlemount_protocol::platform::{Machine, MachineRole, MachineState};
use paddlemount_standins::settings::{BookingSettings, StandinSettings};
use serde_json::{Value, json};
use support::{
    Answer, KEY, Process, configuration, configuration_store, machine_list, node_settings, post, set_faults,
    wait_ready,
};

struct Bookings {
    instances: Vec<Process>,
    node: Process,
    _platform: [Process; 2],
}

fn start(count: usize) -> Bookings {
    let instances: Vec<Process> = (0..count)
        .map(|number| {
            let settings = BookingSettings::new(format!("booking-{number}").into());
            Process::standin(&StandinSettings::Booking(settings))
        })
        .collect();
    let machines = instances.iter().enumerate().map(|(number, process)| Machine {
        role: MachineRole::Service {
            instance: format!("booking-{number}").into(),
            service: "booking".into(),
        },
        address: process.address("address"),
        zone: support::ZONES[number % support::ZONES.len()].into(),
        region: "prairie".into(),
        state: MachineState::Live,
    });
    let list = machine_list(machines.collect());
    let store = configuration_store(&configuration());
    let settings = node_settings(0, store.address("address"), list.address("address"), "");
    let node = Process::start(&["serve"], &settings);
    wait_ready(&node);
    Bookings { instances, node, _platform: [store, list] }
}

impl Bookings {
    fn call(&self, operation: &str) -> Answer {
        let authorization = format!("Bearer {KEY}");
        let path = format!("/v1/services/booking/{operation}");
        let body = serde_json::to_vec(&json!({ "vehicle": "truck-7" })).unwrap();
        post(self.node.address("callers"), &path, &[("authorization", &authorization)], &body)
    }

    /// Number of executions over all instances.
    fn runs(&self) -> usize {
        let ledger = |process: &Process| {
            support::get(process.address("address"), "/control/ledger", &[]).json().as_array().unwrap().len()
        };
        self.instances.iter().map(ledger).sum()
    }
}

fn error(answer: &Answer) -> Value {
    answer.json()["error"].clone()
}

#[test]
fn a_call_runs_once_and_its_answer_is_passed_on_unchanged() {
    let bookings = start(3);
    let answer = bookings.call("hold");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(
        answer.json(),
        json!({ "operation": "hold", "receipt": 1, "request": { "vehicle": "truck-7" } })
    );
    assert_eq!(bookings.runs(), 1);
}

#[test]
fn a_lost_reply_of_a_charge_is_unknown_and_not_sent_again() {
    let bookings = start(3);
    for instance in &bookings.instances {
        set_faults(instance, &json!({ "reply_loss": 1.0 }));
    }
    let answer = bookings.call("charge");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(error(&answer)["outcome"], "unknown");
    for instance in &bookings.instances {
        set_faults(instance, &json!({}));
    }
    assert_eq!(bookings.runs(), 1);
}

#[test]
fn a_call_that_did_not_run_goes_elsewhere() {
    let bookings = start(2);
    set_faults(&bookings.instances[0], &json!({ "outage": true }));
    for _ in 0..4 {
        assert_eq!(bookings.call("charge").status, 200);
    }
    set_faults(&bookings.instances[0], &json!({}));
    assert_eq!(bookings.runs(), 4);
}

#[test]
fn a_call_that_no_instance_ran_is_refused_as_not_run() {
    let bookings = start(2);
    for instance in &bookings.instances {
        set_faults(instance, &json!({ "outage": true }));
    }
    let answer = bookings.call("charge");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(error(&answer)["outcome"], "not_run");
    assert!(answer.header("retry-after").is_some());
    let unknown = bookings.call("fly");
    assert_eq!(error(&unknown)["outcome"], "not_run");
}

#[test]
fn a_repeatable_operation_is_sent_again_after_a_lost_reply() {
    let bookings = start(2);
    for instance in &bookings.instances {
        set_faults(instance, &json!({ "lose_next_replies": 1 }));
    }
    assert_eq!(bookings.call("slot").status, 200);
}
