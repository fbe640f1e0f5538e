//! Settings files of stand-ins.

use bolero::check;
use paddlemount_protocol::identity::WeightsVersion;
use paddlemount_standins::settings::{BookingSettings, ConfigurationStoreSettings, StandinSettings};

const ENGINE: &str = r#"
kind = "engine"
listen = "127.0.0.1:7001"
engine = "engine-1"
pool = "contracts"
zone = "zone-a"

[loaded]
model = "contract-reader"
weights = 3

[behaviour.speed]
cache_blocks = 512

[behaviour.feed]
loss = 0.01

[faults]
delay_after_ms = 5
"#;

#[test]
fn engine_settings_have_defaults_for_absent_keys() {
    let StandinSettings::Engine(settings) = StandinSettings::from_toml(ENGINE).unwrap() else {
        panic!("not an engine")
    };
    assert_eq!(settings.listen.port(), 7001);
    assert_eq!(settings.loaded.unwrap().weights, WeightsVersion(3));
    assert_eq!(settings.behaviour.speed.cache_blocks, 512);
    assert_eq!(settings.behaviour.speed.batch_slots, 16);
    assert_eq!(settings.behaviour.feed.loss, 0.01);
    assert_eq!(settings.faults.delay_after_ms, 5);
}

#[test]
fn unknown_keys_and_kinds_are_errors_that_name_them() {
    let mistakes = [
        (ENGINE.replace("pool =", "poool ="), "poool"),
        (ENGINE.replace("cache_blocks", "cache_block"), "cache_block"),
        (ENGINE.replace("delay_after_ms", "delay"), "delay"),
        (ENGINE.replace("kind = \"engine\"", "kind = \"motor\""), "motor"),
        (ENGINE.replace("engine = \"engine-1\"", ""), "engine"),
    ];
    for (text, name) in mistakes {
        let error = StandinSettings::from_toml(&text).unwrap_err().to_string();
        assert!(error.contains(name), "{error}");
    }
}

#[test]
fn every_kind_round_trips_through_toml() {
    let all = [
        StandinSettings::from_toml(ENGINE).unwrap(),
        StandinSettings::ConfigurationStore(ConfigurationStoreSettings::default()),
        StandinSettings::WeightStore(Default::default()),
        StandinSettings::CacheStore(Default::default()),
        StandinSettings::MachineList(Default::default()),
        StandinSettings::Booking(BookingSettings::new("booking-1".into())),
    ];
    for settings in all {
        let text = toml::to_string(&settings).unwrap();
        assert!(text.contains(&format!("kind = \"{}\"", settings.kind())), "{text}");
        assert_eq!(StandinSettings::from_toml(&text).unwrap(), settings);
    }
}

#[test]
fn no_text_makes_the_parser_panic() {
    check!().with_type::<(String, u8)>().for_each(|(text, position)| {
        let _ = StandinSettings::from_toml(text);
        let mut mixed = ENGINE.to_owned();
        mixed.insert_str(usize::from(*position) % ENGINE.len(), text);
        let _ = StandinSettings::from_toml(&mixed);
    });
}
