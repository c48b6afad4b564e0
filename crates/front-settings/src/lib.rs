//! The settings of an instance, from `path=value` lines. Unknown keys are passed over; a required key that is
//! missing or does not parse is named.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

use lupinrack_policy::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// What the settings say: to the module, and to the programs round it.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// The module's part.
    pub module: Settings,
    /// The names of the values in load reports, in order.
    pub columns: Vec<String>,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The classes that were dropped while the program ran: open requests keep their rules, new ones find no class.
    pub retired: Vec<bool>,
    /// Whether each class writes, where the settings say so for these very classes: a list of another length tells
    /// nothing of which is which.
    pub writes: Vec<Option<bool>>,
    /// The names of the plans, by index.
    pub plans: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// An idle connection is closed by a node after this, at the latest.
    pub conn_idle: Micros,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
}

/// The longest span that a setting may name, in milliseconds: ten days. Times are added to clock readings.
const SPAN_MOST: f64 = 864e6;

/// The most classes that one process can be told, with all that were dropped or changed.
pub const CLASSES_MOST: usize = 256;

impl Told {
    /// The index of the class of this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.current().find(|(_, n)| *n == name).map(|(at, _)| at)
    }

    fn current(&self) -> impl Iterator<Item = (usize, &str)> {
        let names = self.classes.iter().map(String::as_str).enumerate();
        names.filter(|(at, _)| !self.retired.get(*at).copied().unwrap_or(false))
    }

    /// The names of the classes in use.
    pub fn named(&self) -> impl Iterator<Item = &str> {
        self.current().map(|(_, name)| name)
    }

    /// What the module goes by. It sees to it that a class that was dropped decides nothing for the others: neither the
    /// shortest aim nor the most worth.
    pub fn for_module(&self) -> Settings {
        let mut settings = self.module.clone();
        let retired = settings
            .classes
            .iter_mut()
            .zip(&self.retired)
            .filter(|(_, retired)| **retired);
        retired.for_each(|(class, _)| (class.latency_target, class.value) = (0, 0.0));
        settings
    }

    /// The settings that follow these while the program runs. A class whose rules stay keeps its index; one with new rules
    /// gets a new index, so that what is open under the old one keeps them. Plans keep theirs, with new figures.
    pub fn followed_by(&self, new: Told) -> Result<Told, String> {
        let (mut classes, mut rules) = (self.classes.clone(), self.module.classes.clone());
        let (mut retired, mut writes) = (vec![true; classes.len()], self.writes.clone());
        for ((name, rule), said) in new.classes.iter().zip(&new.module.classes).zip(&new.writes) {
            match classes
                .iter()
                .zip(&rules)
                .position(|(n, r)| n == name && r == rule)
            {
                Some(at) => (retired[at], writes[at]) = (false, said.or(writes[at])),
                None => {
                    classes.push(name.clone());
                    rules.push(rule.clone());
                    retired.push(false);
                    writes.push(*said);
                }
            }
        }
        if classes.len() > CLASSES_MOST {
            return Err(format!("more than {CLASSES_MOST} classes since the start"));
        }
        let (mut plans, mut figures) = (self.plans.clone(), self.module.plans.clone());
        for (name, figure) in new.plans.iter().zip(&new.module.plans) {
            match plans.iter().position(|p| p == name) {
                Some(at) => figures[at] = figure.clone(),
                None => (plans.push(name.clone()), figures.push(figure.clone())).0,
            }
        }
        if let Some(name) = plans.iter().find(|p| !new.plans.contains(p)) {
            return Err(format!(
                "setting grades: the plan '{name}' cannot be dropped while the program runs"
            ));
        }
        let module = Settings {
            classes: rules,
            plans: figures,
            ..new.module
        };
        Ok(Told {
            module,
            classes,
            retired,
            writes,
            plans,
            ..new
        })
    }
}

/// Milliseconds of the settings as microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

struct Keys(BTreeMap<String, String>);

