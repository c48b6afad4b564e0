//! Golden files of the parsed settings and of every error message, in `tests/golden`. `UPDATE_GOLDEN=1` rewrites them;
//! the settings files that they are parsed from are written by hand.

use lupinrack_golden_files::{check_folder, GoldenFile};
use lupinrack_node_settings::{
    Bounds, CommandDelivery, FaultTolerance, InvalidSetting, MachineLimits, NodeSettings,
    ServedInterface, SettingsError, DEFAULT_PATH, PATH_VARIABLE,
};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// The files that these tests read or generate.
const FILES: [&str; 6] = [
    "every_key.conf",
    "every_key.txt",
    "needed_keys.conf",
    "needed_keys.txt",
    "errors.txt",
    "where_settings_are_found.txt",
];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("golden")
}

/// Compares entries with a golden file, which has one `name: text` line per entry.
fn check(file: &str, built: &[(String, String)]) {
    assert!(FILES.contains(&file), "{file} is not listed");
    let mut golden = GoldenFile::open(folder().join(file));
    for (name, text) in built {
        golden.add(name, text);
    }
    golden.check();
}

fn entry(name: &str, value: impl ToString) -> (String, String) {
    (name.to_string(), value.to_string())
}

fn optional<T: ToString>(name: &str, value: Option<T>) -> (String, String) {
    entry(
        name,
        value.map_or("none".to_string(), |value| value.to_string()),
    )
}

fn listed<T: ToString>(name: &str, values: &[T]) -> (String, String) {
    let texts: Vec<String> = values.iter().map(T::to_string).collect();
    entry(name, texts.join(" | "))
}

fn word_of_serves(serves: &ServedInterface) -> &'static str {
    match serves {
        ServedInterface::Frontend => "clients",
        ServedInterface::Agent => "the server",
        ServedInterface::ControlPlane => "the operator",
    }
}

fn word_of_commands(commands: CommandDelivery) -> &'static str {
    match commands {
        CommandDelivery::Heartbeat => "in the answers to heartbeats",
        CommandDelivery::Rpc => "by calls",
    }
}

/// Every field of the settings.
fn entries(settings: NodeSettings) -> Vec<(String, String)> {
    let founder = settings.is_founder();
    let seed_internal: Vec<SocketAddrV4> =
        settings.seed_internal().iter().map(|peer| peer.0).collect();
    let NodeSettings {
        node,
        role,
        machine_class,
        serves,
        ip,
        zone,
        region,
        zones,
        front,
        readiness,
        control,
        internal_ports,
        internal_address,
        seeds,
        bootstrap,
        counts_for_quorum,
        limits,
        data_dir,
        heartbeat_ms,
        fault_tolerance,
        bounds,
        commands,
        app,
        service,
        contracts,
    } = settings;
    let zones: Vec<String> = zones
        .iter()
        .map(|(zone, region)| format!("{zone} in {region}"))
        .collect();
    let serves: Vec<&str> = serves.iter().map(word_of_serves).collect();
    let mut entries = vec![
        entry("node", node),
        entry("role", role),
        entry("class", machine_class),
        listed("serves", &serves),
        entry("ip", ip),
        entry("zone", zone),
        entry("region", region),
        listed("zones", &zones),
        optional("front", front),
        optional("readiness", readiness),
        optional("control", control),
        entry("first internal port", internal_ports.first),
        entry("last internal port", internal_ports.last),
        entry("internal address", internal_address),
        listed("seeds", &seeds),
        listed("internal addresses of seeds", &seed_internal),
        entry("bootstrap", bootstrap),
        entry("founder", founder),
        entry("counts for quorum", counts_for_quorum),
        optional(
            "data folder",
            data_dir.map(|folder| folder.display().to_string()),
        ),
        entry("heartbeat, ms", heartbeat_ms),
        entry("commands", word_of_commands(commands)),
        optional("app", app),
        optional("service", service),
        listed("contracts", &contracts),
    ];
    entries.extend(entries_of_limits(limits));
    entries.extend(entries_of_tolerance(fault_tolerance));
    entries.extend(entries_of_bounds(bounds));
    entries
}

