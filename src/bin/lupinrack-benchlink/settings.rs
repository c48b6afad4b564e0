//! The settings of an instance, from `path=value` lines. Unknown keys are passed over; a required key that is
//! missing or does not parse is named.

use crate::wire::micros;
use lupinrack::*;
use std::collections::BTreeMap;
use std::str::FromStr;

struct Keys<'a>(BTreeMap<&'a str, &'a str>);

impl Keys<'_> {
    fn opt<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        match self.0.get(key) {
            None | Some(&"") => Ok(None),
            Some(v) => v.parse().map(Some).map_err(|_| format!("setting {key}: cannot read '{v}'")),
        }
    }
    fn must<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.opt(key)?.ok_or_else(|| format!("setting {key} is missing"))
    }
    fn num(&self, key: &str) -> Result<Option<f64>, String> {
        match self.opt::<f64>(key)? {
            Some(x) if !x.is_finite() => Err(format!("setting {key}: not a finite number")),
            x => Ok(x),
        }
    }
    fn real(&self, key: &str, absent: f64) -> Result<f64, String> {
        Ok(self.num(key)?.unwrap_or(absent))
    }
    fn span(&self, key: &str, absent_ms: f64) -> Result<Micros, String> {
        self.real(key, absent_ms).map(micros)
    }
    fn must_span(&self, key: &str) -> Result<Micros, String> {
        self.num(key)?.map(micros).ok_or_else(|| format!("setting {key} is missing"))
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.opt(key)?.unwrap_or(false))
    }
}

/// Reads the settings of one instance, and the names of the values in its load reports, in order.
pub fn parse(info: &str) -> Result<(Settings, Vec<String>), String> {
    let k = Keys(info.lines().filter_map(|l| l.split_once('=')).map(|(a, b)| (a.trim(), b.trim())).collect());
    let columns =
        k.0.get("report.columns").map_or(Vec::new(), |c| c.split(',').map(str::to_string).collect());
    let writes: Vec<bool> =
        k.0.get("domain.changesData").map_or(Vec::new(), |v| v.split(',').map(|x| x == "true").collect());
    let classes = (0..k.must("classes.count")?)
        .map(|i| class(&k, i, writes.get(i).copied().unwrap_or(false)))
        .collect::<Result<Vec<_>, _>>()?;
    let plans =
        (0..k.opt("grades.count")?.unwrap_or(0)).map(|i| plan(&k, i)).collect::<Result<Vec<_>, _>>()?;
    let discovery = match k.0.get("registryMode").copied() {
        Some("ask") => Discovery::Ask { within: k.span("safety.askWithin", 10_000.0)? },
        Some("push") | None => Discovery::Push,
        Some(other) => return Err(format!("setting registryMode: cannot read '{other}'")),
    };
    let cold = match k.num("safety.tipAfter")? {
        Some(window) if window > 0.0 => Some(ColdRule {
            bears: k.real("domain.coldBears", 0.0)?,
            from: k.real("safety.coldFrom", 0.0)?,
            warm_up: k.span("safety.warmUp", 0.0)?,
            window: micros(window),
        }),
        _ => None,
    };
    let budget = match (k.num("safety.spareAttempts")?, k.num("safety.resendRatio")?) {
        (None, None) => None,
        (spare, ratio) => Some(RetryBudget {
            spare: spare.unwrap_or(0.0),
            ratio: ratio.unwrap_or(0.0),
            window: k.must_span("safety.lookBack")?,
        }),
    };
    let settings = Settings {
        hosts: k.opt("peersTotal")?.unwrap_or(1),
        zone: Zone(k.opt("zone")?.unwrap_or(0)),
        classes,
        plans,
        discovery,
        cold,
        budget,
        settle: k.span("safety.settleAfterDoubt", 0.0)?,
        drain_grace: k.must_span("safety.stopSendingWithin")?,
        tick: k.must_span("resolution")?,
        most_tries: k.opt("policyLimits.mostTries")?.unwrap_or(1),
        most_held: k.opt("policyLimits.mostHeld")?.unwrap_or(0),
        parallel_tries: k.flag("policyLimits.parallelTries")?,
        cancel: k.flag("policyLimits.cancel")?,
        probes: k.flag("policyLimits.probes")?,
        retry_after: k.flag("policyLimits.retryAfter")?,
        max_retry_after: k.span("policyLimits.maxRetryAfter", 0.0)?,
        max_units: k.real("domain.maxUnits", 0.0)?,
        mean_units: k.real("domain.unitMean", 0.0)?,
        fair_worth: k.real("domain.fairWorth", 1.0)?,
        spare_worth: k.real("domain.idleWorth", 1.0)?,
        meter: k.span("domain.metering", 0.0)?,
    };
    Ok((settings, columns))
}

fn class(k: &Keys, i: usize, writes: bool) -> Result<Class, String> {
    let at = |name: &str| format!("classes.{i}.{name}");
    let repeat: String = k.must(&at("repeat"))?;
    let effect = match repeat.as_str() {
        "free" => Effect::Safe,
        "single_shot" => Effect::Unsafe,
        "guarded" => {
            let group = match k.must::<String>(&at("group"))?.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("setting {}: cannot read '{other}'", at("group"))),
            };
            Effect::Keyed { group, window: k.must_span(&at("window"))? }
        }
        other => return Err(format!("setting {}: cannot read '{other}'", at("repeat"))),
    };
    Ok(Class {
        aim: k.must_span(&at("aim"))?,
        aim_stretch: k.real(&at("aimStretch"), 0.0)?,
        deadline: k.must_span(&at("deadline"))?,
        effect,
        in_order: k.flag(&at("byArrival"))?,
        streamed: k.flag(&at("streamed"))?,
        worth: k.real(&at("worth"), 1.0)?,
        late_share: k.real(&at("lateShare"), 0.0)?,
        writes,
    })
}

fn plan(k: &Keys, i: usize) -> Result<Plan, String> {
    let at = |name: &str| format!("grades.{i}.{name}");
    let rate = k.real(&at("limit"), 0.0)?;
    let limit = match rate > 0.0 {
        true => {
            Some(Limit { rate, burst: k.must(&at("limitBurst"))?, slack: k.real(&at("limitSlack"), 0.0)? })
        }
        false => None,
    };
    Ok(Plan {
        weight: k.real(&at("shares"), 1.0)?,
        reserve: k.real(&at("guaranteed"), 0.0)?,
        nominal: k.real(&at("nominal"), 0.0)?,
        price: k.real(&at("worthFactor"), 1.0)?,
        limit,
    })
}
