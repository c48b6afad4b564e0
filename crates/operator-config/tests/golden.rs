//! Golden files of the operators' file: the form that its schema allows, and what is read from a file that has every key, and from one
//! whose sections have only the keys that they need.

use lupinrack_extent_map::config::Strategy;
use lupinrack_golden_files::{check_text, path, GoldenFile};
use lupinrack_operator_config::{schema, Format, Operator};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Debug;

/// The schema with its references put in place, without its texts, and with each choice of words as one list: neither the name of a
/// type in the code nor the words of a comment, nor whether there is one, belong to the form of the file.
fn form() -> Value {
    let whole = schema();
    let mut form = resolved(&whole, &whole);
    form.as_object_mut().unwrap().remove("$defs");
    form
}

fn resolved(value: &Value, whole: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let mut all = Map::new();
            if let Some(target) = fields.get("$ref").and_then(Value::as_str) {
                let definition = whole
                    .pointer(target.trim_start_matches('#'))
                    .expect("a definition");
                all.extend(
                    resolved(definition, whole)
                        .as_object()
                        .expect("an object")
                        .clone(),
                );
            }
            let text = |name: &str, value: &Value| name == "description" && value.is_string();
            let kept = fields
                .iter()
                .filter(|(name, value)| *name != "$ref" && !text(name, value));
            all.extend(kept.map(|(name, value)| (name.clone(), resolved(value, whole))));
            if let Some(words) = all.get("oneOf").and_then(words) {
                all.remove("oneOf");
                all.insert("type".into(), "string".into());
                all.insert("enum".into(), words);
            }
            if let Some(Value::Array(words)) = all.get_mut("enum") {
                words.sort_by_key(Value::to_string);
            }
            Value::Object(all)
        }
        Value::Array(items) => items.iter().map(|item| resolved(item, whole)).collect(),
        other => other.clone(),
    }
}

/// A choice among words as one list; none where something else is chosen among.
fn words(choice: &Value) -> Option<Value> {
    let mut words = BTreeSet::new();
    for one in choice.as_array()? {
        match (one.get("const"), one.get("enum").and_then(Value::as_array)) {
            (Some(word), _) => words.extend([word.as_str()?]),
            (None, Some(several)) => words.extend(several.iter().filter_map(Value::as_str)),
            (None, None) => return None,
        }
    }
    Some(words.into_iter().collect())
}

#[test]
fn the_schema_keeps_its_form() {
    check_text(
        path!("schema-form.json"),
        &(serde_json::to_string_pretty(&form()).unwrap() + "\n"),
    );
}

/// The keys that a schema names, as `rsync.module[].name`.
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

/// The keys that a file has, in the same words.
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

const WHOLE: &str = include_str!("golden/operators-file.toml");

#[test]
fn the_file_has_every_key_of_the_schema() {
    let (mut named, mut there) = (BTreeSet::new(), BTreeSet::new());
    schema_keys(&form(), "", &mut named);
    file_keys(&toml::from_str(WHOLE).unwrap(), "", &mut there);
    assert_eq!(named, there);
}

/// What was read, by the keys of the file.
fn read(file: &str, operator: &Operator) -> GoldenFile {
    let mut read = GoldenFile::open(file);
    log(&mut read, operator);
    rsync(&mut read, operator);
    ipfix(&mut read, operator);
    extents(&mut read, operator);
    fleet(&mut read, operator);
    overload(&mut read, operator);
    read
}

fn add(read: &mut GoldenFile, key: impl Into<String>, value: impl Debug) {
    read.add(key, format!("{value:?}"));
}

fn log(read: &mut GoldenFile, operator: &Operator) {
    let format = match operator.log.format {
        Format::Text => "text",
        Format::Json => "json",
    };
    add(read, "log.format", format);
    add(read, "log.filter", &operator.log.filter);
}

fn rsync(read: &mut GoldenFile, operator: &Operator) {
    let Some(section) = &operator.rsync else {
        return add(read, "rsync", None::<()>);
    };
    add(read, "rsync.enabled", section.enabled);
    add(read, "rsync.listen", section.listen);
    add(read, "rsync.max_clients", section.max_clients);
    for (i, module) in section.module.iter().enumerate() {
        let key = |name: &str| format!("rsync.module[{i}].{name}");
        add(read, key("name"), &module.name);
        add(read, key("comment"), &module.comment);
        add(read, key("remote"), &module.remote);
        add(read, key("plan"), &module.plan);
        add(read, key("volume"), &module.volume);
        add(read, key("class"), &module.class);
        add(read, key("shard"), module.shard);
        add(read, key("hosts"), module.hosts);
        add(read, key("bytes_per_unit"), module.bytes_per_unit);
        add(read, key("deadline_ms"), module.deadline_ms);
    }
    for (i, server) in section.server.iter().enumerate() {
        add(read, format!("rsync.server[{i}].node"), &server.node);
        add(read, format!("rsync.server[{i}].address"), server.address);
    }
}

