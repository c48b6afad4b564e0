//! All faults of a file are reported at once, each with its path and line.

use lupinrack_operator_config::{schema, Fault, OperatorConfig};

fn faults(text: &str) -> Vec<(usize, String)> {
    let faults: Vec<Fault> = OperatorConfig::parse(text).expect_err("it has faults");
    faults
        .into_iter()
        .map(|f| (f.line.unwrap_or(0), format!("{}: {}", f.path, f.reason)))
        .collect()
}

#[test]
fn the_file_in_the_repository_is_valid_and_enables_nothing() {
    let config = OperatorConfig::parse(include_str!("../../../deploy/lupinrack.toml")).unwrap();
    assert!(!config.rsync.unwrap().enabled && !config.ipfix.unwrap().enabled);
    assert!(
        OperatorConfig::parse("").unwrap().rsync.is_none(),
        "a missing section is off"
    );
}

#[test]
fn all_faults_are_reported_at_once_each_with_its_line() {
    let text = "[log]\nformat = 'xml'\nfilter = 'info,=[x'\ntypo = 1\n[ipfix]\nenabled = 'yes'\n\
                collector = 'localhost'\n[rsync]\nlisten = '127.0.0.1:1'\nmax_clients = 0\n[[rsync.module]]\n\
                name = 'a/b'\nplan = 'basic'\nvolume = 'zz'\nclass = 'bulk-read'\nshard = -1\n\
                bytes_per_unit = 0\n";
    let found = faults(text);
    let expected = [
        (2, "log.format: "),
        (3, "log.filter: "),
        (4, "log.typo: unknown key"),
        (6, "ipfix.enabled: "),
        (
            7,
            "ipfix.collector: \"localhost\" is not an address with a port",
        ),
        (10, "rsync.max_clients: 0 is less than the minimum of 1"),
        (
            11,
            "rsync.module[0]: \"deadline_ms\" is a required property",
        ),
        (14, "rsync.module[0].volume: "),
        (
            16,
            "rsync.module[0].shard: -1 is less than the minimum of 0",
        ),
        (
            17,
            "rsync.module[0].bytes_per_unit: 0 is less than the minimum of 1",
        ),
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for ((line, fault), (expected_line, start)) in found.iter().zip(expected) {
        assert!(
            *line == expected_line && fault.starts_with(start),
            "line {line}: {fault}, expected {start} at line {expected_line}"
        );
    }
}

#[test]
fn rules_that_the_schema_cannot_express_are_checked() {
    let module =
        "[[rsync.module]]\nname = 'trips'\nplan = 'basic'\nvolume = 'a1'\nclass = 'bulk-read'\n\
                  shard = 0\nbytes_per_unit = 1\ndeadline_ms = 1\n";
    let found = faults(&format!(
        "[rsync]\nlisten = '127.0.0.1:1'\n{module}{module}"
    ));
    assert_eq!(
        found,
        [(
            12,
            "rsync.module[1].name: another module has this name".to_string()
        )]
    );
}

#[test]
fn a_syntax_error_is_a_single_fault_with_its_line() {
    let found = faults("[log]\nformat = 'text'\n[a\n");
    assert!(found.len() == 1 && found[0].0 == 3, "{found:?}");
}

#[test]
fn the_schema_allows_no_unknown_keys() {
    fn collect_open_objects(value: &serde_json::Value, open: &mut Vec<String>) {
        if let Some(map) = value.as_object() {
            if map.contains_key("properties")
                && map.get("additionalProperties") != Some(&false.into())
            {
                open.push(value.to_string());
            }
            map.values().for_each(|v| collect_open_objects(v, open));
        }
    }
    let mut open = Vec::new();
    collect_open_objects(&schema(), &mut open);
    assert!(open.is_empty(), "{open:?}");
}

fn fleet_section(name: &str, more: &str, members: &[(&str, u16)]) -> String {
    let mut text = format!("[fleet]\nenabled = true\nname = \"{name}\"\n{more}\n");
    for (name, port) in members {
        text += &format!("[[fleet.member]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n");
    }
    text
}

#[test]
fn faults_and_remarks_of_a_fleet_are_reported() {
    let three = [("a", 1), ("b", 2), ("c", 3)];
    assert!(OperatorConfig::parse(&fleet_section("a", "", &three)).is_ok());
    for (text, expected) in [
        (
            fleet_section("d", "", &three),
            "fleet.name: 'd' is not among the members",
        ),
        (
            fleet_section("a", "", &[("a", 1), ("b", 1)]),
            "fleet.member[1].address: 127.0.0.1:1 stands twice",
        ),
        (
            fleet_section("a", "", &[("a", 1), ("a", 2)]),
            "fleet.member[1].name: 'a' stands twice",
        ),
        (
            fleet_section("a", "lease_ms = 300", &three),
            "fleet.lease_ms: shorter than two periods",
        ),
        (
            fleet_section("a", "keys = [\"12\"]", &three),
            "fleet.keys[0]: a key is 64 hexadecimal digits",
        ),
        (
            fleet_section("a", "patience_ms = 200", &three),
            "fleet.patience_ms: must be less",
        ),
        (
            fleet_section("a", "reserve = 1.5", &three),
            "fleet.reserve: ",
        ),
    ] {
        let found = faults(&text);
        assert!(
            found.iter().any(|(_, fault)| fault.starts_with(expected)),
            "{expected}: {found:?}"
        );
    }
    let section = |text: String| OperatorConfig::parse(&text).unwrap().fleet.unwrap();
    let remarks = section(fleet_of(4)).warnings();
    assert!(
        remarks
            .iter()
            .any(|(path, remark)| path == "member" && remark.contains("4 is even")),
        "{remarks:?}"
    );
    assert!(section(fleet_of(5))
        .warnings()
        .iter()
        .any(|(path, _)| path == "lease_ms"));
}

fn fleet_of(n: u16) -> String {
    let names: Vec<String> = (0..n).map(|i| format!("n{i}")).collect();
    let members: Vec<(&str, u16)> = names
        .iter()
        .zip(1..)
        .map(|(name, port)| (name.as_str(), port))
        .collect();
    fleet_section("n0", "", &members)
}

#[test]
fn contradictions_between_the_files_of_one_fleet_are_reported() {
    use lupinrack_fleet_membership::config::Section;
    let three = [("a", 1), ("b", 2), ("c", 3)];
    let section = |name: &str, more: &str| {
        OperatorConfig::parse(&fleet_section(name, more, &three))
            .unwrap()
            .fleet
            .unwrap()
    };
    let faults_across = |other: &Section| {
        let found = Section::across(&[&section("a", ""), other]);
        found
            .into_iter()
            .map(|(file, path, _)| (file, path))
            .collect::<Vec<_>>()
    };
    assert_eq!(faults_across(&section("b", "")), []);
    assert_eq!(faults_across(&section("a", "")), [(1, "name".to_string())]);
    assert_eq!(
        faults_across(&section("b", "lease_ms = 9000")),
        [(1, "lease_ms".to_string())]
    );
    let key = format!("keys = [\"{}\"]", "ab".repeat(32));
    assert_eq!(
        faults_across(&section("b", &key)),
        [(1, "keys".to_string())]
    );
    let fewer = OperatorConfig::parse(&fleet_section("b", "", &three[..2]))
        .unwrap()
        .fleet
        .unwrap();
    assert_eq!(faults_across(&fewer), [(1, "member".to_string())]);
}

#[test]
fn overload_needs_a_fleet_and_the_same_budget_in_all_files() {
    use lupinrack_overload::Section;
    let three = [("a", 1), ("b", 2), ("c", 3)];
    let enabled = |more: &str| format!("[overload]\nenabled = true\n{more}");
    let alone = OperatorConfig::parse(&enabled("")).unwrap_err();
    assert!(
        alone
            .iter()
            .any(|f| f.path == "overload.enabled" && f.reason.contains("[fleet]")),
        "{alone:?}"
    );
    let section = |more: &str| {
        let text = format!("{}\n{more}", fleet_section("a", "", &three));
        OperatorConfig::parse(&text)
            .unwrap()
            .overload
            .unwrap_or_default()
    };
    let faults_across = |other: &str| {
        let found = Section::across(&[&section(&enabled("")), &section(other)]);
        found
            .into_iter()
            .map(|(file, path, _)| (file, path))
            .collect::<Vec<_>>()
    };
    assert_eq!(faults_across(&enabled("")), []);
    assert_eq!(faults_across(""), [(1, "enabled".to_string())]);
    assert_eq!(
        faults_across(&enabled("trials_per_s = 9.0")),
        [(1, "trials_per_s".to_string())]
    );
}
