//! The operators' configuration file, `deploy/lupinrack.toml`: a section for each subsystem, the JSON Schema derived from the
//! types, and a check that reports all faults at once, each with its path and line.
//!
//! A file is checked in three steps: it must be TOML; it must match the schema (unknown keys are faults); and its values must
//! not contradict each other. A TOML syntax error is reported alone, since the text after it cannot be parsed.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

mod source_lines;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;
use source_lines::SourceLines;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// The whole file. A section that is missing is off.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "The operators' file of lupinrack")]
pub struct OperatorConfig {
    /// What the program says of itself.
    #[serde(default)]
    pub log: Log,
    /// The rsync front.
    #[serde(default)]
    #[schemars(with = "lupinrack_rsync::config::Section")]
    pub rsync: Option<lupinrack_rsync::config::Section>,
    /// Flow export.
    #[serde(default)]
    #[schemars(with = "lupinrack_flow_export::config::Section")]
    pub ipfix: Option<lupinrack_flow_export::config::Section>,
    /// The map of extents.
    #[serde(default)]
    #[schemars(with = "lupinrack_extent_map::config::Section")]
    pub extents: Option<lupinrack_extent_map::config::Section>,
    /// The fleet that this front is one of.
    #[serde(default)]
    #[schemars(with = "lupinrack_fleet_membership::config::Section")]
    pub fleet: Option<lupinrack_fleet_membership::config::Section>,
    /// Overload handled by the fleet as one.
    #[serde(default)]
    #[schemars(with = "lupinrack_overload::config::Section")]
    pub overload: Option<lupinrack_overload::config::Section>,
}

/// What the program says of itself, on standard error.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Lines of text, or one JSON object a line. `--log-format` goes before it.
    #[serde(default)]
    pub format: Format,
    /// Levels by target, as `info,lupinrack_request_engine=debug`; `info` where it is not given. `LUPINRACK_LOG` goes before it.
    pub filter: Option<String>,
}

/// The form of a line of the log: for people, or one JSON object a line.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[allow(
    missing_docs,
    reason = "a text on each word would make the schema's list of words a tree"
)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, counted from 1, if it is known.
    pub line: Option<usize>,
    /// The path of the value, such as `rsync.module[0].volume`; empty for the file as a whole.
    pub path: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{line}: ")?,
            None => write!(f, " ")?,
        }
        match self.path.as_str() {
            "" => write!(f, "{}", self.reason),
            path => write!(f, "{path}: {}", self.reason),
        }
    }
}

/// All faults of a file, at least one.
#[derive(Debug, thiserror::Error)]
#[error("{}", .faults.iter().map(|fault| format!("{}:{fault}", .file)).collect::<Vec<_>>().join("\n"))]
pub struct Faults {
    /// The path of the file.
    pub file: String,
    /// The faults, sorted by line.
    pub faults: Vec<Fault>,
}

impl OperatorConfig {
    /// Reads and checks the file. Without a file, everything is off.
    pub fn load(path: &Path) -> Result<OperatorConfig, Faults> {
        match std::fs::read_to_string(path) {
            Ok(text) => OperatorConfig::parse(&text).map_err(|faults| Faults {
                file: path.display().to_string(),
                faults,
            }),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(OperatorConfig::default()),
            Err(e) => {
                let faults = vec![Fault {
                    line: None,
                    path: String::new(),
                    reason: e.to_string(),
                }];
                Err(Faults {
                    file: path.display().to_string(),
                    faults,
                })
            }
        }
    }

