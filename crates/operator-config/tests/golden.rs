//! Golden files of the operators' configuration file: the structure of its schema, and the parsed values of a file with every
//! key and of one with only the required keys.

use lupinrack_extent_map::config::Strategy;
use lupinrack_golden_files::{check_text, path, GoldenFile};
use lupinrack_operator_config::{schema, Format, OperatorConfig};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Debug;

/// The structure of the schema: references are resolved, descriptions removed, and each choice of strings is one list. The names
/// of types in the code and the texts of comments do not belong to the format of the file.
fn schema_structure() -> Value {
    let root = schema();
    let mut structure = resolved(&root, &root);
    structure.as_object_mut().unwrap().remove("$defs");
    structure
}

fn resolved(value: &Value, root: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let mut merged = Map::new();
            if let Some(target) = fields.get("$ref").and_then(Value::as_str) {
                let definition = root
                    .pointer(target.trim_start_matches('#'))
                    .expect("a definition");
                merged.extend(
                    resolved(definition, root)
                        .as_object()
                        .expect("an object")
                        .clone(),
                );
            }
            let is_description =
                |name: &str, value: &Value| name == "description" && value.is_string();
            let kept = fields
                .iter()
                .filter(|(name, value)| *name != "$ref" && !is_description(name, value));
            merged.extend(kept.map(|(name, value)| (name.clone(), resolved(value, root))));
            if let Some(choices) = merged.get("oneOf").and_then(choices) {
                merged.remove("oneOf");
                merged.insert("type".into(), "string".into());
                merged.insert("enum".into(), choices);
            }
            if let Some(Value::Array(choices)) = merged.get_mut("enum") {
                choices.sort_by_key(Value::to_string);
            }
            Value::Object(merged)
        }
        Value::Array(items) => items.iter().map(|item| resolved(item, root)).collect(),
        other => other.clone(),
    }
}

/// The strings of a `oneOf`, or `None` if it has other alternatives.
fn choices(one_of: &Value) -> Option<Value> {
    let mut choices = BTreeSet::new();
    for alternative in one_of.as_array()? {
        match (
            alternative.get("const"),
            alternative.get("enum").and_then(Value::as_array),
        ) {
            (Some(choice), _) => choices.extend([choice.as_str()?]),
            (None, Some(several)) => choices.extend(several.iter().filter_map(Value::as_str)),
            (None, None) => return None,
        }
    }
    Some(choices.into_iter().collect())
}

#[test]
fn the_schema_keeps_its_structure() {
    check_text(
        path!("schema-form.json"),
        &(serde_json::to_string_pretty(&schema_structure()).unwrap() + "\n"),
    );
}

/// Collects the keys of a schema, such as `rsync.module[].name`.
fn schema_keys(schema: &Value, path: &str, keys: &mut BTreeSet<String>) {
    for (name, inner) in schema
        .get("properties")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
    {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        keys.insert(path.clone());
        schema_keys(inner, &path, keys);
        if let Some(item) = inner.get("items") {
            schema_keys(item, &format!("{path}[]"), keys);
        }
    }
}

/// Collects the keys of a file, in the same form.
fn file_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                keys.insert(path.clone());
                file_keys(inner, &path, keys);
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| file_keys(item, &format!("{path}[]"), keys)),
        _ => {}
    }
}

const COMPLETE_FILE: &str = include_str!("golden/operators-file.toml");

#[test]
fn the_file_has_every_key_of_the_schema() {
    let (mut in_schema, mut in_file) = (BTreeSet::new(), BTreeSet::new());
    schema_keys(&schema_structure(), "", &mut in_schema);
    file_keys(&toml::from_str(COMPLETE_FILE).unwrap(), "", &mut in_file);
    assert_eq!(in_schema, in_file);
}

/// The parsed values, by the keys of the file.
fn parsed(file: &str, config: &OperatorConfig) -> GoldenFile {
    let mut golden = GoldenFile::open(file);
    add_log(&mut golden, config);
    add_rsync(&mut golden, config);
    add_ipfix(&mut golden, config);
    add_extents(&mut golden, config);
    add_fleet(&mut golden, config);
    add_overload(&mut golden, config);
    golden
}

fn add(golden: &mut GoldenFile, key: impl Into<String>, value: impl Debug) {
    golden.add(key, format!("{value:?}"));
}

fn add_log(golden: &mut GoldenFile, config: &OperatorConfig) {
    let format = match config.log.format {
        Format::Text => "text",
        Format::Json => "json",
    };
    add(golden, "log.format", format);
    add(golden, "log.filter", &config.log.filter);
}

fn add_rsync(golden: &mut GoldenFile, config: &OperatorConfig) {
    let Some(section) = &config.rsync else {
        return add(golden, "rsync", None::<()>);
    };
    add(golden, "rsync.enabled", section.enabled);
    add(golden, "rsync.listen", section.listen);
    add(golden, "rsync.max_clients", section.max_clients);
    for (i, module) in section.module.iter().enumerate() {
        let key = |name: &str| format!("rsync.module[{i}].{name}");
        add(golden, key("name"), &module.name);
        add(golden, key("comment"), &module.comment);
        add(golden, key("remote"), &module.remote);
        add(golden, key("plan"), &module.plan);
        add(golden, key("volume"), &module.volume);
        add(golden, key("class"), &module.class);
        add(golden, key("shard"), module.shard);
        add(golden, key("hosts"), module.hosts);
        add(golden, key("bytes_per_unit"), module.bytes_per_unit);
        add(golden, key("deadline_ms"), module.deadline_ms);
    }
    for (i, server) in section.server.iter().enumerate() {
        add(golden, format!("rsync.server[{i}].node"), &server.node);
        add(golden, format!("rsync.server[{i}].address"), server.address);
    }
}

