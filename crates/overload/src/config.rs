//! The section `[overload]` of the operators' file.

use schemars::JsonSchema;
use serde::Deserialize;

/// The section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "overload")]
pub struct Section {
    /// Whether fronts of the fleet handle overload together. Needs `[fleet]`.
    pub enabled: bool,
    /// How often all fronts together try a node that does not answer, a second.
    #[schemars(range(min = 0.1, max = 1000.0))]
    pub trials_per_s: f64,
}

impl Section {
    /// What a schema cannot say; `fleet`: whether that section is on.
    pub fn faults(&self, fleet: bool) -> Vec<(String, String)> {
        match self.enabled && !fleet {
            true => vec![(
                "enabled".into(),
                "needs [fleet] enabled: alone there is nobody to share trials with".into(),
            )],
            false => Vec::new(),
        }
    }
}

impl Default for Section {
    fn default() -> Self {
        Section { enabled: false, trials_per_s: 4.0 }
    }
}
