//! Parsing of settings files, and the reports of invalid settings.

use lupinrack_node_settings::{
    Bounds, CommandDelivery, FaultTolerance, InvalidSetting, InvalidSettings, MachineLimits,
    NodeSettings, PortRange, ServedInterface, SettingsChanges, SettingsError, SettingsFile,
};
use quickcheck::quickcheck;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

const CORE: &str = "\
node=core-north-1
role=keeper
machine-class=core
serves=control_plane
ip=127.0.4.1
zone=north
region=coast
zones.north=coast
zones.far_south=inland
bind-addresses.control=127.0.4.1:9100
port-range=7000,7015
seeds=127.0.4.1:9100,127.0.5.1:9100,127.0.6.1:9100
bootstrap=true
counts-for-quorum=true
limits.cpu-share=0.5
limits.cores=2
limits.memory-mb=256
limits.max-fds=4096
limits.link-mbps=1000.0
limits.disk-mb=128
data-dir=/data/keeper
discovery=
entry=vip
heartbeat-ms=1200
contracts=base,sched
fault-tolerance.machines=1
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.catch-up-s=4
bounds.ack-ms=4500
bounds.hold-max-ms=6000
bounds.stop_ms=900
bounds.finish_s=14
bounds.save_s=2.5
bounds.far_x=1.75
commands=heartbeat
some-new-key=anything
";

const SIDE: &str = "\
node=side-north-1
role=agent
machine-class=side
serves=side
ip=127.0.4.2
zone=north
region=coast
bind-addresses.control=127.0.4.2:9100
port-range=7000,7015
seeds=127.0.4.1:9100
heartbeat-ms=1200
commands=rpc
app=127.0.4.2:9200
service=orders
";

const FRONT: &str = "\
node=front-north-1
role=gate
machine-class=frontend
serves=frontend
ip=127.0.4.3
zone=north
region=coast
bind-addresses.front=127.0.4.3:9300
bind-addresses.readiness=127.0.4.3:9301
port-range=7000,7015
seeds=127.0.4.1:9100
bootstrap=true
heartbeat-ms=1200
";

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("an address")
}

/// The text of the file with one line replaced. An empty replacement removes the line.
fn with_line(file: &str, key: &str, line: &str) -> String {
    let replaced = |old: &str| {
        if old.starts_with(&format!("{key}=")) {
            line.to_string()
        } else {
            old.to_string()
        }
    };
    file.lines().map(replaced).collect::<Vec<_>>().join("\n")
}

fn invalid_settings(text: &str) -> Vec<InvalidSetting> {
    match NodeSettings::parse(text) {
        Err(SettingsError::Invalid(InvalidSettings(invalid_settings))) => invalid_settings,
        other => panic!("invalid settings expected, not {other:?}"),
    }
}

fn invalid_keys(text: &str) -> Vec<String> {
    invalid_settings(text)
        .iter()
        .map(|invalid| invalid.key().to_string())
        .collect()
}

#[test]
fn all_settings_of_a_core_process_are_read() {
    let settings = NodeSettings::parse(CORE).expect("good settings");
    assert_eq!(settings.node, "core-north-1");
    assert_eq!(settings.role, "keeper");
    assert_eq!(settings.machine_class, "core");
    assert_eq!(settings.serves, [ServedInterface::ControlPlane]);
    assert_eq!(settings.ip, Ipv4Addr::new(127, 0, 4, 1));
    assert_eq!(
        (settings.zone.as_str(), settings.region.as_str()),
        ("north", "coast")
    );
    assert_eq!(
        settings.zones.get("far_south").map(String::as_str),
        Some("inland")
    );
    assert_eq!(settings.zones.len(), 2);
    assert_eq!(settings.control, Some(address("127.0.4.1:9100")));
    assert_eq!(
        (settings.front, settings.readiness, settings.app),
        (None, None, None)
    );
    assert_eq!(
        settings.internal_ports,
        PortRange {
            first: 7000,
            last: 7015
        }
    );
    assert_eq!(settings.internal_address, address("127.0.4.1:7000"));
    assert_eq!(settings.seeds[2], address("127.0.6.1:9100"));
    assert_eq!(settings.data_dir, Some(PathBuf::from("/data/keeper")));
    assert_eq!(settings.heartbeat_ms, 1200);
    assert_eq!(
        settings.fault_tolerance,
        FaultTolerance {
            machines: 1,
            zones: 0,
            regions: 0
        }
    );
    assert_eq!(settings.commands, CommandDelivery::Heartbeat);
    assert_eq!(settings.contracts, ["base", "sched"]);
    assert!(settings.bootstrap && settings.counts_for_quorum);
}

