//! What `deploy/ipfix.toml` says.

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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    enabled: bool,
    collector: SocketAddr,
    #[serde(default = "domain")]
    observation_domain: u32,
    #[serde(default = "often")]
    template_every_ms: u64,
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
        let raw: Raw = toml::from_str(text)?;
        let template_every = Duration::from_millis(raw.template_every_ms.max(100));
        let config = IpfixConfig { collector: raw.collector, domain: raw.observation_domain, template_every };
        Ok(raw.enabled.then_some(config))
    }
}
