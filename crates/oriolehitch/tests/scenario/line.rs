//! Parses the lines of scenarios.

use std::collections::BTreeMap;

/// One line of a scenario, which consists of words and of fields `name=value`, separated by blanks.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// The words, in order.
    pub(crate) words: Vec<String>,
    /// The fields by name.
    pub(crate) fields: BTreeMap<String, String>,
    /// The text after the first two words.
    pub(crate) rest: String,
}

impl Line {
    /// Parses a line; returns nothing for blank lines and comments.
    pub(crate) fn parse(text: &str) -> Option<Line> {
        let text = text.trim();
        if text.is_empty() || text.starts_with('#') {
            return None;
        }
        let mut words = Vec::new();
        let mut fields = BTreeMap::new();
        for part in text.split_whitespace() {
            match part.split_once('=') {
                Some((name, value)) => {
                    fields.insert(name.to_string(), value.to_string());
                }
                None => words.push(part.to_string()),
            }
        }
        let rest = text.splitn(3, char::is_whitespace).nth(2);
        Some(Line {
            words,
            fields,
            rest: rest.unwrap_or_default().to_string(),
        })
    }

    /// Returns the word at a position.
    pub(crate) fn word(&self, at: usize) -> Result<&str, String> {
        let word = self.words.get(at);
        word.map(String::as_str)
            .ok_or(format!("word {at} is missing"))
    }

    /// Returns the value of a field.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns the value of a field as a number, or the default if the line does not have the field.
    pub(crate) fn number(&self, name: &str, default: u64) -> Result<u64, String> {
        match self.field(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| format!("{name}: not a number")),
        }
    }
}
