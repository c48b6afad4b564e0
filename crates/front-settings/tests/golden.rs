//! Golden files of the parsed settings: the value of each key in both formats, and the default of each missing key. Durations
//! are in microseconds.

use lupinrack_front_settings::{parse, parse_json, FrontSettings};
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_policy::{
    Class, DeduplicationScope, DiscoveryMode, Idempotence, Plan, RetryBudget, SlowStart,
};
use std::fmt::Debug;

const COMPLETE_JSON: &str = include_str!("golden/settings.json");
const COMPLETE_LINES: &str = include_str!("golden/settings.txt");
const MINIMAL_JSON: &str = include_str!("golden/settings-short.json");

/// The parsed settings, by their keys.
fn parsed(file: &str, settings: &FrontSettings) -> GoldenFile {
    let mut golden = GoldenFile::open(file);
    add_names(&mut golden, settings);
    for (i, class) in settings.policy.classes.iter().enumerate() {
        add_class(&mut golden, i, class);
    }
    for (i, plan) in settings.policy.plans.iter().enumerate() {
        add_plan(&mut golden, i, plan);
    }
    add_slow_start(&mut golden, settings.policy.slow_start.as_ref());
    add_retry_budget(&mut golden, settings.policy.retry_budget.as_ref());
    add_others(&mut golden, settings);
    golden
}

fn add(golden: &mut GoldenFile, key: impl Into<String>, value: impl Debug) {
    golden.add(key, format!("{value:?}"));
}

fn add_names(golden: &mut GoldenFile, settings: &FrontSettings) {
    add(golden, "areas", &settings.zones);
    add(golden, "report.columns", &settings.load_columns);
    add(golden, "classes.name", &settings.classes);
    add(golden, "classes that were dropped", &settings.retired);
    add(golden, "grades.name", &settings.plans);
    add(golden, "domain.changesData", &settings.writes);
}

fn add_class(golden: &mut GoldenFile, i: usize, class: &Class) {
    let key = |name: &str| format!("classes.{i}.{name}");
    add(golden, key("aim"), class.latency_target);
    add(golden, key("aimStretch"), class.latency_target_stretch);
    add(golden, key("deadline"), class.deadline);
    match class.idempotence {
        Idempotence::Idempotent => add(golden, key("repeat"), "free"),
        Idempotence::NotIdempotent => add(golden, key("repeat"), "single_shot"),
        Idempotence::Deduplicated { scope, window } => {
            let scope = match scope {
                DeduplicationScope::AllNodes => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Shard => "cell",
            };
            add(golden, key("repeat"), "guarded");
            add(golden, key("group"), scope);
            add(golden, key("window"), window);
        }
    }
    add(golden, key("byArrival"), class.in_order);
    add(golden, key("streamed"), class.streamed);
    add(golden, key("worth"), class.value);
    add(golden, key("lateShare"), class.late_value_share);
    add(golden, key("writes"), class.writes);
}

fn add_plan(golden: &mut GoldenFile, i: usize, plan: &Plan) {
    let key = |name: &str| format!("grades.{i}.{name}");
    add(golden, key("shares"), plan.weight);
    add(golden, key("guaranteed"), plan.reserved_rate);
    add(golden, key("nominal"), plan.nominal_rate);
    add(golden, key("worthFactor"), plan.value_multiplier);
    match &plan.limit {
        Some(limit) => {
            add(golden, key("limit"), limit.rate);
            add(golden, key("limitBurst"), limit.burst);
            add(golden, key("limitSlack"), limit.overdraft);
        }
        None => add(golden, key("limit"), "none"),
    }
}

fn add_slow_start(golden: &mut GoldenFile, slow_start: Option<&SlowStart>) {
    let Some(slow_start) = slow_start else {
        return add(golden, "safety.tipAfter", "none");
    };
    add(golden, "safety.tipAfter", slow_start.window);
    add(golden, "domain.coldBears", slow_start.guaranteed_units);
    add(golden, "safety.coldFrom", slow_start.initial_share);
    add(golden, "safety.fallMultiple", slow_start.overload_multiple);
    add(golden, "safety.warmUp", slow_start.duration);
}

