//! Reads a TOML document field by field and collects every error with its line.

use std::{net::SocketAddr, time::Duration};

use toml::de::{DeTable, DeValue};

use super::error::{SettingsError, line_of};

/// A document that is being read, with the errors found so far.
pub struct Document<'a> {
    text: &'a str,
    errors: Vec<SettingsError>,
    known_keys: Vec<String>,
}

/// One table of a document; records which of its keys are known.
pub struct Section<'a, 'b> {
    name: String,
    table: Option<&'b DeTable<'a>>,
    line: usize,
    read_keys: Vec<&'static str>,
}

impl<'a> Document<'a> {
    /// Starts reading a document.
    pub fn new(text: &'a str) -> Self {
        Self { text, errors: Vec::new(), known_keys: Vec::new() }
    }

    /// The errors found, ordered by line, and all known keys.
    pub fn into_parts(mut self) -> (Vec<SettingsError>, Vec<String>) {
        self.errors.sort_by_key(|error| error.line);
        (self.errors, self.known_keys)
    }

    /// Records an error.
    pub fn report(&mut self, line: usize, key: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.errors.push(SettingsError {
            line,
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// The line of a byte offset.
    pub fn line(&self, offset: usize) -> usize {
        line_of(self.text, offset)
    }
}

impl<'a, 'b> Section<'a, 'b> {
    /// The root table of the document.
    pub fn root(table: Option<&'b DeTable<'a>>) -> Self {
        Self { name: String::new(), table, line: 1, read_keys: Vec::new() }
    }

    /// The full name of a key of this table.
    pub fn path(&self, key: &str) -> String {
        if self.name.is_empty() { key.into() } else { format!("{}.{key}", self.name) }
    }

    /// The line of a key, or of the table where the key is absent.
    pub fn line_of(&self, document: &Document<'_>, key: &str) -> usize {
        let entry = self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref() == key));
        entry.map_or(self.line, |(name, _)| document.line(name.span().start))
    }

    /// Whether the table contains the key.
    pub fn has(&self, key: &str) -> bool {
        self.table.is_some_and(|table| table.iter().any(|(name, _)| name.get_ref() == key))
    }

    fn value(&mut self, document: &mut Document<'_>, key: &'static str) -> Option<&'b DeValue<'a>> {
        self.read_keys.push(key);
        document.known_keys.push(self.path(key));
        let table = self.table?;
        table.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value.get_ref())
    }