#[test]
fn limits_are_read() {
    let expected = MachineLimits {
        cpu_share: 0.5,
        cores: 2,
        memory_mb: 256,
        max_fds: 4096,
        link_mbps: 1000.0,
        disk_mb: 128,
    };
    assert_eq!(
        NodeSettings::parse(CORE).expect("good settings").limits,
        expected
    );
}

#[test]
fn bounds_are_milliseconds_in_either_spelling() {
    let expected = Bounds {
        catch_up_ms: 4000,
        ack_ms: 4500,
        lease_max_ms: 6000,
        stop_ms: 900,
        finish_ms: 14_000,
        save_ms: 2500,
        far_factor: 1.75,
        ..Bounds::default()
    };
    assert_eq!(
        NodeSettings::parse(CORE).expect("good settings").bounds,
        expected
    );
    let dashes = CORE
        .replace("stop_ms", "stop-ms")
        .replace("finish_s", "finish-s")
        .replace("far_x", "far-x");
    let underscores = dashes
        .replace("catch-up-s", "catch_up_s")
        .replace("hold-max-ms", "hold_max_ms");
    assert_eq!(
        NodeSettings::parse(&dashes).expect("good settings").bounds,
        expected
    );
    assert_eq!(
        NodeSettings::parse(&underscores)
            .expect("good settings")
            .bounds,
        expected
    );
}

#[test]
fn every_bound_has_its_key() {
    let names = [
        "seed-lag",
        "reuse-after",
        "contact",
        "ack",
        "catch-up",
        "drain",
        "grace",
        "loss-slack",
        "config-apply",
        "rollback-slack",
        "max-skew",
        "recovery",
        "hold-max",
        "stop",
        "gang",
        "cancel",
        "visible",
        "early",
        "finish",
        "status",
        "save",
        "restore",
    ];
    let lines: Vec<String> = names
        .iter()
        .zip(1..)
        .map(|(name, n)| format!("bounds.{name}-s={n}\n"))
        .collect();
    let bounds = NodeSettings::parse(&format!("{SIDE}{}", lines.concat()))
        .expect("good settings")
        .bounds;
    let read = [
        bounds.seed_lag_ms,
        bounds.reuse_after_ms,
        bounds.contact_ms,
        bounds.ack_ms,
        bounds.catch_up_ms,
        bounds.drain_ms,
        bounds.grace_ms,
        bounds.loss_slack_ms,
        bounds.config_apply_ms,
        bounds.rollback_slack_ms,
        bounds.max_skew_ms,
        bounds.recovery_ms,
        bounds.lease_max_ms,
        bounds.stop_ms,
        bounds.gang_ms,
        bounds.cancel_ms,
        bounds.visible_ms,
        bounds.early_ms,
        bounds.finish_ms,
        bounds.status_ms,
        bounds.save_ms,
        bounds.restore_ms,
    ];
    let expected: Vec<u64> = (1..=names.len() as u64)
        .map(|seconds| seconds * 1000)
        .collect();
    assert_eq!(read.as_slice(), expected);
}

#[test]
fn an_agent_knows_its_server() {
    let settings = NodeSettings::parse(SIDE).expect("good settings");
    assert!(settings.serves(ServedInterface::Agent) && !settings.serves(ServedInterface::Frontend));
    assert_eq!(settings.commands, CommandDelivery::Rpc);
    assert_eq!(settings.app, Some(address("127.0.4.2:9200")));
    assert_eq!(settings.service.as_deref(), Some("orders"));
    assert!(!settings.bootstrap && !settings.counts_for_quorum);
    assert_eq!(settings.limits, MachineLimits::default());
    assert_eq!(settings.bounds, Bounds::default());
}

