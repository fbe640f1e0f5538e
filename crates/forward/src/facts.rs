//! Facts as other nodes tell them. A node of another version may tell of something that this one does not know.

use crate::{journal::Event, metrics::Counter, node::Node, ports::Fact};

/// Facts that were read, and the names of kinds that were passed over.
#[derive(Debug, Default, PartialEq)]
pub struct ReadFacts {
    /// Those that were understood, in order.
    pub facts: Vec<Fact>,
    /// The kinds of the others, each as often as it came.
    pub unknown: Vec<String>,
}

/// Reads a JSON list of facts. One that can't be read is passed over, and the others hold.
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

/// The kind of a fact: its only key, or the text that stands for one without content.
fn kind_of(value: &serde_json::Value) -> String {
    let key = value.as_object().and_then(|object| object.keys().next().cloned());
    key.or_else(|| value.as_str().map(str::to_owned)).unwrap_or_default()
}

impl Node {
    /// Reads facts that another node has told; counts what is passed over, and logs each kind once. Nothing where the list itself
    /// can't be read.
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

    /// The same, where all of them must be understood: what was passed over may be a change without which nothing proves that the
    /// others are all that there is.
    pub(crate) fn read_all_facts(&self, json: &[u8]) -> Option<Vec<Fact>> {
        self.read_facts(json).filter(|read| read.unknown.is_empty()).map(|read| read.facts)
    }
}
