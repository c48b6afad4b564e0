//! Golden files of the settings: what is read from each key, in both of their forms, and what holds where a key is missing. Times
//! are read in microseconds.

use lupinrack_front_settings::{parse, parse_json, Told};
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_policy::{
    Class, DeduplicationScope, DiscoveryMode, Idempotence, Plan, RetryBudget, SlowStart,
};
use std::fmt::Debug;

const WHOLE_JSON: &str = include_str!("golden/settings.json");
const WHOLE_LINES: &str = include_str!("golden/settings.txt");
const SHORT_JSON: &str = include_str!("golden/settings-short.json");

/// What was read, by the keys of the settings.
fn read(file: &str, told: &Told) -> GoldenFile {
    let mut read = GoldenFile::open(file);
    names(&mut read, told);
    for (i, class) in told.module.classes.iter().enumerate() {
        read_class(&mut read, i, class);
    }
    for (i, plan) in told.module.plans.iter().enumerate() {
        read_plan(&mut read, i, plan);
    }
    read_cold_rule(&mut read, told.module.slow_start.as_ref());
    read_budget(&mut read, told.module.retry_budget.as_ref());
    read_others(&mut read, told);
    read
}

fn add(read: &mut GoldenFile, key: impl Into<String>, value: impl Debug) {
    read.add(key, format!("{value:?}"));
}

fn names(read: &mut GoldenFile, told: &Told) {
    add(read, "areas", &told.zones);
    add(read, "report.columns", &told.columns);
    add(read, "classes.name", &told.classes);
    add(read, "classes that were dropped", &told.retired);
    add(read, "grades.name", &told.plans);
    add(read, "domain.changesData", &told.writes);
}

fn read_class(read: &mut GoldenFile, i: usize, class: &Class) {
    let key = |name: &str| format!("classes.{i}.{name}");
    add(read, key("aim"), class.latency_target);
    add(read, key("aimStretch"), class.latency_target_stretch);
    add(read, key("deadline"), class.deadline);
    match class.idempotence {
        Idempotence::Idempotent => add(read, key("repeat"), "free"),
        Idempotence::NotIdempotent => add(read, key("repeat"), "single_shot"),
        Idempotence::Deduplicated { scope, window } => {
            let scope = match scope {
                DeduplicationScope::AllNodes => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Shard => "cell",
            };
            add(read, key("repeat"), "guarded");
            add(read, key("group"), scope);
            add(read, key("window"), window);
        }
    }
    add(read, key("byArrival"), class.in_order);
    add(read, key("streamed"), class.streamed);
    add(read, key("worth"), class.value);
    add(read, key("lateShare"), class.late_value_share);
    add(read, key("writes"), class.writes);
}

fn read_plan(read: &mut GoldenFile, i: usize, plan: &Plan) {
    let key = |name: &str| format!("grades.{i}.{name}");
    add(read, key("shares"), plan.weight);
    add(read, key("guaranteed"), plan.reserved_rate);
    add(read, key("nominal"), plan.nominal_rate);
    add(read, key("worthFactor"), plan.value_multiplier);
    match &plan.limit {
        Some(limit) => {
            add(read, key("limit"), limit.rate);
            add(read, key("limitBurst"), limit.burst);
            add(read, key("limitSlack"), limit.overdraft);
        }
        None => add(read, key("limit"), "none"),
    }
}

fn read_cold_rule(read: &mut GoldenFile, rule: Option<&SlowStart>) {
    let Some(rule) = rule else {
        return add(read, "safety.tipAfter", "none");
    };
    add(read, "safety.tipAfter", rule.window);
    add(read, "domain.coldBears", rule.guaranteed_units);
    add(read, "safety.coldFrom", rule.initial_share);
    add(read, "safety.fallMultiple", rule.overload_multiple);
    add(read, "safety.warmUp", rule.duration);
}

fn read_budget(read: &mut GoldenFile, budget: Option<&RetryBudget>) {
    let Some(budget) = budget else {
        return add(read, "safety.lookBack", "none");
    };
    add(read, "safety.spareAttempts", budget.min_retries);
    add(read, "safety.resendRatio", budget.retry_ratio);
    add(read, "safety.lookBack", budget.window);
}

