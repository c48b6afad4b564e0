//! Parses the settings of a front, from `path=value` lines or from nested JSON. Unknown keys are ignored; an error names the
//! required key that is missing or the key whose value is invalid.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

use lupinrack_policy::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The settings of a front: those of the policy, and those of the program around it.
#[derive(Clone, Debug, Default)]
pub struct FrontSettings {
    /// The settings of the policy.
    pub policy: Settings,
    /// The names of the values in load reports, in order.
    pub load_columns: Vec<String>,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// Whether each class was removed while the program was running. Open requests keep its rules; new requests cannot use
    /// it.
    pub retired: Vec<bool>,
    /// Whether each class writes, if the settings say so. A list of another length than that of the classes is ignored,
    /// since it cannot be assigned to them.
    pub writes: Vec<Option<bool>>,
    /// The names of the plans, by index.
    pub plans: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// How long a node keeps an idle connection open at most.
    pub node_idle_timeout: Micros,
    /// How long connecting to a node may take.
    pub connect_timeout: Micros,
}

/// The longest duration that a setting may have: ten days. Durations are added to clock readings, which must not overflow.
const MAX_DURATION_MS: f64 = 864e6;

/// The most classes that one process can have, including those that were removed or changed while it was running.
pub const MAX_CLASSES: usize = 256;

impl FrontSettings {
    /// The index of the active class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.active_classes()
            .find(|(_, n)| *n == name)
            .map(|(index, _)| index)
    }

    fn active_classes(&self) -> impl Iterator<Item = (usize, &str)> {
        let names = self.classes.iter().map(String::as_str).enumerate();
        names.filter(|(index, _)| !self.retired.get(*index).copied().unwrap_or(false))
    }

    /// The names of the active classes.
    pub fn active_class_names(&self) -> impl Iterator<Item = &str> {
        self.active_classes().map(|(_, name)| name)
    }

    /// The settings as the policy gets them. The latency target and value of a removed class are 0: the policy compares
    /// classes by the shortest latency target and the largest value, and a removed class must not affect the others.
    pub fn policy_settings(&self) -> Settings {
        let mut settings = self.policy.clone();
        let retired = settings
            .classes
            .iter_mut()
            .zip(&self.retired)
            .filter(|(_, retired)| **retired);
        retired.for_each(|(class, _)| (class.latency_target, class.value) = (0, 0.0));
        settings
    }

    /// Merges new settings into the current ones while the program is running. A class with unchanged rules keeps its index.
    /// One with new rules gets a new index, so that open requests of the old one keep its rules. A plan keeps its index and
    /// gets its new values.
    pub fn updated_with(&self, new: FrontSettings) -> Result<FrontSettings, String> {
        let (mut classes, mut class_rules) = (self.classes.clone(), self.policy.classes.clone());
        let (mut retired, mut writes) = (vec![true; classes.len()], self.writes.clone());
        for ((name, rules), stated_writes) in
            new.classes.iter().zip(&new.policy.classes).zip(&new.writes)
        {
            match classes
                .iter()
                .zip(&class_rules)
                .position(|(n, r)| n == name && r == rules)
            {
                Some(index) => {
                    (retired[index], writes[index]) = (false, stated_writes.or(writes[index]))
                }
                None => {
                    classes.push(name.clone());
                    class_rules.push(rules.clone());
                    retired.push(false);
                    writes.push(*stated_writes);
                }
            }
        }
        if classes.len() > MAX_CLASSES {
            return Err(format!("more than {MAX_CLASSES} classes since the start"));
        }
        let (mut plans, mut plan_rules) = (self.plans.clone(), self.policy.plans.clone());
        for (name, rules) in new.plans.iter().zip(&new.policy.plans) {
            match plans.iter().position(|p| p == name) {
                Some(index) => plan_rules[index] = rules.clone(),
                None => (plans.push(name.clone()), plan_rules.push(rules.clone())).0,
            }
        }
        if let Some(name) = plans.iter().find(|p| !new.plans.contains(p)) {
            return Err(format!(
                "setting grades: the plan '{name}' cannot be dropped while the program runs"
            ));
        }
        let policy = Settings {
            classes: class_rules,
            plans: plan_rules,
            ..new.policy
        };
        Ok(FrontSettings {
            policy,
            classes,
            retired,
            writes,
            plans,
            ..new
        })
    }
}

/// Converts milliseconds to microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// The values of all settings, by their keys.
struct SettingValues(BTreeMap<String, String>);