#[test]
fn seeds_are_found_at_the_internal_port() {
    let settings = NodeSettings::parse(CORE).expect("good settings");
    let internal: Vec<SocketAddrV4> = settings.seed_internal().iter().map(|peer| peer.0).collect();
    let expected = ["127.0.4.1:7000", "127.0.5.1:7000", "127.0.6.1:7000"].map(address);
    assert_eq!(internal, expected);
}

#[test]
fn only_a_seed_on_the_first_start_is_a_founder() {
    let founder = |text: &str| {
        NodeSettings::parse(text)
            .expect("good settings")
            .is_founder()
    };
    assert!(founder(CORE));
    assert!(!founder(&with_line(CORE, "bootstrap", "bootstrap=false")));
    assert!(!founder(&with_line(CORE, "seeds", "seeds=127.0.5.1:9100")));
    assert!(!founder(FRONT));
}

#[test]
fn comments_blank_lines_and_odd_values_are_read_as_they_stand() {
    let text = format!("# the machine's own\n\n{SIDE}  role = a=b;c#d : e \r\n");
    assert_eq!(
        NodeSettings::parse(&text).expect("good settings").role,
        "a=b;c#d : e"
    );
}

#[test]
fn a_process_may_serve_several_interfaces() {
    let text = with_line(CORE, "serves", "serves=control_plane, side");
    let settings = NodeSettings::parse(&text).expect("good settings");
    assert_eq!(
        settings.serves,
        [ServedInterface::ControlPlane, ServedInterface::Agent]
    );
    let idle = with_line(SIDE, "serves", "serves=");
    assert_eq!(
        NodeSettings::parse(&idle).expect("good settings").serves,
        []
    );
}

#[test]
fn each_required_key_is_reported_when_it_is_missing() {
    for key in [
        "node",
        "role",
        "machine-class",
        "ip",
        "zone",
        "region",
        "port-range",
        "seeds",
        "heartbeat-ms",
    ] {
        let missing = vec![InvalidSetting::Missing {
            key: key.to_string(),
        }];
        assert_eq!(
            invalid_settings(&with_line(SIDE, key, "")),
            missing,
            "{key} taken out"
        );
        assert_eq!(
            invalid_settings(&with_line(SIDE, key, &format!("{key}="))),
            missing,
            "{key} empty"
        );
    }
}