impl Keys {
    fn opt<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        match self.0.get(key) {
            None => Ok(None),
            Some(v) if v.is_empty() => Ok(None),
            Some(v) => v
                .parse()
                .map(Some)
                .map_err(|_| format!("setting {key}: cannot read '{v}'")),
        }
    }
    fn must<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.opt(key)?
            .ok_or_else(|| format!("setting {key} is missing"))
    }
    fn num(&self, key: &str) -> Result<Option<f64>, String> {
        match self.opt::<f64>(key)? {
            Some(x) if !x.is_finite() => Err(format!("setting {key}: not a finite number")),
            Some(x) if x < 0.0 => Err(format!("setting {key}: not a positive number")),
            x => Ok(x),
        }
    }
    fn ms(&self, key: &str) -> Result<Option<Micros>, String> {
        match self.num(key)? {
            Some(x) if x > SPAN_MOST => Err(format!("setting {key}: over ten days")),
            x => Ok(x.map(micros)),
        }
    }
    fn real(&self, key: &str, absent: f64) -> Result<f64, String> {
        Ok(self.num(key)?.unwrap_or(absent))
    }
    fn span(&self, key: &str, absent_ms: f64) -> Result<Micros, String> {
        Ok(self.ms(key)?.unwrap_or(micros(absent_ms)))
    }
    fn must_span(&self, key: &str) -> Result<Micros, String> {
        self.ms(key)?
            .ok_or_else(|| format!("setting {key} is missing"))
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.opt(key)?.unwrap_or(false))
    }
}

/// Reads the settings from `path=value` lines, as the simulator gives them.
pub fn parse(info: &str) -> Result<Told, String> {
    let pair = |l: &str| {
        l.split_once('=')
            .map(|(a, b)| (a.trim().to_string(), b.trim().to_string()))
    };
    read(&Keys(info.lines().filter_map(pair).collect()))
}

/// Reads the settings from nested JSON, as a real front gets them.
pub fn parse_json(value: &serde_json::Value) -> Result<Told, String> {
    let mut keys = BTreeMap::new();
    flatten("", value, &mut keys);
    read(&Keys(keys))
}

/// Words nested JSON as the lines do: lists of plain values joined by commas, lists of objects counted.
fn flatten(path: &str, value: &serde_json::Value, keys: &mut BTreeMap<String, String>) {
    use serde_json::Value;
    let under = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, v)| flatten(&under(name), v, keys)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            keys.insert(under("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&under(&i.to_string()), v, keys));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            keys.insert(path.to_string(), words.join(","));
        }
        _ => drop(keys.insert(path.to_string(), plain(value))),
    }
}