fn read_others(read: &mut GoldenFile, told: &Told) {
    let module = &told.module;
    match module.discovery {
        DiscoveryMode::Push => add(read, "registryMode", "push"),
        DiscoveryMode::Poll { informed_after } => {
            add(read, "registryMode", "ask");
            add(read, "safety.askWithin", informed_after);
        }
    }
    add(read, "peersTotal", module.hosts);
    add(read, "zone", module.zone.0);
    add(read, "resolution", module.timer_resolution);
    add(read, "domain.maxUnits", module.max_units);
    add(read, "domain.unitMean", module.mean_units);
    add(read, "domain.fairWorth", module.fair_share_value);
    add(read, "domain.idleWorth", module.excess_value);
    add(read, "domain.metering", module.usage_period);
    add(read, "safety.settleAfterDoubt", module.key_cooldown);
    add(read, "safety.stopSendingWithin", module.drain_grace);
    add(read, "policyLimits.mostTries", module.max_attempts);
    add(read, "policyLimits.mostHeld", module.max_open_requests);
    add(read, "policyLimits.parallelTries", module.parallel_attempts);
    add(read, "policyLimits.cancel", module.cancel_attempts);
    add(read, "policyLimits.probes", module.health_checks);
    add(read, "policyLimits.retryAfter", module.send_retry_after);
    add(read, "policyLimits.maxRetryAfter", module.max_retry_after);
    add(read, "policyLimits.connIdle", told.conn_idle);
    add(read, "policyLimits.connectTimeout", told.connect_timeout);
}

fn from_json(text: &str) -> Told {
    parse_json(&serde_json::from_str(text).unwrap()).unwrap()
}

#[test]
fn every_setting_is_read_as_before_from_either_form() {
    read(path!("settings-read.txt"), &from_json(WHOLE_JSON)).check();
    read(path!("settings-read.txt"), &parse(WHOLE_LINES).unwrap()).check();
}

#[test]
fn settings_that_are_missing_are_read_as_before() {
    read(path!("settings-short-read.txt"), &from_json(SHORT_JSON)).check();
}

/// A part of the retry budget that is not stated is none.
#[test]
fn either_part_of_the_retry_budget_may_stand_alone() {
    for (stated, expected) in [("spareAttempts", (4.0, 0.0)), ("resendRatio", (0.0, 4.0))] {
        let mut settings: serde_json::Value = serde_json::from_str(SHORT_JSON).unwrap();
        settings["safety"][stated] = 4.0.into();
        settings["safety"]["lookBack"] = 9.0.into();
        let budget = parse_json(&settings).unwrap().module.retry_budget.unwrap();
        assert_eq!(
            (budget.min_retries, budget.retry_ratio),
            expected,
            "{stated}"
        );
        assert_eq!(budget.window, 9_000);
    }
}

/// Operators read these, and search for the key that they name.
#[test]
fn faults_keep_their_words() {
    let mut faults = GoldenFile::open(path!("faults.txt"));
    for (name, pointer, value) in [
        ("missing", "/resolution", serde_json::Value::Null),
        ("not_a_number", "/classes/0/aim", "soon".into()),
        ("negative", "/classes/0/aim", (-1.0).into()),
        ("too_long", "/classes/0/aim", 864_000_001.0.into()),
        ("deadline_of_zero", "/classes/0/deadline", 0.0.into()),
        ("repeat_unknown", "/classes/0/repeat", "often".into()),
        ("group_unknown", "/classes/1/group", "room".into()),
        ("name_twice", "/classes/1/name", "read".into()),
        ("plan_twice", "/grades/1/name", "basic".into()),
        (
            "burst_missing",
            "/grades/0/limitBurst",
            serde_json::Value::Null,
        ),
        ("mode_unknown", "/registryMode", "guess".into()),
        ("cold_from_over_one", "/safety/coldFrom", 1.5.into()),
        (
            "look_back_missing",
            "/safety/lookBack",
            serde_json::Value::Null,
        ),
        ("no_tries", "/policyLimits/mostTries", 0.into()),
    ] {
        let mut settings: serde_json::Value = serde_json::from_str(WHOLE_JSON).unwrap();
        *settings.pointer_mut(pointer).unwrap() = value;
        faults.add(name, parse_json(&settings).unwrap_err());
    }
    faults.check();
}
