//! Reload of the settings: applied completely or not at all, and each request keeps the rules it started with.

mod common;

use common::front::SETTINGS;
use lupinrack::engine::{Clock, EngineParts, Order};
use lupinrack::net::config::Config;
use lupinrack::net::reload::ActiveConfig;
use lupinrack::settings::FrontSettings;
use lupinrack::*;
use lupinrack_metrics::{Metrics, NodeCounts};
use serde_json::{json, Value};

fn file() -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"generation": 1, "instances": []},
        "settings": serde_json::from_str::<Value>(SETTINGS).unwrap()})
}

/// The active configuration of a process started with `file()`, and a path for new files.
fn active_config_of(name: &str) -> (ActiveConfig, std::path::PathBuf) {
    let path = std::env::temp_dir().join(format!(
        "lupinrack-reload-{name}-{}.json",
        std::process::id()
    ));
    (
        ActiveConfig::new(&Config::parse(&file().to_string()).unwrap()),
        path,
    )
}

#[test]
fn an_invalid_file_changes_nothing_and_the_error_names_the_key() {
    let (active_config, path) = active_config_of("broken");
    let changed = |change: &dyn Fn(&mut Value)| {
        let mut new = file();
        new["discovery"] = json!("127.0.0.1:2");
        change(&mut new);
        new.to_string()
    };
    let class = |i: usize, key: &'static str, value: Value| {
        changed(&move |f| f["settings"]["classes"][i][key] = value.clone())
    };
    let valid = changed(&|_| {});
    for (text, reason) in [
        (String::new(), "EOF"),
        ("{".into(), "EOF"),
        (valid[..valid.len() / 2].into(), "EOF"),
        ("[]".into(), "invalid length"),
        (
            changed(&|f| drop(f.as_object_mut().map(|o| o.remove("settings")))),
            "missing field `settings`",
        ),
        (
            changed(&|f| drop(f.as_object_mut().map(|o| o.remove("limits")))),
            "limits is missing",
        ),
        (
            changed(&|f| drop(f["settings"].as_object_mut().map(|o| o.remove("grades")))),
            "settings.grades is missing",
        ),
        (
            class(1, "deadline", json!(-5)),
            "classes.1.deadline: not a positive number",
        ),
        (
            class(0, "deadline", json!(0)),
            "classes.0.deadline: not a positive number",
        ),
        (
            class(0, "deadline", json!("2000")),
            "classes.0.deadline is missing or of another kind",
        ),
        (
            class(2, "deadline", Value::Null),
            "classes.2.deadline is missing",
        ),
        (class(2, "repeat", json!("often")), "classes.2.repeat"),
        (class(2, "name", json!("read")), "'read' stands there twice"),
        (
            changed(&|f| f["settings"]["policyLimits"]["mostTries"] = json!(0)),
            "mostTries: not a positive number",
        ),
        (
            changed(&|f| f["settings"]["policyLimits"]["mostTries"] = json!(-1)),
            "mostTries",
        ),
        (
            changed(&|f| f["settings"]["policyLimits"]["mostTries"] = json!(1.5)),
            "mostTries",
        ),
        (
            changed(&|f| f["settings"]["grades"][0]["name"] = json!("gold")),
            "'basic' cannot be dropped",
        ),
    ] {
        std::fs::write(&path, &text).unwrap();
        let error = active_config.check(&path).expect_err(reason).to_string();
        assert!(error.contains(reason), "{reason}: {error}");
    }
    std::fs::write(&path, valid).unwrap();
    assert!(
        active_config.check(&path).is_ok(),
        "the same file without an error"
    );
    std::fs::remove_file(&path).unwrap();
}

fn settings_with(change: impl Fn(&mut Value)) -> FrontSettings {
    let mut settings: Value = serde_json::from_str(SETTINGS).unwrap();
    change(&mut settings);
    settings::parse_json(&settings).unwrap()
}

