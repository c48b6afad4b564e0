//! The section `[ipfix]` of the operators' file.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not the TOML expected.
    #[error("ipfix: {0}")]
    Form(#[from] toml::de::Error),
}

/// The section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "ipfix")]
pub struct Section {
    /// Whether records are exported at all.
    #[serde(default)]
    pub enabled: bool,
    /// Where the records go, over UDP.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub collector: SocketAddr,
    /// The observation domain that they name.
    #[serde(default = "domain")]
    pub observation_domain: u32,
    /// The template goes out with the first message and again after this, in milliseconds.
    #[serde(default = "often")]
    #[schemars(range(min = 100))]
    pub template_every_ms: u64,
}

fn domain() -> u32 {
    1
}

fn often() -> u64 {
    10_000
}

/// The exporter's configuration.
#[derive(Clone, Debug)]
pub struct IpfixConfig {
    /// Where the records go.
    pub collector: SocketAddr,
    /// The observation domain that they name.
    pub domain: u32,
    /// How often the template goes out again.
    pub template_every: Duration,
}

impl IpfixConfig {
    /// Reads the file; none where it is not there or the export is off.
    pub fn load(path: &Path) -> Result<Option<Self>, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(ConfigError::Read(path.display().to_string(), e)),
        }
    }

    /// Reads the text of such a file.
    pub fn parse(text: &str) -> Result<Option<Self>, ConfigError> {
        Ok(Self::new(toml::from_str(text)?))
    }

    /// Takes the section over; none where the export is off.
    pub fn new(section: Section) -> Option<Self> {
        let template_every = Duration::from_millis(section.template_every_ms.max(100));
        let domain = section.observation_domain;
        section.enabled.then_some(IpfixConfig {
            collector: section.collector,
            domain,
            template_every,
        })
    }
}
