//! Parses facts from other nodes, which may run another version and send unknown kinds of facts.

use crate::{journal::Event, metrics::Counter, node::Node, ports::Fact};

/// Parsed facts, and the kinds of those that were skipped.
#[derive(Debug, Default, PartialEq)]
pub struct ReadFacts {
    /// The known facts, in order.
    pub facts: Vec<Fact>,
    /// The kinds of the others, with repetitions.
    pub unknown: Vec<String>,
}

/// Parses a JSON list of facts and skips those that cannot be parsed.
pub fn read_facts(json: &[u8]) -> Result<ReadFacts, serde_json::Error> {
    if let Ok(facts) = serde_json::from_slice(json) {
        return Ok(ReadFacts { facts, unknown: Vec::new() });
    }
    let mut read = ReadFacts::default();
    for value in serde_json::from_slice::<Vec<serde_json::Value>>(json)? {
        let kind = kind_of(&value);
        match serde_json::from_value(value) {
            Ok(fact) => read.facts.push(fact),
            Err(_) => read.unknown.push(kind),
        }
    }
    Ok(read)
}

/// The kind of a fact: its only key, or the string of a fact without content.
fn kind_of(value: &serde_json::Value) -> String {
    let key = value.as_object().and_then(|object| object.keys().next().cloned());
    key.or_else(|| value.as_str().map(str::to_owned)).unwrap_or_default()
}

impl Node {
    /// Parses facts from another node; counts skipped facts and logs each unknown kind once. Returns `None`
    /// if the list itself cannot be parsed.
    pub(crate) fn read_facts(&self, json: &[u8]) -> Option<ReadFacts> {
        let read = match read_facts(json) {
            Ok(read) => read,
            Err(error) => {
                self.journal.log(&Event::ChangesUnreadable { problem: error.to_string() });
                return None;
            }
        };
        for kind in &read.unknown {
            self.metrics.count(Counter::UnknownFacts);
            if self.unknown_facts.is_first(kind) {
                self.journal.log(&Event::FactUnknown { kind });
            }
        }
        Some(read)
    }

    /// The same, but returns `None` if any fact was skipped: it may be a change without which the others do
    /// not prove a complete state.
    pub(crate) fn read_all_facts(&self, json: &[u8]) -> Option<Vec<Fact>> {
        self.read_facts(json).filter(|read| read.unknown.is_empty()).map(|read| read.facts)
    }
}
