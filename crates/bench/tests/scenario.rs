//! Scenario files: the bundled ones load, and invalid ones are refused with the key and the valid values.

use paddlemount_bench::scenario::{BUNDLED, Scenario};

fn kestrel() -> &'static str {
    BUNDLED.iter().find(|(name, _)| *name == "kestrel").unwrap().1
}

fn refusal(from: &str, to: &str) -> String {
    let text = kestrel().replacen(from, to, 1);
    assert_ne!(text, kestrel(), "the replacement must change the text");
    Scenario::parse("trial.toml", &text).unwrap_err().to_string()
}

#[test]
fn every_bundled_scenario_loads() {
    for (name, _) in BUNDLED {
        let scenario = Scenario::load(name).unwrap_or_else(|error| panic!("{error}"));
        assert!(!scenario.description.is_empty(), "{name}");
    }
}

#[test]
fn an_unknown_key_is_named_with_the_known_ones() {
    let message = refusal("zipf_skew", "zipf_skw");
    for part in ["trial.toml", "zipf_skw", "zipf_skew", "shift_period_s"] {
        assert!(message.contains(part), "{message}");
    }
}

#[test]
fn an_unknown_key_of_the_engine_is_named() {
    let message = refusal("batch_slots", "batch_slot");
    assert!(message.contains("batch_slot") && message.contains("waiting_limit"), "{message}");
}

#[test]
fn a_missing_key_is_named() {
    let message = refusal("caller_ms = 1.0\n", "");
    assert!(message.contains("caller_ms"), "{message}");
}

#[test]
fn a_value_out_of_range_is_named_with_its_range() {
    let message = refusal("event_loss = 0.01", "event_loss = 1.5");
    for part in ["trial.toml", "reports.event_loss", "1.5", "a share from 0.0 to 1.0"] {
        assert!(message.contains(part), "{message}");
    }
    let message = refusal("own_blocks = [2, 12]", "own_blocks = [12, 2]");
    assert!(message.contains("prefixes.own_blocks") && message.contains("[12, 2]"), "{message}");
}

#[test]
fn a_fault_of_an_engine_that_does_not_exist_is_refused() {
    let fault = "\n[[faults]]\nat_s = 1.0\nevent = { engine_crash = { engines = [12], down_s = 1.0 } }\n";
    let text = format!("{}{fault}", kestrel());
    let message = Scenario::parse("trial.toml", &text).unwrap_err().to_string();
    assert!(message.contains("faults[0].event.engine_crash.engines"), "{message}");
}

#[test]
fn an_unknown_name_lists_the_bundled_ones() {
    let message = Scenario::load("kestral").unwrap_err().to_string();
    assert!(message.contains("kestral") && message.contains("kestrel, benoni"), "{message}");
}