fn plain(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(s) => s.clone(),
        serde_json::Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn read(k: &Keys) -> Result<Told, String> {
    let list = |key: &str| -> Vec<String> {
        k.0.get(key)
            .filter(|v| !v.is_empty())
            .map_or(Vec::new(), |v| v.split(',').map(String::from).collect())
    };
    let (writes, count) = (list("domain.changesData"), k.must("classes.count")?);
    let writes: Vec<Option<bool>> = (0..count)
        .map(|i| (writes.len() == count).then(|| writes[i] == "true"))
        .collect();
    let classes = (0..count)
        .map(|i| class(k, i, writes[i]))
        .collect::<Result<Vec<_>, _>>()?;
    let count = k.opt("grades.count")?.unwrap_or(0);
    let plans = (0..count)
        .map(|i| plan(k, i))
        .collect::<Result<Vec<_>, _>>()?;
    let names = |of: &str, n: usize| -> Vec<String> {
        (0..n)
            .map(|i| {
                k.0.get(&format!("{of}.{i}.name"))
                    .cloned()
                    .unwrap_or_default()
            })
            .collect()
    };
    let (class_names, plan_names) = (
        names("classes", classes.len()),
        names("grades", plans.len()),
    );
    for (of, names) in [("classes", &class_names), ("grades", &plan_names)] {
        let twice = names
            .iter()
            .enumerate()
            .find(|(i, n)| !n.is_empty() && names[..*i].contains(n));
        if let Some((i, name)) = twice {
            return Err(format!(
                "setting {of}.{i}.name: '{name}' stands there twice"
            ));
        }
    }
    let discovery = match k.0.get("registryMode").map(String::as_str) {
        Some("ask") => DiscoveryMode::Poll {
            informed_after: k.span("safety.askWithin", 10_000.0)?,
        },
        Some("push") | None => DiscoveryMode::Push,
        Some(other) => return Err(format!("setting registryMode: cannot read '{other}'")),
    };
    let slow_start = match k.ms("safety.tipAfter")? {
        Some(window) if window > 0 => Some(SlowStart {
            guaranteed_units: k.real("domain.coldBears", 0.0)?,
            initial_share: match k.real("safety.coldFrom", 0.0)? {
                share if share > 1.0 => {
                    return Err(format!("setting safety.coldFrom: {share} is over 1"))
                }
                share => share,
            },
            overload_multiple: k.real("safety.fallMultiple", 0.0)?,
            duration: k.span("safety.warmUp", 0.0)?,
            window,
        }),
        _ => None,
    };
    let retry_budget = match (k.num("safety.spareAttempts")?, k.num("safety.resendRatio")?) {
        (None, None) => None,
        (min_retries, retry_ratio) => Some(RetryBudget {
            min_retries: min_retries.unwrap_or(0.0),
            retry_ratio: retry_ratio.unwrap_or(0.0),
            window: k.must_span("safety.lookBack")?,
        }),
    };
    let module = Settings {
        hosts: k.opt("peersTotal")?.unwrap_or(1),
        zone: Zone(k.opt("zone")?.unwrap_or(0)),
        classes,
        plans,
        discovery,
        slow_start,
        retry_budget,
        key_cooldown: k.span("safety.settleAfterDoubt", 0.0)?,
        drain_grace: k.must_span("safety.stopSendingWithin")?,
        timer_resolution: k.must_span("resolution")?,
        max_attempts: match k.opt("policyLimits.mostTries")? {
            Some(0) => return Err("setting policyLimits.mostTries: not a positive number".into()),
            most => most.unwrap_or(1),
        },
        max_open_requests: k.opt("policyLimits.mostHeld")?.unwrap_or(0),
        parallel_attempts: k.flag("policyLimits.parallelTries")?,
        cancel_attempts: k.flag("policyLimits.cancel")?,
        health_checks: k.flag("policyLimits.probes")?,
        send_retry_after: k.flag("policyLimits.retryAfter")?,
        max_retry_after: k.span("policyLimits.maxRetryAfter", 0.0)?,
        max_units: k.real("domain.maxUnits", 0.0)?,
        mean_units: k.real("domain.unitMean", 0.0)?,
        fair_share_value: k.real("domain.fairWorth", 1.0)?,
        excess_value: k.real("domain.idleWorth", 1.0)?,
        usage_period: k.span("domain.metering", 0.0)?,
    };
    Ok(Told {
        module,
        columns: list("report.columns"),
        writes,
        retired: vec![false; class_names.len()],
        classes: class_names,
        plans: plan_names,
        zones: list("areas"),
        conn_idle: k.span("policyLimits.connIdle", 15_000.0)?,
        connect_timeout: k.span("policyLimits.connectTimeout", 250.0)?,
    })
}

fn class(k: &Keys, i: usize, writes: Option<bool>) -> Result<Class, String> {
    let at = |name: &str| format!("classes.{i}.{name}");
    let repeat: String = k.must(&at("repeat"))?;
    let idempotence = match repeat.as_str() {
        "free" => Idempotence::Idempotent,
        "single_shot" => Idempotence::NotIdempotent,
        "guarded" => {
            let scope = match k.must::<String>(&at("group"))?.as_str() {
                "all" => DeduplicationScope::AllNodes,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Shard,
                other => return Err(format!("setting {}: cannot read '{other}'", at("group"))),
            };
            Idempotence::Deduplicated {
                scope,
                window: k.must_span(&at("window"))?,
            }
        }
        other => return Err(format!("setting {}: cannot read '{other}'", at("repeat"))),
    };
    Ok(Class {
        latency_target: k.must_span(&at("aim"))?,
        latency_target_stretch: k.real(&at("aimStretch"), 0.0)?,
        deadline: match k.must_span(&at("deadline"))? {
            ..=0 => return Err(format!("setting {}: not a positive number", at("deadline"))),
            deadline => deadline,
        },
        idempotence,
        in_order: k.flag(&at("byArrival"))?,
        streamed: k.flag(&at("streamed"))?,
        value: k.real(&at("worth"), 1.0)?,
        late_value_share: k.real(&at("lateShare"), 0.0)?,
        // Unsaid: what may not simply be repeated changes something.
        writes: writes.unwrap_or(idempotence != Idempotence::Idempotent),
    })
}

fn plan(k: &Keys, i: usize) -> Result<Plan, String> {
    let at = |name: &str| format!("grades.{i}.{name}");
    let rate = k.real(&at("limit"), 0.0)?;
    let limit = match rate > 0.0 {
        true => {
            let burst = at("limitBurst");
            let burst = k
                .num(&burst)?
                .ok_or_else(|| format!("setting {burst} is missing"))?;
            Some(RateLimit {
                rate,
                burst,
                overdraft: k.real(&at("limitSlack"), 0.0)?,
            })
        }
        false => None,
    };
    Ok(Plan {
        weight: k.real(&at("shares"), 1.0)?,
        reserved_rate: k.real(&at("guaranteed"), 0.0)?,
        nominal_rate: k.real(&at("nominal"), 0.0)?,
        value_multiplier: k.real(&at("worthFactor"), 1.0)?,
        limit,
    })
}
