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
    /// Faults that the schema does not express, with their paths below the section. `fleet_enabled`: whether `[fleet]` is enabled.
    pub fn faults(&self, fleet_enabled: bool) -> Vec<(String, String)> {
        match self.enabled && !fleet_enabled {
            true => vec![(
                "enabled".into(),
                "needs [fleet] enabled: alone there is nobody to share trials with".into(),
            )],
            false => Vec::new(),
        }
    }
}

impl Section {
    /// Contradictions between the files of one fleet, each with the index of its file and the path below the section.
    pub fn across(files: &[&Section]) -> Vec<(usize, String, String)> {
        let Some((first, rest)) = files.split_first() else {
            return Vec::new();
        };
        let mut faults = Vec::new();
        for (index, other) in rest.iter().enumerate().map(|(i, s)| (i + 1, s)) {
            if other.enabled != first.enabled {
                let why = "on in some files only: fronts where it is off try silent nodes at their own pace, outside the budget";
                faults.push((index, "enabled".to_string(), why.to_string()));
            } else if other.enabled && other.trials_per_s != first.trials_per_s {
                let why = format!(
                    "{}, and {} in the first file: their parts belong to two budgets",
                    other.trials_per_s, first.trials_per_s
                );
                faults.push((index, "trials_per_s".to_string(), why));
            }
        }
        faults
    }
}

impl Default for Section {
    fn default() -> Self {
        Section {
            enabled: false,
            trials_per_s: 4.0,
        }
    }
}
