//! Finds the line of a place in a TOML file.

use crate::Fault;
use toml::de::{DeArray, DeTable, DeValue};
use toml::Spanned;

/// A file's tree with the places in its text.
pub(crate) struct Lines<'a> {
    text: &'a str,
    tree: Spanned<DeTable<'a>>,
}

impl<'a> Lines<'a> {
    /// Reads the text; where it is no TOML, the one fault that says so.
    pub(crate) fn of(text: &'a str) -> Result<Self, Vec<Fault>> {
        DeTable::parse(text)
            .map(|tree| Lines { text, tree })
            .map_err(|e| {
                let line = e.span().map(|s| line_of(text, s.start));
                vec![Fault {
                    line,
                    path: String::new(),
                    reason: e.message().to_string(),
                }]
            })
    }

    /// A fault at a place such as `rsync.module[0].volume`, with the line of the nearest thing that stands there.
    pub(crate) fn fault(&self, path: String, reason: String) -> Fault {
        let line = self.line(&path);
        Fault { line, path, reason }
    }

    fn line(&self, path: &str) -> Option<usize> {
        let mut table = self.tree.get_ref();
        let mut at = None;
        let mut array: Option<&DeArray<'a>> = None;
        for part in path.split(['.', '[']).filter(|p| !p.is_empty()) {
            let value = match part.strip_suffix(']') {
                Some(index) => array.and_then(|a| a.get(index.parse::<usize>().ok()?)),
                None => {
                    let found = table.iter().find(|(key, _)| key.get_ref().as_ref() == part);
                    at = found.map(|(key, _)| key.span().start).or(at);
                    found.map(|(_, value)| value)
                }
            };
            let Some(value) = value else { break };
            if part.ends_with(']') {
                at = Some(value.span().start);
            }
            match value.get_ref() {
                DeValue::Table(inner) => (table, array) = (inner, None),
                DeValue::Array(inner) => array = Some(inner),
                _ => break,
            }
        }
        at.map(|offset| line_of(self.text, offset))
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}