fn add_ipfix(golden: &mut GoldenFile, config: &OperatorConfig) {
    let Some(section) = &config.ipfix else {
        return add(golden, "ipfix", None::<()>);
    };
    add(golden, "ipfix.enabled", section.enabled);
    add(golden, "ipfix.collector", section.collector);
    add(
        golden,
        "ipfix.observation_domain",
        section.observation_domain,
    );
    add(golden, "ipfix.template_every_ms", section.template_every_ms);
}

fn add_extents(golden: &mut GoldenFile, config: &OperatorConfig) {
    let Some(section) = &config.extents else {
        return add(golden, "extents", None::<()>);
    };
    let strategy = match section.strategy {
        Strategy::Versioned => "versioned",
        Strategy::None => "none",
        Strategy::Ttl => "ttl",
    };
    add(golden, "extents.enabled", section.enabled);
    add(golden, "extents.authority", section.authority);
    add(golden, "extents.strategy", strategy);
    add(golden, "extents.ttl_ms", section.ttl_ms);
    add(golden, "extents.hold_ms", section.hold_ms);
    add(golden, "extents.polls_per_s", section.polls_per_s);
    add(golden, "extents.poll_burst", section.poll_burst);
    add(golden, "extents.loads_per_s", section.loads_per_s);
    add(golden, "extents.load_burst", section.load_burst);
    add(golden, "extents.refreshes_per_s", section.refreshes_per_s);
    add(golden, "extents.refresh_burst", section.refresh_burst);
    add(
        golden,
        "extents.volume_refreshes_per_s",
        section.volume_refreshes_per_s,
    );
    add(golden, "extents.most_extents", section.most_extents);
    add(golden, "extents.most_volumes", section.most_volumes);
    add(golden, "extents.snapshot", &section.snapshot);
    add(
        golden,
        "extents.snapshot_every_ms",
        section.snapshot_every_ms,
    );
    add(golden, "extents.peer_listen", section.peer_listen);
    add(golden, "extents.peers", &section.peers);
    add(golden, "extents.messages_per_s", section.messages_per_s);
}

fn add_fleet(golden: &mut GoldenFile, config: &OperatorConfig) {
    let Some(section) = &config.fleet else {
        return add(golden, "fleet", None::<()>);
    };
    add(golden, "fleet.enabled", section.enabled);
    add(golden, "fleet.name", &section.name);
    add(golden, "fleet.listen", section.listen);
    for (i, member) in section.member.iter().enumerate() {
        add(golden, format!("fleet.member[{i}].name"), &member.name);
        add(golden, format!("fleet.member[{i}].address"), member.address);
    }
    add(golden, "fleet.keys", &section.keys);
    add(golden, "fleet.period_ms", section.period_ms);
    add(golden, "fleet.patience_ms", section.patience_ms);
    add(golden, "fleet.suspicion_ms", section.suspicion_ms);
    add(golden, "fleet.lease_ms", section.lease_ms);
    add(golden, "fleet.drift_ppm", section.drift_ppm);
    add(golden, "fleet.reserve", section.reserve);
    add(golden, "fleet.datagrams_per_s", section.datagrams_per_s);
    add(golden, "fleet.most_volumes", section.most_volumes);
}

fn add_overload(golden: &mut GoldenFile, config: &OperatorConfig) {
    let Some(section) = &config.overload else {
        return add(golden, "overload", None::<()>);
    };
    add(golden, "overload.enabled", section.enabled);
    add(golden, "overload.trials_per_s", section.trials_per_s);
}

#[test]
fn every_key_is_parsed() {
    parsed(
        path!("operators-file-read.txt"),
        &OperatorConfig::parse(COMPLETE_FILE).unwrap(),
    )
    .check();
}

#[test]
fn missing_keys_get_their_defaults() {
    let sections = "[log]\n[rsync]\nlisten = '127.0.0.1:1'\n[ipfix]\ncollector = '127.0.0.1:2'\n[extents]\n[fleet]\n[overload]\n";
    parsed(
        path!("defaults-read.txt"),
        &OperatorConfig::parse(sections).unwrap(),
    )
    .check();
    parsed(
        path!("empty-file-read.txt"),
        &OperatorConfig::parse("").unwrap(),
    )
    .check();
}

#[test]
fn every_choice_is_parsed() {
    let strategy = |choice: &str| {
        let config = OperatorConfig::parse(&format!("[extents]\nstrategy = '{choice}'\n")).unwrap();
        config.extents.unwrap().strategy
    };
    assert_eq!(strategy("versioned"), Strategy::Versioned);
    assert_eq!(strategy("none"), Strategy::None);
    assert_eq!(strategy("ttl"), Strategy::Ttl);
    let format = |choice: &str| {
        OperatorConfig::parse(&format!("[log]\nformat = '{choice}'\n"))
            .unwrap()
            .log
            .format
    };
    assert_eq!(
        (format("text"), format("json")),
        (Format::Text, Format::Json)
    );
}