    /// A nested table; an absent one reads as empty.
    pub fn table(&mut self, document: &mut Document<'_>, key: &'static str) -> Section<'a, 'b> {
        let line = self.line_of(document, key);
        let name = self.path(key);
        self.read_keys.push(key);
        let value = self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref() == key));
        let table = value.and_then(|(_, value)| value.get_ref().as_table());
        if value.is_some() && table.is_none() {
            document.report(line, &name, "is not a table", format!("write it as [{name}]"));
        }
        Section { name, table, line, read_keys: Vec::new() }
    }

    /// The tables of an array of tables; an absent one reads as empty.
    pub fn tables(&mut self, document: &mut Document<'_>, key: &'static str) -> Vec<Section<'a, 'b>> {
        let line = self.line_of(document, key);
        let name = self.path(key);
        self.read_keys.push(key);
        let value = self.table.and_then(|table| table.iter().find(|(name, _)| name.get_ref() == key));
        let Some((_, value)) = value else { return Vec::new() };
        let Some(array) = value.get_ref().as_array() else {
            document.report(line, &name, "is not a list of tables", format!("write each as [[{name}]]"));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for element in array.iter() {
            let line = document.line(element.span().start);
            match element.get_ref().as_table() {
                Some(table) => {
                    let name = name.clone();
                    sections.push(Section { name, table: Some(table), line, read_keys: Vec::new() });
                }
                None => document.report(line, &name, "is not a table", format!("write it as [[{name}]]")),
            }
        }
        sections
    }

    /// A string, or `None` if the key is absent or of another type.
    pub fn text(&mut self, document: &mut Document<'_>, key: &'static str) -> Option<String> {
        let value = self.value(document, key)?;
        let text = value.as_str().map(str::to_owned);
        if text.is_none() {
            self.wrong_type(document, key, value, "text in quotes");
        }
        text
    }

    /// A required string.
    pub fn required_text(&mut self, document: &mut Document<'_>, key: &'static str, example: &str) -> String {
        if !self.has(key) {
            self.missing(document, key, example);
        }
        let text = self.text(document, key).unwrap_or_default();
        if self.has(key) && text.trim().is_empty() && !document.has_error(&self.path(key)) {
            let line = self.line_of(document, key);
            document.report(
                line,
                &self.path(key),
                "is empty",
                format!("write for example {key} = {example}"),
            );
        }
        text
    }

    /// An IP address with a port.
    pub fn address(&mut self, document: &mut Document<'_>, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(document, key)?;
        let address = text.parse().ok();
        if address.is_none() {
            let line = self.line_of(document, key);
            let problem = format!("`{text}` is not an IP address with port");
            document.report(line, &self.path(key), problem, "write for example \"127.0.0.1:8080\"");
        }
        address
    }

    /// A required address.
    pub fn required_address(
        &mut self,
        document: &mut Document<'_>,
        key: &'static str,
        example: &str,
    ) -> Option<SocketAddr> {
        if !self.has(key) {
            self.missing(document, key, example);
        }
        self.address(document, key)
    }

    /// A list of addresses; an absent one reads as empty.
    pub fn addresses(&mut self, document: &mut Document<'_>, key: &'static str) -> Vec<SocketAddr> {
        let Some(value) = self.value(document, key) else { return Vec::new() };
        let Some(array) = value.as_array() else {
            self.wrong_type(document, key, value, "a list of addresses");
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for element in array.iter() {
            match element.get_ref().as_str().and_then(|text| text.parse().ok()) {
                Some(address) => addresses.push(address),
                None => {
                    let line = document.line(element.span().start);
                    let remedy = "write for example [\"127.0.0.1:8081\"]";
                    document.report(line, &self.path(key), "holds something that is no address", remedy);
                }
            }
        }
        addresses
    }

    /// An integer within bounds, or `default` if the key is absent.
    pub fn number(
        &mut self,
        document: &mut Document<'_>,
        key: &'static str,
        default: u64,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.value(document, key) else { return default };
        let Some(integer) = value.as_integer() else {
            self.wrong_type(document, key, value, "a whole number");
            return default;
        };
        let digits = integer.as_str().replace('_', "");
        match u64::from_str_radix(&digits, integer.radix()) {
            Ok(number) if bounds.contains(&number) => number,
            _ => {
                let line = self.line_of(document, key);
                let problem = format!("{} is out of bounds", integer.as_str());
                let remedy = format!("choose from {} to {}", bounds.start(), bounds.end());
                document.report(line, &self.path(key), problem, remedy);
                default
            }
        }
    }

    /// A duration in milliseconds within bounds.
    pub fn milliseconds(
        &mut self,
        document: &mut Document<'_>,
        key: &'static str,
        default: u64,
        bounds: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(document, key, default, bounds))
    }

    /// One of a fixed set of words.
    pub fn choice<T: Copy>(
        &mut self,
        document: &mut Document<'_>,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let Some(text) = self.text(document, key) else { return default };
        match choices.iter().find(|(word, _)| *word == text) {
            Some((_, choice)) => *choice,
            None => {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                let line = self.line_of(document, key);
                let remedy = format!("choose one of {}", words.join(", "));
                document.report(line, &self.path(key), format!("`{text}` is unknown"), remedy);
                default
            }
        }
    }

    /// Reports every unknown key of the table.
    pub fn finish(self, document: &mut Document<'_>) {
        let Some(table) = self.table else { return };
        for (name, _) in table.iter() {
            if self.read_keys.contains(&name.get_ref().as_ref()) {
                continue;
            }
            let line = document.line(name.span().start);
            let remedy = format!("remove it, or use one of {}", self.read_keys.join(", "));
            document.report(line, &self.path(name.get_ref()), "is an unknown key", remedy);
        }
    }

    fn missing(&self, document: &mut Document<'_>, key: &str, example: &str) {
        document.report(self.line, &self.path(key), "is missing", format!("add {key} = {example}"));
    }

    fn wrong_type(&self, document: &mut Document<'_>, key: &str, value: &DeValue<'_>, expected: &str) {
        let line = self.line_of(document, key);
        let problem = format!("is a {}, not {expected}", value.type_str());
        document.report(line, &self.path(key), problem, format!("write {expected}"));
    }
}

impl Document<'_> {
    fn has_error(&self, key: &str) -> bool {
        self.errors.iter().any(|error| error.key == key)
    }
}
