//! The section `[ipfix]` of the operators' file.

use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The text is not TOML, or not a section of this form.
    #[error("ipfix: {0}")]
    Toml(#[from] toml::de::Error),
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
    #[serde(default = "default_observation_domain")]
    pub observation_domain: u32,
    /// The template goes out with the first message and again after this, in milliseconds.
    #[serde(default = "default_template_every_ms")]
    #[schemars(range(min = 100))]
    pub template_every_ms: u64,
}

fn default_observation_domain() -> u32 {
    1
}

fn default_template_every_ms() -> u64 {
    10_000
}

/// Configuration of the exporter.
#[derive(Clone, Debug)]
pub struct IpfixConfig {
    /// Address of the collector.
    pub collector: SocketAddr,
    /// Observation domain ID in the message headers.
    pub domain: u32,
    /// Interval after which the template is sent again.
    pub template_interval: Duration,
}

impl IpfixConfig {
    /// Reads the file. Returns `None` if it does not exist or the export is disabled.
    pub fn load(path: &Path) -> Result<Option<Self>, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(ConfigError::Read(path.display().to_string(), e)),
        }
    }

    /// Parses the text of such a file.
    pub fn parse(text: &str) -> Result<Option<Self>, ConfigError> {
        Ok(Self::new(toml::from_str(text)?))
    }

    /// Builds the configuration from the section. Returns `None` if the export is disabled.
    pub fn new(section: Section) -> Option<Self> {
        let template_interval = Duration::from_millis(section.template_every_ms.max(100));
        let domain = section.observation_domain;
        section.enabled.then_some(IpfixConfig {
            collector: section.collector,
            domain,
            template_interval,
        })
    }
}
