//! The project's own deployments, on which the standing test runs beside the operators': the files parse, have the
//! properties that they exist for, and yield valid settings.

use lupinrack::{settings, DeduplicationScope, Idempotence};
use serde_json::{json, Value};
use std::path::Path;

fn load_site(name: &str) -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy/sites")
        .join(name);
    let text = std::fs::read_to_string(path).unwrap();
    serde_json::to_value(toml::from_str::<toml::Table>(&text).unwrap()).unwrap()
}

/// The settings that a front of this deployment gets.
fn front_settings(site: &Value) -> settings::FrontSettings {
    let list = |value: &Value| value.as_array().unwrap().clone();
    let repeat = |effect: &str| match effect {
        "safe" => "free",
        "keyed" => "guarded",
        "unsafe" => "single_shot",
        other => panic!("{other}"),
    };
    let classes: Vec<Value> = list(&site["class"])
        .iter()
        .map(|c| {
            json!({"name": c["name"], "aim": c["aim_ms"], "deadline": c["deadline_ms"], "worth": c["worth"],
                "repeat": repeat(c["effect"].as_str().unwrap()), "window": c["window_ms"], "group": c["group"],
                "lateShare": c["late_worth"]})
        })
        .collect();
    let plans: Vec<Value> = list(&site["tenant"])
        .iter()
        .zip(list(&site["fam"]["plan"]))
        .map(|(t, p)| {
            json!({"name": t["name"], "shares": p["weight"], "guaranteed": p["reserve"], "worthFactor": p["price"],
                "limit": p["limit"], "limitBurst": p["limit"], "limitSlack": 1.0})
        })
        .collect();
    let writes: Vec<&Value> = site["class"]
        .as_array()
        .unwrap()
        .iter()
        .map(|c| &c["write"])
        .collect();
    settings::parse_json(
        &json!({"areas": site["net"]["zones"], "peersTotal": 3, "registryMode": site["discovery"]["mode"],
        "resolution": site["day"]["tick_ms"], "classes": classes, "grades": plans,
        "domain": {"changesData": writes, "maxUnits": site["fam"]["most_units"], "coldBears": 20.0},
        "policyLimits": {"mostTries": site["allow"]["max_attempts"], "probes": site["allow"]["probes"],
            "parallelTries": site["allow"]["second_copies"], "retryAfter": site["allow"]["retry_after"]},
        "safety": {"stopSendingWithin": site["rules"]["drain_grace_ms"], "tipAfter": site["rules"]["fall_ms"],
            "fallMultiple": site["rules"]["fall_multiple"], "coldFrom": 0.2, "warmUp": 15000.0}}),
    )
    .unwrap()
}

#[test]
fn the_variants_parse_and_have_their_intended_properties() {
    let ledger = front_settings(&load_site("harbour-ledger.toml")).policy;
    assert!(ledger
        .classes
        .iter()
        .all(|c| c.deadline <= 1_200_000 && c.latency_target < c.deadline));
    let has_short_shard_window = |e: &Idempotence| matches!(e, Idempotence::Deduplicated { scope: DeduplicationScope::Shard, window } if *window < 1_000_000);
    assert_eq!(
        ledger
            .classes
            .iter()
            .filter(|c| has_short_shard_window(&c.idempotence))
            .count(),
        1
    );
    let archive = front_settings(&load_site("quarry-archive.toml")).policy;
    let effects: Vec<Idempotence> = archive.classes.iter().map(|c| c.idempotence).collect();
    let deduplicated = Idempotence::Deduplicated {
        scope: DeduplicationScope::AllNodes,
        window: 3_000_000,
    };
    assert_eq!(
        effects,
        [
            Idempotence::NotIdempotent,
            deduplicated,
            Idempotence::Idempotent
        ]
    );
    assert!(
        archive.plans.iter().all(|p| p.limit.is_none()) && archive.plans[0].reserved_rate == 0.0
    );
    assert!(!archive.parallel_attempts && !archive.health_checks && !archive.send_retry_after);
    for name in ["harbour-ledger.toml", "quarry-archive.toml"] {
        let site = load_site(name);
        let shares: f64 = site["tenant"]
            .as_array()
            .unwrap()
            .iter()
            .map(|t| t["share"].as_f64().unwrap())
            .sum();
        assert!((shares - 1.0).abs() < 1e-9, "{name}: {shares}");
        assert!(site["name"].as_str().is_some_and(|n| name.starts_with(n)));
    }
}