    /// Parses the text of the file, and reports all faults in it.
    pub fn parse(text: &str) -> Result<OperatorConfig, Vec<Fault>> {
        let source_lines = SourceLines::parse(text)?;
        let value: Value = match toml::from_str(text) {
            Ok(value) => value,
            Err(e) => {
                return Err(vec![
                    source_lines.fault_at(String::new(), e.message().to_string())
                ])
            }
        };
        let mut faults = schema_violations::<OperatorConfig>(&value);
        faults.extend(section_faults(
            &value,
            "rsync",
            lupinrack_rsync::config::Section::faults,
        ));
        faults.extend(section_faults(
            &value,
            "extents",
            lupinrack_extent_map::config::Section::faults,
        ));
        faults.extend(section_faults(
            &value,
            "fleet",
            lupinrack_fleet_membership::config::Section::faults,
        ));
        let fleet_enabled = value
            .pointer("/fleet/enabled")
            .and_then(Value::as_bool)
            .unwrap_or(false);
        faults.extend(section_faults(
            &value,
            "overload",
            |s: &lupinrack_overload::Section| s.faults(fleet_enabled),
        ));
        if let Some(filter) = value.pointer("/log/filter").and_then(Value::as_str) {
            if let Err(e) = filter.parse::<tracing_subscriber::filter::Targets>() {
                faults.push(("log.filter".into(), e.to_string()));
            }
        }
        let mut located: Vec<Fault> = Vec::new();
        for (path, reason) in faults {
            // Only the first fault of each path is reported; the schema's come first.
            if !located.iter().any(|f| f.path == path) {
                located.push(source_lines.fault_at(path, reason));
            }
        }
        if located.is_empty() {
            match serde_json::from_value(value) {
                Ok(config) => return Ok(config),
                Err(e) => located.push(source_lines.fault_at(String::new(), e.to_string())),
            }
        }
        located.sort();
        Err(located)
    }
}

/// The JSON Schema of the operators' configuration file.
pub fn schema() -> Value {
    schema_of::<OperatorConfig>()
}

/// The JSON Schema of any type.
pub fn schema_of<T: JsonSchema>() -> Value {
    schemars::schema_for!(T).to_value()
}

/// The faults that a section finds in its own values, if the section can be deserialized.
fn section_faults<T: DeserializeOwned>(
    value: &Value,
    name: &str,
    faults: impl Fn(&T) -> Vec<(String, String)>,
) -> Vec<(String, String)> {
    let section = value
        .get(name)
        .and_then(|v| serde_json::from_value(v.clone()).ok());
    let found = section.map_or(Vec::new(), |s: T| faults(&s));
    found
        .into_iter()
        .map(|(path, reason)| (format!("{name}.{path}"), reason))
        .collect()
}

/// The places where a value violates the schema of `T`, each with its reason.
pub fn schema_violations<T: JsonSchema>(value: &Value) -> Vec<(String, String)> {
    let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
    let validator = jsonschema::options()
        .with_format("socket-address", is_address)
        .should_validate_formats(true)
        .build(&schema_of::<T>());
    let validator = match validator {
        Ok(validator) => validator,
        Err(e) => return vec![(String::new(), format!("the schema itself: {e}"))],
    };
    let mut faults = Vec::new();
    for error in validator.iter_errors(value) {
        let path = dotted_path(error.instance_path().as_str());
        match error.kind() {
            jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } => {
                for key in unexpected {
                    let key_path = if path.is_empty() {
                        key.clone()
                    } else {
                        format!("{path}.{key}")
                    };
                    faults.push((key_path, "unknown key".to_string()));
                }
            }
            jsonschema::error::ValidationErrorKind::Format { format }
                if *format == "socket-address" =>
            {
                faults.push((
                    path,
                    format!("{} is not an address with a port", error.instance()),
                ));
            }
            _ => faults.push((path, error.to_string())),
        }
    }
    faults
}

/// Converts a JSON pointer such as `/rsync/module/0/volume` to a path such as `rsync.module[0].volume`.
fn dotted_path(pointer: &str) -> String {
    let mut path = String::new();
    for part in pointer.split('/').skip(1) {
        match part.parse::<usize>() {
            Ok(index) => path += &format!("[{index}]"),
            Err(_) if path.is_empty() => path += part,
            Err(_) => path += &format!(".{part}"),
        }
    }
    path
}