fn entries_of_limits(limits: MachineLimits) -> Vec<(String, String)> {
    let MachineLimits {
        cpu_share,
        cores,
        memory_mb,
        max_fds,
        link_mbps,
        disk_mb,
    } = limits;
    vec![
        entry("share of a core", cpu_share),
        entry("cores", cores),
        entry("memory, MB", memory_mb),
        entry("file descriptors", max_fds),
        entry("link, Mbit/s", link_mbps),
        entry("disk, MB", disk_mb),
    ]
}

fn entries_of_tolerance(fault_tolerance: FaultTolerance) -> Vec<(String, String)> {
    let FaultTolerance {
        machines,
        zones,
        regions,
    } = fault_tolerance;
    vec![
        entry("machines that may be lost", machines),
        entry("zones that may be lost", zones),
        entry("regions that may be lost", regions),
    ]
}

fn entries_of_bounds(bounds: Bounds) -> Vec<(String, String)> {
    let Bounds {
        seed_lag_ms,
        reuse_after_ms,
        contact_ms,
        ack_ms,
        catch_up_ms,
        drain_ms,
        grace_ms,
        loss_slack_ms,
        config_apply_ms,
        rollback_slack_ms,
        max_skew_ms,
        recovery_ms,
        lease_max_ms,
        stop_ms,
        gang_ms,
        cancel_ms,
        visible_ms,
        early_ms,
        finish_ms,
        status_ms,
        save_ms,
        restore_ms,
        far_factor,
    } = bounds;
    vec![
        entry("seed-lag, ms", seed_lag_ms),
        entry("reuse-after, ms", reuse_after_ms),
        entry("contact, ms", contact_ms),
        entry("ack, ms", ack_ms),
        entry("catch-up, ms", catch_up_ms),
        entry("drain, ms", drain_ms),
        entry("grace, ms", grace_ms),
        entry("loss-slack, ms", loss_slack_ms),
        entry("config-apply, ms", config_apply_ms),
        entry("rollback-slack, ms", rollback_slack_ms),
        entry("max-skew, ms", max_skew_ms),
        entry("recovery, ms", recovery_ms),
        entry("hold-max, ms", lease_max_ms),
        entry("stop, ms", stop_ms),
        entry("gang, ms", gang_ms),
        entry("cancel, ms", cancel_ms),
        entry("visible, ms", visible_ms),
        entry("early, ms", early_ms),
        entry("finish, ms", finish_ms),
        entry("status, ms", status_ms),
        entry("save, ms", save_ms),
        entry("restore, ms", restore_ms),
        entry("far, times", far_factor),
    ]
}

fn kept(file: &str) -> String {
    assert!(FILES.contains(&file), "{file} is not listed");
    fs::read_to_string(folder().join(file)).expect("the settings file is there")
}

#[test]
fn every_key_is_read() {
    let settings = NodeSettings::load(&folder().join("every_key.conf")).expect("good settings");
    check("every_key.txt", &entries(settings));
}

#[test]
fn missing_keys_have_their_defaults() {
    let settings = NodeSettings::load(&folder().join("needed_keys.conf")).expect("good settings");
    check("needed_keys.txt", &entries(settings));
}

/// All values of the file are distinct, so that swapped keys are detected.
#[test]
fn every_key_has_a_value_of_its_own() {
    let alike = ["region", "zones.north"];
    let text = kept("every_key.conf");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let keys_and_values = lines.map(|line| line.split_once('=').expect("a key and a value"));
    let mut values = BTreeSet::new();
    for (key, value) in keys_and_values.filter(|(key, _)| !alike.contains(key)) {
        assert!(values.insert(value.to_string()), "{key}");
    }
}

fn name_of_error(error: &SettingsError) -> &'static str {
    match error {
        SettingsError::Unreadable { .. } => "unreadable",
        SettingsError::Syntax(_) => "syntax",
        SettingsError::Invalid(_) => "invalid",
    }
}

/// The name of an error kind in the golden files. The names predate those of the variants.
fn kind_of_invalid(invalid: &InvalidSetting) -> &'static str {
    match invalid {
        InvalidSetting::Missing { .. } => "lacking",
        InvalidSetting::NotANumber { .. } => "not_a_number",
        InvalidSetting::OutOfRange { .. } => "out_of_range",
        InvalidSetting::NotABoolean { .. } => "not_a_boolean",
        InvalidSetting::NotAnAddress { .. } => "not_an_address",
        InvalidSetting::UnknownValue { .. } => "unknown_word",
        InvalidSetting::Inconsistent { .. } => "contradictory",
    }
}

