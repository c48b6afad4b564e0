//! Which events are logged, by module.

use displaydoc::Display;
use spdlog::{Level, LevelFilter};
use std::str::FromStr;

/// The level where none is given.
const DEFAULT_LEVEL: Level = Level::Info;
/// The word that turns a module's events off.
const OFF: &str = "off";
/// What the names of the project's crates begin with; it may be left out.
const CRATE_PREFIX: &str = "lupinrack_";

/// the levels of the log cannot be read: {0:?} is neither LEVEL nor MODULE=LEVEL
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct MalformedLevels(pub String);

impl std::error::Error for MalformedLevels {}

/// A module and the least severe level that is logged of it; none for nothing at all.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ModuleLevel {
    module: String,
    level: Option<Level>,
}

/// The least severe level that is logged, for all modules and for single ones.
///
/// Its text is a list joined by commas: a level for all modules, and `MODULE=LEVEL` for a module and what lies in it,
/// as in `info,chain=debug`. Levels are `off`, `critical`, `error`, `warn`, `info`, `debug` and `trace`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    default: Option<Level>,
    modules: Vec<ModuleLevel>,
}

impl Default for Levels {
    fn default() -> Levels {
        Levels {
            default: Some(DEFAULT_LEVEL),
            modules: Vec::new(),
        }
    }
}

impl FromStr for Levels {
    type Err = MalformedLevels;

    fn from_str(text: &str) -> Result<Levels, MalformedLevels> {
        let mut levels = Levels::default();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            levels
                .add(part)
                .ok_or_else(|| MalformedLevels(part.to_string()))?;
        }
        Ok(levels)
    }
}

impl Levels {
    /// Whether an event of this module and level is logged.
    pub fn allow(&self, module: &str, level: Level) -> bool {
        let module = without_crate_prefix(module);
        let fitting = self
            .modules
            .iter()
            .filter(|named| contains(&named.module, module));
        let closest = fitting.max_by_key(|named| named.module.len());
        let least = closest.map_or(self.default, |named| named.level);
        filter(least).test(level)
    }

    /// A filter that lets through whatever is logged of any module.
    pub fn widest(&self) -> LevelFilter {
        let all = self
            .modules
            .iter()
            .map(|named| named.level)
            .chain([self.default]);
        filter(all.flatten().max_by_key(|level| *level as usize))
    }

    /// Adds one part of the text; none where it cannot be read.
    fn add(&mut self, part: &str) -> Option<()> {
        match part.split_once('=') {
            None => self.default = parse_level(part)?,
            Some((module, level)) => {
                let module = module_name(module)?;
                self.modules.push(ModuleLevel {
                    module,
                    level: parse_level(level)?,
                });
            }
        }
        Some(())
    }
}

/// Lets through this level and what is more severe.
fn filter(least: Option<Level>) -> LevelFilter {
    least.map_or(LevelFilter::Off, LevelFilter::MoreSevereEqual)
}

/// A level's word; the inner option is empty for no level at all.
fn parse_level(word: &str) -> Option<Option<Level>> {
    let word = word.trim();
    match word.eq_ignore_ascii_case(OFF) {
        true => Some(None),
        false => word.parse().ok().map(Some),
    }
}

fn module_name(name: &str) -> Option<String> {
    let name = name.trim().replace('-', "_");
    let name = without_crate_prefix(&name);
    (!name.is_empty()).then(|| name.to_string())
}

fn without_crate_prefix(module: &str) -> &str {
    module.strip_prefix(CRATE_PREFIX).unwrap_or(module)
}

/// Whether a module is the outer one or lies in it.
fn contains(outer: &str, module: &str) -> bool {
    module
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
}
