//! Log levels by module.

use crate::renamed_crate::with_present_crate;
use displaydoc::Display;
use spdlog::{Level, LevelFilter};
use std::str::FromStr;

/// The level if none is given.
const DEFAULT_LEVEL: Level = Level::Info;
/// The keyword that disables the events of a module.
const OFF: &str = "off";
/// The common prefix of the project's crates. It is optional in the name of a module.
const CRATE_PREFIX: &str = "lupinrack_";

/// the levels of the log cannot be read: {0:?} is neither LEVEL nor MODULE=LEVEL
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub struct MalformedLevels(pub String);

impl std::error::Error for MalformedLevels {}

/// The least severe level that is logged, for all modules and for individual ones.
///
/// The text form is a comma-separated list: a level for all modules, and `MODULE=LEVEL` for a module and its
/// submodules, as in `info,chain=debug`. Levels are `off`, `critical`, `error`, `warn`, `info`, `debug` and `trace`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Levels {
    default: LevelFilter,
    modules: Vec<ModuleLevel>,
}

/// The filter of a module and its submodules.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ModuleLevel {
    module: String,
    filter: LevelFilter,
}

impl Default for Levels {
    fn default() -> Levels {
        Levels {
            default: LevelFilter::MoreSevereEqual(DEFAULT_LEVEL),
            modules: Vec::new(),
        }
    }
}

impl FromStr for Levels {
    type Err = MalformedLevels;

    fn from_str(text: &str) -> Result<Levels, MalformedLevels> {
        let mut levels = Levels::default();
        let parts = text.split(',').map(str::trim);
        for part in parts.filter(|part| !part.is_empty()) {
            levels
                .add(part)
                .ok_or_else(|| MalformedLevels(part.to_string()))?;
        }
        Ok(levels)
    }
}

impl Levels {
    /// Whether an event of this module and level is logged. The longest configured module that contains it decides.
    pub fn allow(&self, module: &str, level: Level) -> bool {
        let module = without_crate_prefix(module);
        self.modules
            .iter()
            .filter(|named| contains(&named.module, module))
            .max_by_key(|named| named.module.len())
            .map_or(self.default, |named| named.filter)
            .test(level)
    }

    /// The filter that passes every event that is logged for any module.
    pub fn most_verbose(&self) -> LevelFilter {
        self.modules
            .iter()
            .map(|named| named.filter)
            .chain([self.default])
            .max_by_key(|filter| verbosity(*filter))
            .unwrap_or(self.default)
    }

    /// Adds one item of the text; `None` if the item is malformed.
    fn add(&mut self, part: &str) -> Option<()> {
        match part.split_once('=') {
            None => self.default = parse_filter(part)?,
            Some((module, level)) => self.modules.push(ModuleLevel {
                module: parse_module(module)?,
                filter: parse_filter(level)?,
            }),
        }
        Some(())
    }
}

/// The verbosity of a filter. It is greater for filters that pass more events.
fn verbosity(filter: LevelFilter) -> Option<usize> {
    match filter {
        LevelFilter::MoreSevereEqual(level) => Some(level as usize),
        // The only other filter in `Levels` is `Off`, which passes no events.
        _ => None,
    }
}

fn parse_filter(text: &str) -> Option<LevelFilter> {
    let text = text.trim();
    if text.eq_ignore_ascii_case(OFF) {
        return Some(LevelFilter::Off);
    }
    text.parse().ok().map(LevelFilter::MoreSevereEqual)
}

fn parse_module(name: &str) -> Option<String> {
    let name = name.trim().replace('-', "_");
    let name = without_crate_prefix(&name);
    (!name.is_empty()).then(|| with_present_crate(name))
}

fn without_crate_prefix(module: &str) -> &str {
    module.strip_prefix(CRATE_PREFIX).unwrap_or(module)
}

/// Whether `module` is `outer` or one of its submodules.
fn contains(outer: &str, module: &str) -> bool {
    module
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
}
