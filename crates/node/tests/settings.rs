//! Settings files: every error names its line, key and remedy, and no input panics the parser.

use paddlemount_node::settings::{NodeSettings, SettingsError};

const CORRECT: &str = include_str!("../../../settings/node-regina.toml");

fn errors_in(text: &str) -> Vec<SettingsError> {
    NodeSettings::parse(text).expect_err("the settings have errors")
}

/// The correct settings with `from` replaced, and the line of the replacement.
fn changed(from: &str, to: &str) -> (String, usize) {
    let offset = CORRECT.find(from).unwrap_or_else(|| panic!("no `{from}`"));
    let line = CORRECT[..offset].matches('\n').count() + 1;
    (CORRECT.replacen(from, to, 1), line)
}

#[test]
fn example_settings_are_valid() {
    for text in [
        CORRECT,
        include_str!("../../../settings/node-saskatoon.toml"),
        include_str!("../../../settings/node-brandon.toml"),
    ] {
        NodeSettings::parse(text).unwrap();
    }
}

#[test]
fn each_error_names_its_line_key_and_remedy() {
    let hash = CORRECT.lines().find(|line| line.starts_with("key_hash")).unwrap();
    for (from, to, key, remedy) in [
        ("zone = \"regina\"", "zome = \"regina\"", "zome", "zone"),
        ("zone = \"regina\"", "zone = 7", "zone", "text in quotes"),
        ("zone = \"regina\"", "zone = \"\"", "zone", "zone ="),
        ("callers = \"127.0.0.1:8080\"", "callers = \"localhost\"", "listen.callers", "127.0.0.1:8080"),
        ("admin = \"127.0.0.1:8082\"", "admin = \"127.0.0.1:8080\"", "listen.admin", "another port"),
        ("key = \"example cluster key, replace me\"", "key = \"short\"", "cluster.key", "16 characters"),
        (hash, "key_hash = \"abc\"", "operators.key_hash", "sha256sum"),
        ("role = \"administer\"", "role = \"root\"", "operators.role", "read, operate, administer"),
        ("[cluster]", "limits = 3\n[cluster]", "platform.limits", "remove it"),
    ] {
        let (text, line) = changed(from, to);
        let found = errors_in(&text);
        let error = found
            .iter()
            .find(|error| error.key == key)
            .unwrap_or_else(|| panic!("nothing about {key}: {found:?}"));
        assert_eq!(error.line, line, "{error}");
        assert!(error.remedy.contains(remedy), "{error}");
    }
}

#[test]
fn missing_keys_are_named_with_an_example() {
    let found = errors_in("");
    let keys: Vec<&str> = found.iter().map(|error| error.key.as_str()).collect();
    for key in ["node", "region", "zone", "listen.callers", "platform.machine_list", "cluster.key"] {
        assert!(keys.contains(&key), "{keys:?}");
    }
    assert!(found.iter().all(|error| error.remedy.starts_with("add ")));
}

#[test]
fn all_errors_are_reported_at_once() {
    let (text, _) = changed("zone = \"regina\"", "zone = 7\nspeed = 3");
    let text = text.replace("machine_list = \"127.0.0.1:7002\"", "machine_list = 7002");
    let text = text + "\n[timeouts]\nconnect_ms = 0\n[limits]\nprompt_bytes = \"much\"\n";
    let keys: Vec<String> = errors_in(&text).into_iter().map(|error| error.key).collect();
    assert_eq!(
        keys,
        ["zone", "speed", "platform.machine_list", "timeouts.connect_ms", "limits.prompt_bytes"]
    );
}

#[test]
fn syntax_errors_are_named_with_their_line() {
    let found = errors_in("node = \"a\"\nregion = [1,\nzone \"b\"\n");
    assert!(found.iter().any(|error| error.key.is_empty() && error.line >= 2), "{found:?}");
}

#[test]
fn the_settings_page_documents_every_key() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let keys = NodeSettings::keys();
    assert!(keys.len() > 20);
    for key in &keys {
        assert!(page.contains(&format!("| `{key}` |")), "docs/SETTINGS.md does not explain {key}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, keys.len(), "docs/SETTINGS.md explains a key that does not exist");
}

#[test]
fn secrets_are_not_shown() {
    let settings = NodeSettings::parse(CORRECT).unwrap();
    assert!(!format!("{settings:?}").contains("example cluster key"));
}

#[test]
fn parser_accepts_arbitrary_text() {
    bolero::check!().with_iterations(3_000).with_type::<(u16, u8, String)>().for_each(|(at, cut, insert)| {
        let mut at = usize::from(*at) % CORRECT.len();
        while !CORRECT.is_char_boundary(at) {
            at -= 1;
        }
        let mut end = (at + usize::from(*cut)).min(CORRECT.len());
        while !CORRECT.is_char_boundary(end) {
            end -= 1;
        }
        let text = format!("{}{insert}{}", &CORRECT[..at], &CORRECT[end.max(at)..]);
        if let Err(found) = NodeSettings::parse(&text) {
            let lines = text.matches('\n').count() + 1;
            assert!(!found.is_empty());
            assert!(found.iter().all(|error| (1..=lines).contains(&error.line)));
        }
    });
}