fn ipfix(read: &mut GoldenFile, operator: &Operator) {
    let Some(section) = &operator.ipfix else {
        return add(read, "ipfix", None::<()>);
    };
    add(read, "ipfix.enabled", section.enabled);
    add(read, "ipfix.collector", section.collector);
    add(read, "ipfix.observation_domain", section.observation_domain);
    add(read, "ipfix.template_every_ms", section.template_every_ms);
}

fn extents(read: &mut GoldenFile, operator: &Operator) {
    let Some(section) = &operator.extents else {
        return add(read, "extents", None::<()>);
    };
    let strategy = match section.strategy {
        Strategy::Versioned => "versioned",
        Strategy::None => "none",
        Strategy::Ttl => "ttl",
    };
    add(read, "extents.enabled", section.enabled);
    add(read, "extents.authority", section.authority);
    add(read, "extents.strategy", strategy);
    add(read, "extents.ttl_ms", section.ttl_ms);
    add(read, "extents.hold_ms", section.hold_ms);
    add(read, "extents.polls_per_s", section.polls_per_s);
    add(read, "extents.poll_burst", section.poll_burst);
    add(read, "extents.loads_per_s", section.loads_per_s);
    add(read, "extents.load_burst", section.load_burst);
    add(read, "extents.refreshes_per_s", section.refreshes_per_s);
    add(read, "extents.refresh_burst", section.refresh_burst);
    add(
        read,
        "extents.volume_refreshes_per_s",
        section.volume_refreshes_per_s,
    );
    add(read, "extents.most_extents", section.most_extents);
    add(read, "extents.most_volumes", section.most_volumes);
    add(read, "extents.snapshot", &section.snapshot);
    add(read, "extents.snapshot_every_ms", section.snapshot_every_ms);
    add(read, "extents.peer_listen", section.peer_listen);
    add(read, "extents.peers", &section.peers);
    add(read, "extents.messages_per_s", section.messages_per_s);
}

fn fleet(read: &mut GoldenFile, operator: &Operator) {
    let Some(section) = &operator.fleet else {
        return add(read, "fleet", None::<()>);
    };
    add(read, "fleet.enabled", section.enabled);
    add(read, "fleet.name", &section.name);
    add(read, "fleet.listen", section.listen);
    for (i, member) in section.member.iter().enumerate() {
        add(read, format!("fleet.member[{i}].name"), &member.name);
        add(read, format!("fleet.member[{i}].address"), member.address);
    }
    add(read, "fleet.keys", &section.keys);
    add(read, "fleet.period_ms", section.period_ms);
    add(read, "fleet.patience_ms", section.patience_ms);
    add(read, "fleet.suspicion_ms", section.suspicion_ms);
    add(read, "fleet.lease_ms", section.lease_ms);
    add(read, "fleet.drift_ppm", section.drift_ppm);
    add(read, "fleet.reserve", section.reserve);
    add(read, "fleet.datagrams_per_s", section.datagrams_per_s);
    add(read, "fleet.most_volumes", section.most_volumes);
}

fn overload(read: &mut GoldenFile, operator: &Operator) {
    let Some(section) = &operator.overload else {
        return add(read, "overload", None::<()>);
    };
    add(read, "overload.enabled", section.enabled);
    add(read, "overload.trials_per_s", section.trials_per_s);
}

#[test]
fn every_key_is_read_as_before() {
    read(
        path!("operators-file-read.txt"),
        &Operator::parse(WHOLE).unwrap(),
    )
    .check();
}

#[test]
fn keys_that_are_missing_are_read_as_before() {
    let sections = "[log]\n[rsync]\nlisten = '127.0.0.1:1'\n[ipfix]\ncollector = '127.0.0.1:2'\n[extents]\n[fleet]\n[overload]\n";
    read(
        path!("defaults-read.txt"),
        &Operator::parse(sections).unwrap(),
    )
    .check();
    read(path!("empty-file-read.txt"), &Operator::parse("").unwrap()).check();
}

#[test]
fn other_words_are_read_as_before() {
    let strategy = |word: &str| {
        let operator = Operator::parse(&format!("[extents]\nstrategy = '{word}'\n")).unwrap();
        operator.extents.unwrap().strategy
    };
    assert_eq!(strategy("versioned"), Strategy::Versioned);
    assert_eq!(strategy("none"), Strategy::None);
    assert_eq!(strategy("ttl"), Strategy::Ttl);
    let format = |word: &str| {
        Operator::parse(&format!("[log]\nformat = '{word}'\n"))
            .unwrap()
            .log
            .format
    };
    assert_eq!(
        (format("text"), format("json")),
        (Format::Text, Format::Json)
    );
}