/// The file of all keys with extra lines appended. The last line of a repeated key wins.
fn error_with(lines: &str) -> SettingsError {
    NodeSettings::parse(&format!("{}{lines}\n", kept("every_key.conf"))).expect_err("a fault")
}

/// The kind of each invalid setting, the error message, and the message with the file's path. The lines of the latter
/// are joined by ` / `.
fn entry_of_error(what: &str, error: &SettingsError) -> (String, String) {
    let kinds: Vec<&str> = match error {
        SettingsError::Invalid(invalid_settings) => {
            invalid_settings.0.iter().map(kind_of_invalid).collect()
        }
        _ => vec![name_of_error(error)],
    };
    let told = error
        .message_for_file(Path::new("local.conf"))
        .replace('\n', " / ");
    entry(what, format!("{} | {error} | {told}", kinds.join(" ")))
}

const FAULTY_LINES: [(&str, &str); 21] = [
    ("empty node", "node="),
    ("word for a number", "heartbeat-ms=1s"),
    ("no number at all", "limits.cpu-share=NaN"),
    ("one port", "port-range=7000"),
    ("negative number", "limits.memory-mb=-1"),
    ("endless number", "bounds.ack-ms=inf"),
    ("inexact number", "bounds.hold-max-s=9007199254740992"),
    ("ports in descending order", "port-range=7001,7000"),
    ("word for a boolean", "bootstrap=yes"),
    ("other boolean", "counts-for-quorum=1"),
    ("address of another kind", "ip=::1"),
    ("address without a port", "bind-addresses.control=127.0.4.1"),
    ("name for a seed", "seeds=127.0.4.1:9100,north:1"),
    ("unknown caller", "serves=control_plane,all"),
    ("unknown way of commands", "commands=mail"),
    ("no front", "bind-addresses.front="),
    ("no readiness", "bind-addresses.readiness="),
    (
        "no control for a server",
        "serves=side\nbind-addresses.control=",
    ),
    (
        "no control and no disk",
        "serves=control_plane\nbind-addresses.control=\ndata-dir=",
    ),
    ("no app", "app="),
    ("interval of nothing", "heartbeat-ms=0"),
];

#[test]
fn errors_keep_their_texts() {
    let mut errors: Vec<(&str, SettingsError)> = FAULTY_LINES
        .iter()
        .map(|(what, lines)| (*what, error_with(lines)))
        .collect();
    errors.push(("several", error_with("seeds=\nzone=\nbounds.stop-s=soon")));
    errors.push((
        "nothing at all",
        NodeSettings::parse("").expect_err("faults"),
    ));
    errors.push((
        "no key",
        NodeSettings::parse("=value\n").expect_err("no lines"),
    ));
    errors.push((
        "open section",
        NodeSettings::parse("[open\n").expect_err("no lines"),
    ));
    errors.push((
        "no file",
        NodeSettings::load(Path::new("tests/no-such-file.conf")).expect_err("no file"),
    ));
    let entries: Vec<(String, String)> = errors
        .iter()
        .map(|(what, error)| entry_of_error(what, error))
        .collect();
    check("errors.txt", &entries);

    let invalid = errors.iter().filter_map(|(_, error)| match error {
        SettingsError::Invalid(invalid_settings) => Some(&invalid_settings.0),
        _ => None,
    });
    let invalid_settings: BTreeSet<&str> = invalid.flatten().map(kind_of_invalid).collect();
    let kinds: BTreeSet<&str> = errors
        .iter()
        .map(|(_, error)| name_of_error(error))
        .collect();
    assert_eq!(
        (invalid_settings.len(), kinds.len()),
        (7, 3),
        "every kind of error and of invalid setting occurs"
    );
}

#[test]
fn settings_path_is_unchanged() {
    let entries = [
        entry("variable", PATH_VARIABLE),
        entry("path without it", DEFAULT_PATH),
    ];
    check("where_settings_are_found.txt", &entries);
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(folder(), FILES);
}