#[test]
fn a_class_keeps_its_index_until_its_rules_change() {
    let first = settings_with(|_| {});
    let second = first.updated_with(settings_with(|s| {
        s["classes"][0]["repeat"] = json!("single_shot");
        let swapped = (s["classes"][1].clone(), s["classes"][2].clone());
        (s["classes"][2], s["classes"][1]) = swapped;
        s["domain"]["changesData"] = json!([false, false, true]);
    }));
    let second = second.unwrap();
    assert_eq!(
        (second.class("new-write"), second.class("bulk-read")),
        (Some(1), Some(2)),
        "at any position"
    );
    assert_eq!(second.class("read"), Some(3));
    assert_eq!(
        (
            second.policy.classes[0].idempotence,
            second.policy.classes[3].idempotence
        ),
        (Idempotence::Idempotent, Idempotence::NotIdempotent)
    );
    let dropped = second
        .updated_with(settings_with(|s| {
            drop(s["classes"].as_array_mut().map(|c| c.remove(0)))
        }))
        .unwrap();
    assert_eq!(
        (dropped.class("read"), dropped.active_class_names().count()),
        (None, 2)
    );
    assert!(
        dropped.policy_settings().classes[0].latency_target == 0
            && dropped.policy.classes[0].latency_target > 0
    );
    // An outdated `changesData` list says nothing about a class whose position does not match.
    let stale = first.updated_with(settings_with(|s| {
        let mut more = s["classes"][1].clone();
        more["name"] = json!("new-write-2");
        s["classes"].as_array_mut().unwrap().insert(0, more);
    }));
    let stale = stale.unwrap();
    let writes = |name: &str| stale.writes[stale.class(name).unwrap()];
    assert_eq!(
        [writes("read"), writes("new-write"), writes("new-write-2")],
        [Some(false), Some(true), None]
    );
    // Switching between known files uses no new indices.
    let mut latest = dropped;
    for round in 0..1_000 {
        let next = if round % 2 == 0 {
            settings_with(|_| {})
        } else {
            settings_with(|s| s["classes"][0]["repeat"] = json!("single_shot"))
        };
        latest = latest.updated_with(next).unwrap();
    }
    assert_eq!(latest.classes.len(), 4);
    // New rules in every file end at the limit of classes, with a reason.
    let refused = (1..).find_map(|latency_target| {
        let next = latest.updated_with(settings_with(|s| {
            s["classes"][0]["aim"] = json!(1_000 + latency_target)
        }));
        next.map(|n| latest = n).err()
    });
    assert!(refused.unwrap().contains("more than 256 classes"));
}

#[tokio::test(start_paused = true)]
async fn an_open_request_keeps_its_attempt_limit_after_a_reload() {
    let (mut active_config, path) = active_config_of("attempts");
    let settings = active_config.settings().borrow().clone();
    let clock = Clock::start();
    let EngineParts {
        engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(settings.policy.clone(), 7, clock);
    tokio::spawn(engine.run());
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    handle
        .update_nodes(
            NodeListKind::Cached,
            vec![common::front::node_listing(address, NodeState::Ready)],
        )
        .await;
    let request = Request {
        plan: 2,
        volume: VolumeId(1),
        hosts: 1.0,
        units: 1.0,
        shard: Some(Shard(0)),
        client_deadline: clock.now() + 100_000_000,
        ..Request::default()
    };
    let mut old_request = handle.open(request).await;
    let sent = |order: Option<Order>| matches!(order, Some(Order::Send(_)));
    assert!(sent(old_request.next_order().await));

    let mut new = file();
    new["settings"]["policyLimits"]["mostTries"] = json!(1);
    std::fs::write(&path, new.to_string()).unwrap();
    let change = active_config.check(&path).unwrap();
    let metrics = Metrics::default();
    active_config.apply(change, &handle, &metrics).await;
    std::fs::remove_file(&path).unwrap();
    assert_eq!(active_config.settings().borrow().policy.max_attempts, 1);
    assert!(metrics
        .text(NodeCounts::default())
        .contains("lb_success{type=\"new-write\"} 0\n"));

    let mut new_request = handle.open(request).await;
    assert!(sent(new_request.next_order().await));
    new_request
        .reporter()
        .attempt_ended(0, Outcome::Error, None)
        .await;
    assert!(
        matches!(new_request.next_order().await, Some(Order::Reject(_))),
        "the new request has one attempt"
    );
    old_request
        .reporter()
        .attempt_ended(0, Outcome::Error, None)
        .await;
    assert!(
        sent(old_request.next_order().await),
        "the old request keeps its three attempts"
    );
}