#[test]
fn all_invalid_keys_are_reported_at_once() {
    let keys =
        invalid_keys("ip=here\nport-range=1\nheartbeat-ms=often\nbootstrap=maybe\nserves=nobody\n");
    let expected = [
        "ip",
        "port-range",
        "node",
        "role",
        "machine-class",
        "serves",
        "zone",
        "region",
        "bootstrap",
        "heartbeat-ms",
        "seeds",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn malformed_values_are_reported_with_their_kind() {
    let invalid =
        |key: &str, value: &str| invalid_settings(&with_line(CORE, key, &format!("{key}={value}")));
    let not_a_number = |key: &str, value: &str| {
        vec![InvalidSetting::NotANumber {
            key: key.to_string(),
            value: value.to_string(),
        }]
    };
    let out_of_range = |key: &str, value: &str| {
        vec![InvalidSetting::OutOfRange {
            key: key.to_string(),
            value: value.to_string(),
        }]
    };
    let not_an_address = |key: &str, value: &str| {
        vec![InvalidSetting::NotAnAddress {
            key: key.to_string(),
            value: value.to_string(),
        }]
    };
    let unknown_value = |key: &str, value: &str| {
        vec![InvalidSetting::UnknownValue {
            key: key.to_string(),
            value: value.to_string(),
        }]
    };
    assert_eq!(
        invalid("heartbeat-ms", "1s"),
        not_a_number("heartbeat-ms", "1s")
    );
    assert_eq!(
        invalid("limits.cpu-share", "NaN"),
        not_a_number("limits.cpu-share", "NaN")
    );
    assert_eq!(
        invalid("limits.memory-mb", "-1"),
        out_of_range("limits.memory-mb", "-1")
    );
    assert_eq!(
        invalid("bounds.ack-ms", "inf"),
        out_of_range("bounds.ack-ms", "inf")
    );
    assert_eq!(
        invalid("port-range", "7000"),
        not_a_number("port-range", "7000")
    );
    assert_eq!(
        invalid("port-range", "7000,x"),
        not_a_number("port-range", "7000,x")
    );
    assert_eq!(
        invalid("port-range", "7001,7000"),
        out_of_range("port-range", "7001,7000")
    );
    assert_eq!(
        invalid("port-range", "0,7000"),
        out_of_range("port-range", "0,7000")
    );
    assert_eq!(invalid("ip", "::1"), not_an_address("ip", "::1"));
    assert_eq!(
        invalid("bind-addresses.control", "127.0.4.1"),
        not_an_address("bind-addresses.control", "127.0.4.1")
    );
    assert_eq!(
        invalid("seeds", "127.0.4.1:9100,north:1"),
        not_an_address("seeds", "north:1")
    );
    assert_eq!(
        invalid("serves", "control_plane,all"),
        unknown_value("serves", "all")
    );
    assert_eq!(
        invalid("commands", "mail"),
        unknown_value("commands", "mail")
    );
    let not_a_boolean = InvalidSetting::NotABoolean {
        key: "bootstrap".into(),
        value: "yes".into(),
    };
    assert_eq!(invalid("bootstrap", "yes"), [not_a_boolean]);
}

#[test]
fn served_interfaces_need_their_addresses_and_disk() {
    assert_eq!(
        invalid_keys(&with_line(CORE, "bind-addresses.control", "")),
        ["bind-addresses.control"]
    );
    assert_eq!(
        invalid_keys(&with_line(SIDE, "bind-addresses.control", "")),
        ["bind-addresses.control"]
    );
    assert_eq!(invalid_keys(&with_line(CORE, "data-dir", "")), ["data-dir"]);
    assert_eq!(
        invalid_keys(&with_line(FRONT, "bind-addresses.front", "")),
        ["bind-addresses.front"]
    );
    assert_eq!(
        invalid_keys(&with_line(FRONT, "bind-addresses.readiness", "")),
        ["bind-addresses.readiness"]
    );
    assert_eq!(invalid_keys(&with_line(SIDE, "app", "")), ["app"]);
    assert_eq!(
        invalid_keys(&with_line(SIDE, "heartbeat-ms", "heartbeat-ms=0")),
        ["heartbeat-ms"]
    );
}

#[test]
fn an_error_names_each_key_and_what_is_wrong() {
    let text = with_line(
        &with_line(SIDE, "zone", ""),
        "heartbeat-ms",
        "heartbeat-ms=often",
    );
    let error = NodeSettings::parse(&text).expect_err("two invalid settings");
    assert_eq!(
        error.to_string(),
        "zone: lacking or empty; heartbeat-ms: \"often\" is not a number"
    );
}

#[test]
fn text_that_does_not_consist_of_lines_is_rejected() {
    assert!(matches!(
        NodeSettings::parse("=value\n"),
        Err(SettingsError::Syntax(_))
    ));
    assert!(matches!(
        NodeSettings::parse("[open\n"),
        Err(SettingsError::Syntax(_))
    ));
}

#[test]
fn an_unreadable_file_is_named() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("no-such-file.conf");
    let error = NodeSettings::load(&path).expect_err("no file");
    assert!(error.to_string().contains("no-such-file.conf"), "{error}");
}

/// A settings file of a test.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str) -> TestFile {
        let name = format!("settings-{name}-{}.conf", std::process::id());
        TestFile(std::env::temp_dir().join(name))
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the folder takes files");
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_reload_applies_seeds_and_reports_deferred_keys() {
    let on_disk = TestFile::new("reread");
    on_disk.write(CORE);
    let mut file = SettingsFile::load(&on_disk.0).expect("good settings");
    let seeds = file.settings().seeds.clone();
    assert_eq!(file.reread(), Ok(SettingsChanges::default()));
    let changed = CORE
        .replace("seeds=127.0.4.1:9100,", "seeds=")
        .replace("heartbeat-ms=1200", "heartbeat-ms=700")
        .replace("some-new-key=anything\n", "");
    on_disk.write(&changed);
    let changes = SettingsChanges {
        taken: vec!["seeds".to_owned()],
        deferred: vec!["heartbeat-ms".to_owned(), "some-new-key".to_owned()],
    };
    assert_eq!(file.reread(), Ok(changes));
    assert_eq!(file.settings().seeds, seeds[1..]);
    assert_eq!(file.settings().heartbeat_ms, 1_200);
    let again = file.reread().expect("good settings");
    assert_eq!(again.taken, Vec::<String>::new());
    assert_eq!(again.deferred, ["heartbeat-ms", "some-new-key"]);
}

#[test]
fn a_failed_reload_changes_nothing() {
    let on_disk = TestFile::new("unusable");
    on_disk.write(CORE);
    let mut file = SettingsFile::load(&on_disk.0).expect("good settings");
    let before = file.settings().clone();
    let unusable = [
        String::new(),
        "=x".to_owned(),
        CORE.replace("seeds=", "seeds=here,"),
        CORE.replace("seeds=", "#seeds="),
    ];
    for text in &unusable {
        on_disk.write(text);
        assert!(file.reread().is_err(), "{text}");
        assert_eq!(file.settings(), &before);
    }
    std::fs::remove_file(&on_disk.0).expect("it is there");
    assert!(matches!(
        file.reread(),
        Err(SettingsError::Unreadable { .. })
    ));
    assert_eq!(file.settings(), &before);
}

quickcheck! {
    fn no_text_makes_it_panic(text: String) -> bool {
        let _ = NodeSettings::parse(&text);
        true
    }

    fn no_value_makes_it_panic(line: usize, value: String) -> bool {
        let lines: Vec<&str> = CORE.lines().collect();
        let key = lines[line % lines.len()].split('=').next().unwrap_or_default();
        let _ = NodeSettings::parse(&with_line(CORE, key, &format!("{key}={value}")));
        true
    }

    fn unknown_keys_change_nothing(key: u32, value: u32) -> bool {
        let longer = format!("{CORE}other.{key}={value}\n");
        NodeSettings::parse(&longer) == NodeSettings::parse(CORE)
    }

    fn the_order_of_lines_does_not_matter(rotation: usize) -> bool {
        let mut lines: Vec<&str> = CORE.lines().collect();
        let middle = rotation % lines.len();
        lines.rotate_left(middle);
        NodeSettings::parse(&lines.join("\n")) == NodeSettings::parse(CORE)
    }

    fn seconds_and_milliseconds_agree(seconds: u16) -> bool {
        let given = |line: String| NodeSettings::parse(&format!("{SIDE}{line}\n")).expect("good settings").bounds;
        given(format!("bounds.gang_ms={}", u32::from(seconds) * 1000)) == given(format!("bounds.gang-s={seconds}"))
    }
}

#[test]
fn a_message_for_a_file_has_a_line_for_each_invalid_setting() {
    let path = Path::new("local.conf");
    let faulty = with_line(
        &with_line(SIDE, "zone", ""),
        "heartbeat-ms",
        "heartbeat-ms=often",
    );
    let message = |text: &str| {
        NodeSettings::parse(text)
            .expect_err("invalid settings")
            .message_for_file(path)
    };
    let expected =
        "local.conf: zone: lacking or empty\nlocal.conf: heartbeat-ms: \"often\" is not a number";
    assert_eq!(message(&faulty), expected);
    assert!(message("=value").starts_with("local.conf: the file does not consist of lines"));
    let unreadable = NodeSettings::load(&Path::new(env!("CARGO_MANIFEST_DIR")).join("none"))
        .expect_err("no file");
    assert_eq!(unreadable.message_for_file(path), unreadable.to_string());
}