fn add_retry_budget(golden: &mut GoldenFile, budget: Option<&RetryBudget>) {
    let Some(budget) = budget else {
        return add(golden, "safety.lookBack", "none");
    };
    add(golden, "safety.spareAttempts", budget.min_retries);
    add(golden, "safety.resendRatio", budget.retry_ratio);
    add(golden, "safety.lookBack", budget.window);
}

fn add_others(golden: &mut GoldenFile, settings: &FrontSettings) {
    let policy = &settings.policy;
    match policy.discovery {
        DiscoveryMode::Push => add(golden, "registryMode", "push"),
        DiscoveryMode::Poll { informed_after } => {
            add(golden, "registryMode", "ask");
            add(golden, "safety.askWithin", informed_after);
        }
    }
    add(golden, "peersTotal", policy.hosts);
    add(golden, "zone", policy.zone.0);
    add(golden, "resolution", policy.timer_resolution);
    add(golden, "domain.maxUnits", policy.max_units);
    add(golden, "domain.unitMean", policy.mean_units);
    add(golden, "domain.fairWorth", policy.fair_share_value);
    add(golden, "domain.idleWorth", policy.excess_value);
    add(golden, "domain.metering", policy.usage_period);
    add(golden, "safety.settleAfterDoubt", policy.key_cooldown);
    add(golden, "safety.stopSendingWithin", policy.drain_grace);
    add(golden, "policyLimits.mostTries", policy.max_attempts);
    add(golden, "policyLimits.mostHeld", policy.max_open_requests);
    add(
        golden,
        "policyLimits.parallelTries",
        policy.parallel_attempts,
    );
    add(golden, "policyLimits.cancel", policy.cancel_attempts);
    add(golden, "policyLimits.probes", policy.health_checks);
    add(golden, "policyLimits.retryAfter", policy.send_retry_after);
    add(golden, "policyLimits.maxRetryAfter", policy.max_retry_after);
    add(golden, "policyLimits.connIdle", settings.node_idle_timeout);
    add(
        golden,
        "policyLimits.connectTimeout",
        settings.connect_timeout,
    );
}

fn from_json(text: &str) -> FrontSettings {
    parse_json(&serde_json::from_str(text).unwrap()).unwrap()
}

#[test]
fn every_setting_is_parsed_from_both_formats() {
    parsed(path!("settings-read.txt"), &from_json(COMPLETE_JSON)).check();
    parsed(path!("settings-read.txt"), &parse(COMPLETE_LINES).unwrap()).check();
}

#[test]
fn missing_settings_get_their_defaults() {
    parsed(path!("settings-short-read.txt"), &from_json(MINIMAL_JSON)).check();
}

/// A part of the retry budget that is missing is 0.
#[test]
fn each_part_of_the_retry_budget_may_be_given_alone() {
    for (key, expected) in [("spareAttempts", (4.0, 0.0)), ("resendRatio", (0.0, 4.0))] {
        let mut settings: serde_json::Value = serde_json::from_str(MINIMAL_JSON).unwrap();
        settings["safety"][key] = 4.0.into();
        settings["safety"]["lookBack"] = 9.0.into();
        let budget = parse_json(&settings).unwrap().policy.retry_budget.unwrap();
        assert_eq!((budget.min_retries, budget.retry_ratio), expected, "{key}");
        assert_eq!(budget.window, 9_000);
    }
}

/// Operators search for the key that an error text names.
#[test]
fn error_texts_stay_the_same() {
    let mut errors = GoldenFile::open(path!("faults.txt"));
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
        let mut settings: serde_json::Value = serde_json::from_str(COMPLETE_JSON).unwrap();
        *settings.pointer_mut(pointer).unwrap() = value;
        errors.add(name, parse_json(&settings).unwrap_err());
    }
    errors.check();
}