impl SettingValues {
    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        match self.0.get(key) {
            None => Ok(None),
            Some(v) if v.is_empty() => Ok(None),
            Some(v) => v
                .parse()
                .map(Some)
                .map_err(|_| format!("setting {key}: cannot read '{v}'")),
        }
    }
    fn required<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.optional(key)?
            .ok_or_else(|| format!("setting {key} is missing"))
    }
    fn number(&self, key: &str) -> Result<Option<f64>, String> {
        match self.optional::<f64>(key)? {
            Some(x) if !x.is_finite() => Err(format!("setting {key}: not a finite number")),
            Some(x) if x < 0.0 => Err(format!("setting {key}: not a positive number")),
            x => Ok(x),
        }
    }
    fn duration(&self, key: &str) -> Result<Option<Micros>, String> {
        match self.number(key)? {
            Some(x) if x > MAX_DURATION_MS => Err(format!("setting {key}: over ten days")),
            x => Ok(x.map(micros)),
        }
    }
    fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        Ok(self.number(key)?.unwrap_or(default))
    }
    fn duration_or(&self, key: &str, default_ms: f64) -> Result<Micros, String> {
        Ok(self.duration(key)?.unwrap_or(micros(default_ms)))
    }
    fn required_duration(&self, key: &str) -> Result<Micros, String> {
        self.duration(key)?
            .ok_or_else(|| format!("setting {key} is missing"))
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.optional(key)?.unwrap_or(false))
    }
}

/// Parses the settings from `path=value` lines, as the simulator passes them.
pub fn parse(lines: &str) -> Result<FrontSettings, String> {
    let pair = |line: &str| {
        line.split_once('=')
            .map(|(key, value)| (key.trim().to_string(), value.trim().to_string()))
    };
    from_values(&SettingValues(lines.lines().filter_map(pair).collect()))
}

/// Parses the settings from nested JSON, as the configuration of a front has them.
pub fn parse_json(value: &serde_json::Value) -> Result<FrontSettings, String> {
    let mut values = BTreeMap::new();
    flatten("", value, &mut values);
    from_values(&SettingValues(values))
}

/// Converts nested JSON to the keys and values of the line format. A list of plain values becomes one value, joined by commas;
/// a list of objects gets a `count` key.
fn flatten(path: &str, value: &serde_json::Value, values: &mut BTreeMap<String, String>) {
    use serde_json::Value;
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, v)| flatten(&child_path(name), v, values)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(child_path("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&child_path(&i.to_string()), v, values));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            values.insert(path.to_string(), items.join(","));
        }
        _ => drop(values.insert(path.to_string(), plain_text(value))),
    }
}

fn plain_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(s) => s.clone(),
        serde_json::Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn from_values(values: &SettingValues) -> Result<FrontSettings, String> {
    let list = |key: &str| -> Vec<String> {
        values
            .0
            .get(key)
            .filter(|v| !v.is_empty())
            .map_or(Vec::new(), |v| v.split(',').map(String::from).collect())
    };
    let (writes, count) = (
        list("domain.changesData"),
        values.required("classes.count")?,
    );
    let writes: Vec<Option<bool>> = (0..count)
        .map(|i| (writes.len() == count).then(|| writes[i] == "true"))
        .collect();
    let classes = (0..count)
        .map(|i| parse_class(values, i, writes[i]))
        .collect::<Result<Vec<_>, _>>()?;
    let count = values.optional("grades.count")?.unwrap_or(0);
    let plans = (0..count)
        .map(|i| parse_plan(values, i))
        .collect::<Result<Vec<_>, _>>()?;
    let names = |list: &str, count: usize| -> Vec<String> {
        (0..count)
            .map(|i| {
                values
                    .0
                    .get(&format!("{list}.{i}.name"))
                    .cloned()
                    .unwrap_or_default()
            })
            .collect()
    };
    let (class_names, plan_names) = (
        names("classes", classes.len()),
        names("grades", plans.len()),
    );
    for (list, names) in [("classes", &class_names), ("grades", &plan_names)] {
        let duplicate = names
            .iter()
            .enumerate()
            .find(|(i, n)| !n.is_empty() && names[..*i].contains(n));
        if let Some((i, name)) = duplicate {
            return Err(format!(
                "setting {list}.{i}.name: '{name}' stands there twice"
            ));
        }
    }
    let discovery = match values.0.get("registryMode").map(String::as_str) {
        Some("ask") => DiscoveryMode::Poll {
            informed_after: values.duration_or("safety.askWithin", 10_000.0)?,
        },
        Some("push") | None => DiscoveryMode::Push,
        Some(other) => return Err(format!("setting registryMode: cannot read '{other}'")),
    };
    let slow_start = match values.duration("safety.tipAfter")? {
        Some(window) if window > 0 => Some(SlowStart {
            guaranteed_units: values.number_or("domain.coldBears", 0.0)?,
            initial_share: match values.number_or("safety.coldFrom", 0.0)? {
                share if share > 1.0 => {
                    return Err(format!("setting safety.coldFrom: {share} is over 1"))
                }
                share => share,
            },
            overload_multiple: values.number_or("safety.fallMultiple", 0.0)?,
            duration: values.duration_or("safety.warmUp", 0.0)?,
            window,
        }),
        _ => None,
    };
    let retry_budget = match (
        values.number("safety.spareAttempts")?,
        values.number("safety.resendRatio")?,
    ) {
        (None, None) => None,
        (min_retries, retry_ratio) => Some(RetryBudget {
            min_retries: min_retries.unwrap_or(0.0),
            retry_ratio: retry_ratio.unwrap_or(0.0),
            window: values.required_duration("safety.lookBack")?,
        }),
    };
    let policy = Settings {
        hosts: values.optional("peersTotal")?.unwrap_or(1),
        zone: Zone(values.optional("zone")?.unwrap_or(0)),
        classes,
        plans,
        discovery,
        slow_start,
        retry_budget,
        key_cooldown: values.duration_or("safety.settleAfterDoubt", 0.0)?,
        drain_grace: values.required_duration("safety.stopSendingWithin")?,
        timer_resolution: values.required_duration("resolution")?,
        max_attempts: match values.optional("policyLimits.mostTries")? {
            Some(0) => return Err("setting policyLimits.mostTries: not a positive number".into()),
            max_attempts => max_attempts.unwrap_or(1),
        },
        max_open_requests: values.optional("policyLimits.mostHeld")?.unwrap_or(0),
        parallel_attempts: values.flag("policyLimits.parallelTries")?,
        cancel_attempts: values.flag("policyLimits.cancel")?,
        health_checks: values.flag("policyLimits.probes")?,
        send_retry_after: values.flag("policyLimits.retryAfter")?,
        max_retry_after: values.duration_or("policyLimits.maxRetryAfter", 0.0)?,
        max_units: values.number_or("domain.maxUnits", 0.0)?,
        mean_units: values.number_or("domain.unitMean", 0.0)?,
        fair_share_value: values.number_or("domain.fairWorth", 1.0)?,
        excess_value: values.number_or("domain.idleWorth", 1.0)?,
        usage_period: values.duration_or("domain.metering", 0.0)?,
    };
    Ok(FrontSettings {
        policy,
        load_columns: list("report.columns"),
        writes,
        retired: vec![false; class_names.len()],
        classes: class_names,
        plans: plan_names,
        zones: list("areas"),
        node_idle_timeout: values.duration_or("policyLimits.connIdle", 15_000.0)?,
        connect_timeout: values.duration_or("policyLimits.connectTimeout", 250.0)?,
    })
}

