//! The command line: exit codes, errors for invalid input, and the demo.

use std::process::{Command, Output};

fn run_program(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
    command
        .args(args)
        .env_remove("LB_CONFIG")
        .env_remove("LUPINRACK_CONFIG")
        .output()
        .unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn invalid_input_exits_with_2_and_valid_input_with_0() {
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/lupinrack.toml");
    for (args, code) in [
        (&["--version"][..], 0),
        (&["--help"], 0),
        (&["schema"], 0),
        (&["check", deployed], 0),
        (&["check", "/nowhere.toml"], 2),
        (&["serve"], 2),
        (&[], 2),
        (&["frob"], 2),
        (&["serve", "--config", "/nowhere.json"], 2),
        (&["demo", "--seconds", "0"], 2),
    ] {
        let output = run_program(args);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{args:?}: {}",
            stderr(&output)
        );
    }
    let schema: serde_json::Value =
        serde_json::from_slice(&run_program(&["schema"]).stdout).unwrap();
    assert!(schema.pointer("/properties/rsync").is_some());
}

#[test]
fn an_invalid_file_stops_the_start_and_all_its_errors_are_reported() {
    let file = std::env::temp_dir().join(format!("lupinrack-faults-{}.toml", std::process::id()));
    std::fs::write(
        &file,
        "[ipfix]\ncollector = 'x'\n[rsync]\nlisten = 'y'\nmore = 1\n",
    )
    .unwrap();
    let name = file.display().to_string();
    for args in [&["check", &name][..], &["serve", "--operator", &name]] {
        let output = run_program(args);
        assert_eq!(output.status.code(), Some(2));
        for error in [
            ":2: ipfix.collector: ",
            ":4: rsync.listen: ",
            ":5: rsync.more: unknown key",
        ] {
            assert!(
                stderr(&output).contains(&format!("{name}{error}")),
                "{error} in {}",
                stderr(&output)
            );
        }
    }
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn the_demo_loses_and_duplicates_no_request() {
    let output = run_program(&["demo", "--seconds", "2", "--seed", "7", "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let count = |name: &str| report[name].as_u64().unwrap();
    assert_eq!((count("lost"), count("duplicates")), (0, 0), "{report}");
    assert_eq!(
        count("served") + count("refused") + count("failed"),
        count("requests"),
        "{report}"
    );
    // The greedy volume exceeds its limit at any speed of the machine.
    assert!(count("served") > 0 && count("refused") > 0, "{report}");
    assert!(report["p50_ms"].as_f64().unwrap() <= report["p99_ms"].as_f64().unwrap());
}

#[test]
fn a_json_log_has_the_span_of_each_request() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lupinrack"));
    let output = command
        .args([
            "--log-format",
            "json",
            "demo",
            "--seconds",
            "1",
            "--seed",
            "3",
        ])
        .env("LUPINRACK_LOG", "warn,lupinrack_http=debug")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let lines: Vec<serde_json::Value> = stderr(&output)
        .lines()
        .map(|l| serde_json::from_str(l).expect("each line is JSON"))
        .collect();
    let spans: Vec<_> = lines.iter().filter_map(|l| l.get("span")).collect();
    assert!(!spans.is_empty());
    for span in spans {
        let has_all_fields = ["id", "class", "volume"]
            .iter()
            .all(|n| span.get(*n).is_some_and(|v| v.is_string()));
        assert!(has_all_fields, "{span}");
    }
    assert!(
        lines.iter().any(|l| l.pointer("/span/attempt").is_some()),
        "attempts are numbered"
    );
}

#[test]
fn a_closed_buffer_is_listed_verified_and_exported_and_an_open_one_is_refused() {
    use lupinrack_write_back::{AcceptedWrite, Folder, Log, Moment, Record, WriteId};
    let log_folder = std::env::temp_dir().join(format!("lupinrack-buffer-{}", std::process::id()));
    let (name, export_folder) = (
        log_folder.display().to_string(),
        log_folder.join("out").display().to_string(),
    );
    let (mut log, _) = Log::open(Folder::open(&log_folder).unwrap(), 1 << 20).unwrap();
    for n in 1..=3 {
        let (plan, key, body) = ("basic".into(), format!("k-{n}").into_bytes(), vec![7; 5]);
        let accepted_write = AcceptedWrite {
            write: WriteId(n),
            volume: 9,
            plan,
            milliunits: 1,
            key,
            target: vec![],
            body,
            give_up: 0,
        };
        log.append(&Record::Accepted(accepted_write)).unwrap();
    }
    let mut sent_at = Moment::now().unwrap();
    sent_at.since_boot -= 60_000_000;
    let (write, node) = (WriteId(2), "s-1".to_string());
    log.append(&Record::Attempt {
        write,
        attempt: 0,
        node,
        shard: 0,
        at: sent_at,
    })
    .unwrap();
    log.append(&Record::Resolved(WriteId(3))).unwrap();
    log.sync().unwrap();
    let code = |args: &[&str]| run_program(args).status.code();
    assert_eq!(
        code(&["buffer", "ls", &name]),
        Some(2),
        "the log is open elsewhere"
    );
    drop(log);
    // A process that another test forks inherits the lock until it executes its program.
    let listing = (0..100).find_map(|_| {
        let output = run_program(&["buffer", "ls", &name, "--json"]);
        std::thread::sleep(std::time::Duration::from_millis(20));
        (output.status.code() == Some(0)).then(|| String::from_utf8(output.stdout).unwrap())
    });
    let listing = listing.expect("the lock is free once the log is closed");
    let states: Vec<_> = listing
        .lines()
        .map(|l| serde_json::from_str::<serde_json::Value>(l).unwrap()["state"].clone())
        .collect();
    assert_eq!(states, ["never sent", "past window"]);
    assert_eq!(
        (
            code(&["buffer", "verify", &name]),
            code(&["buffer", "in-doubt", &name])
        ),
        (Some(0), Some(1))
    );
    assert_eq!(
        code(&["buffer", "export", &name, "--to", &export_folder]),
        Some(0)
    );
    assert_eq!(std::fs::read_dir(&export_folder).unwrap().count(), 2);
    assert_eq!(code(&["buffer", "verify", "/nowhere"]), Some(2));
    std::fs::remove_dir_all(&log_folder).unwrap();
}

#[test]
fn renamed_commands_keep_their_earlier_names_as_hidden_aliases() {
    for (earlier, current) in [("ask", "admin"), ("lab", "simulate")] {
        let by_earlier = run_program(&[earlier, "--help"]);
        let by_current = run_program(&[current, "--help"]);
        assert_eq!(by_earlier.status.code(), Some(0), "{earlier}");
        assert_eq!(by_earlier.stdout, by_current.stdout, "{earlier}");
    }
    let help = String::from_utf8_lossy(&run_program(&["--help"]).stdout).into_owned();
    let commands: Vec<&str> = help
        .lines()
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(commands.contains(&"admin") && commands.contains(&"simulate"));
    assert!(!commands.contains(&"ask") && !commands.contains(&"lab"));
}
