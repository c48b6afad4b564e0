//! Finds the line of a value in a TOML file.

use crate::Fault;
use toml::de::{DeArray, DeTable, DeValue};
use toml::Spanned;

/// The parsed tree of a file, with the position of each value in its text.
pub(crate) struct SourceLines<'a> {
    text: &'a str,
    tree: Spanned<DeTable<'a>>,
}

impl<'a> SourceLines<'a> {
    /// Parses the text. If it is not TOML, the error is a single fault.
    pub(crate) fn parse(text: &'a str) -> Result<Self, Vec<Fault>> {
        DeTable::parse(text)
            .map(|tree| SourceLines { text, tree })
            .map_err(|e| {
                let line = e.span().map(|s| line_of(text, s.start));
                vec![Fault {
                    line,
                    path: String::new(),
                    reason: e.message().to_string(),
                }]
            })
    }

    /// A fault at a path such as `rsync.module[0].volume`. Its line is that of the longest part of the path that exists.
    pub(crate) fn fault_at(&self, path: String, reason: String) -> Fault {
        let line = self.line_of_path(&path);
        Fault { line, path, reason }
    }

    fn line_of_path(&self, path: &str) -> Option<usize> {
        let mut table = self.tree.get_ref();
        let mut offset = None;
        let mut array: Option<&DeArray<'a>> = None;
        for part in path.split(['.', '[']).filter(|p| !p.is_empty()) {
            let value = match part.strip_suffix(']') {
                Some(index) => array.and_then(|a| a.get(index.parse::<usize>().ok()?)),
                None => {
                    let found = table.iter().find(|(key, _)| key.get_ref().as_ref() == part);
                    offset = found.map(|(key, _)| key.span().start).or(offset);
                    found.map(|(_, value)| value)
                }
            };
            let Some(value) = value else { break };
            if part.ends_with(']') {
                offset = Some(value.span().start);
            }
            match value.get_ref() {
                DeValue::Table(inner) => (table, array) = (inner, None),
                DeValue::Array(inner) => array = Some(inner),
                _ => break,
            }
        }
        offset.map(|offset| line_of(self.text, offset))
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}