fn parse_class(values: &SettingValues, i: usize, writes: Option<bool>) -> Result<Class, String> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let repeat: String = values.required(&key("repeat"))?;
    let idempotence = match repeat.as_str() {
        "free" => Idempotence::Idempotent,
        "single_shot" => Idempotence::NotIdempotent,
        "guarded" => {
            let scope = match values.required::<String>(&key("group"))?.as_str() {
                "all" => DeduplicationScope::AllNodes,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Shard,
                other => return Err(format!("setting {}: cannot read '{other}'", key("group"))),
            };
            Idempotence::Deduplicated {
                scope,
                window: values.required_duration(&key("window"))?,
            }
        }
        other => return Err(format!("setting {}: cannot read '{other}'", key("repeat"))),
    };
    Ok(Class {
        latency_target: values.required_duration(&key("aim"))?,
        latency_target_stretch: values.number_or(&key("aimStretch"), 0.0)?,
        deadline: match values.required_duration(&key("deadline"))? {
            ..=0 => {
                return Err(format!(
                    "setting {}: not a positive number",
                    key("deadline")
                ))
            }
            deadline => deadline,
        },
        idempotence,
        in_order: values.flag(&key("byArrival"))?,
        streamed: values.flag(&key("streamed"))?,
        value: values.number_or(&key("worth"), 1.0)?,
        late_value_share: values.number_or(&key("lateShare"), 0.0)?,
        // If the settings do not say, a class that is not idempotent is assumed to write.
        writes: writes.unwrap_or(idempotence != Idempotence::Idempotent),
    })
}

fn parse_plan(values: &SettingValues, i: usize) -> Result<Plan, String> {
    let key = |name: &str| format!("grades.{i}.{name}");
    let rate = values.number_or(&key("limit"), 0.0)?;
    let limit = match rate > 0.0 {
        true => {
            let burst_key = key("limitBurst");
            let burst = values
                .number(&burst_key)?
                .ok_or_else(|| format!("setting {burst_key} is missing"))?;
            Some(RateLimit {
                rate,
                burst,
                overdraft: values.number_or(&key("limitSlack"), 0.0)?,
            })
        }
        false => None,
    };
    Ok(Plan {
        weight: values.number_or(&key("shares"), 1.0)?,
        reserved_rate: values.number_or(&key("guaranteed"), 0.0)?,
        nominal_rate: values.number_or(&key("nominal"), 0.0)?,
        value_multiplier: values.number_or(&key("worthFactor"), 1.0)?,
        limit,
    })
}
