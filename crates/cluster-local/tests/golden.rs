//! Compares what a local cluster writes, sends and prints byte for byte with the files in `tests/golden`.
//!
//! `UPDATE_GOLDEN=1` rewrites the files.

use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_json::job_body;
use lupinrack_cluster_local::{
    run, settings_text, ClusterShape, JobKind, JobOutcome, KillTarget, KilledProcess, LocalError,
    LocalReport, LocalSettings, Member, Ports, Progress, Role, StartKind, Step, UnexpectedJob,
};
use lupinrack_golden_files::{check_folder, check_text, is_update};
use lupinrack_node_settings::NodeSettings;
use mock_servers::worker::cluster_events::{ClusterEvents, Event, RunName};
use mock_servers::worker::messages::End;
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const PORTS: Ports = Ports {
    internal: 7_000,
    control: 7_001,
    front: 7_002,
    readiness: 7_003,
};
/// The golden files other than settings files.
const FILES: [&str; 8] = [
    "configuration-call.txt",
    "errors.txt",
    "job-bodies.txt",
    "process-start.txt",
    "report-bad.json",
    "report-good.json",
    "reports.txt",
    "words.txt",
];
/// Time for which the mock core process waits for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn settings_file(member: Member, start: StartKind) -> String {
    let start = match start {
        StartKind::Bootstrap => "first",
        StartKind::Restart => "again",
    };
    format!("{member}.{start}.conf")
}

fn starts() -> impl Iterator<Item = (Member, StartKind)> {
    Member::all(&ClusterShape::default())
        .flat_map(|member| [StartKind::Bootstrap, StartKind::Restart].map(|start| (member, start)))
}

/// Compares a text with its golden file, or writes the file.
fn assert_golden(name: &str, text: &str) {
    check_text(golden_folder().join(name), text);
}

fn lines(named: impl IntoIterator<Item = (String, String)>) -> String {
    named
        .into_iter()
        .map(|(name, text)| format!("{name}: {text}\n"))
        .collect()
}

#[test]
fn every_golden_file_is_built_by_a_test() {
    // During an update, other tests may not have written their files yet.
    if is_update() {
        return;
    }
    let settings = starts().map(|(member, start)| settings_file(member, start));
    let built = FILES.map(str::to_owned).into_iter().chain(settings);
    check_folder(golden_folder(), built);
}

#[test]
fn settings_files_stay_the_same() {
    for (member, start) in starts() {
        let text = settings_text(
            &ClusterShape::default(),
            member,
            PORTS,
            Path::new("/folder"),
            start,
        );
        let name = settings_file(member, start);
        assert_golden(&name, &text);
        let kept = fs::read_to_string(golden_folder().join(&name)).expect("a golden file");
        let settings = NodeSettings::parse(&kept).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(settings.node, member.to_string());
        assert_eq!(
            settings.internal_address,
            SocketAddrV4::new(member.ip(), PORTS.internal)
        );
        let founds = start == StartKind::Bootstrap && member.role == Role::Core;
        assert_eq!(settings.is_founder(), founds);
    }
}

#[test]
fn job_bodies_stay_the_same() {
    let body = |kind: JobKind| (kind.as_str().to_owned(), job_body(&kind.spec()));
    assert_golden("job-bodies.txt", &lines(JobKind::ALL.map(body)));
}

#[test]
fn names_and_addresses_stay_the_same() {
    let kind = |kind: JobKind| {
        (
            format!("kind {}", kind.as_str()),
            format!("ends {}", kind.expected_state().as_str()),
        )
    };
    let target = |target: KillTarget| {
        let name = match target {
            KillTarget::Head => "head",
            KillTarget::Front => "front",
            KillTarget::Agent => "agent",
        };
        (format!("part {name}"), target.as_str().to_owned())
    };
    let member = |member: Member| {
        let addresses = [
            PORTS.control_address(member),
            PORTS.front_address(member),
            PORTS.readiness_address(member),
        ];
        let addresses = addresses.map(|address| address.to_string());
        (format!("member {member}"), addresses.join(" "))
    };
    let members = Member::all(&ClusterShape::default()).map(member);
    let all = JobKind::ALL
        .map(kind)
        .into_iter()
        .chain(KillTarget::ALL.map(target))
        .chain(members);
    assert_golden("words.txt", &lines(all));
}

#[test]
fn errors_stay_the_same() {
    let no_space = || std::io::Error::other("no space");
    let timed_out = |step| LocalError::TimedOut {
        step,
        logs: "/folder".into(),
    };
    let write = LocalError::Write {
        path: "/folder".into(),
        source: no_space(),
    };
    let start = LocalError::Start {
        member: "core-1".to_owned(),
        source: no_space(),
    };
    let exited = LocalError::Exited {
        member: "front-2".to_owned(),
        log: "/folder/front-2.log".into(),
    };
    let errors = [
        ("no-ports", LocalError::NoFreePorts),
        ("folder", write),
        ("start", start),
        ("ended", exited),
        ("timed-out", timed_out(Step::Readiness)),
        ("timed-out configuration", timed_out(Step::Configuration)),
        ("timed-out status", timed_out(Step::Status)),
        ("timed-out head", timed_out(Step::FindHead)),
        ("refused", LocalError::ConfigurationRejected { status: 412 }),
    ];
    assert_golden(
        "errors.txt",
        &lines(errors.map(|(name, error)| (name.to_owned(), error.to_string()))),
    );
}

/// A report with a job of each kind, and an unexpected job for each state and for none. All fields have distinct values.
fn bad_report() -> LocalReport {
    let states = [
        None,
        Some(JobState::Queued),
        Some(JobState::Running),
        Some(JobState::Succeeded),
        Some(JobState::Failed),
        Some(JobState::Cancelled),
    ];
    let unexpected = |(number, state): (usize, Option<JobState>)| {
        let kind = JobKind::ALL[number % JobKind::ALL.len()];
        UnexpectedJob {
            job: JobId(0x0123_4567_89ab_cd00 + number as u64).to_string(),
            kind: kind.as_str(),
            accepted: state.is_some(),
            expected: kind.expected_state().as_str(),
            state: state.map(JobState::as_str),
        }
    };
    let killed = |(number, target): (u64, KillTarget)| KilledProcess {
        target: target.as_str(),
        member: format!("member-{number}"),
        at_ms: 1_000 + number,
    };
    let ends = [
        End::Done,
        End::Failed,
        End::Stopped,
        End::Lapsed,
        End::Broken,
        End::Alone,
        End::Refused,
    ];
    LocalReport {
        good: false,
        jobs: 31,
        as_expected: JobKind::ALL
            .iter()
            .zip(41..)
            .map(|(kind, count)| (kind.as_str(), count))
            .collect(),
        unexpected: states.into_iter().enumerate().map(unexpected).collect(),
        resubmissions: 51,
        run_ends: ends.into_iter().zip(61..).collect(),
        duplicate_starts: 71,
        early_starts: 72,
        left_running: 73,
        killed: (0..).zip(KillTarget::ALL).map(killed).collect(),
        duration_ms: 81,
    }
}

fn good_report() -> LocalReport {
    let outcome = |kind: JobKind| JobOutcome {
        job: JobId(kind as u64 + 1),
        kind,
        submissions: 3,
        accepted: true,
        state: Some(kind.expected_state()),
    };
    let cluster_events = ClusterEvents::default();
    let run = RunName {
        task: format!("{}.0.0.0", JobId(1)),
        run: 1,
    };
    cluster_events.record(Event::Started {
        run: run.clone(),
        worker: "worker".to_owned(),
    });
    cluster_events.record(Event::Ended {
        run,
        end: End::Done,
    });
    LocalReport::new(
        &JobKind::ALL.map(outcome),
        &cluster_events,
        Vec::new(),
        1_234,
    )
}

#[test]
fn reports_as_json_stay_the_same() {
    for (name, report) in [
        ("report-good.json", good_report()),
        ("report-bad.json", bad_report()),
    ] {
        let text = serde_json::to_string(&report).expect("a report as JSON");
        assert_golden(name, &format!("{text}\n"));
        let kept = fs::read_to_string(golden_folder().join(name)).expect("a golden file");
        let kept: Value = serde_json::from_str(&kept).expect("JSON");
        assert_eq!(
            kept,
            serde_json::to_value(&report).expect("a report as JSON")
        );
    }
}

#[test]
fn text_reports_stay_the_same() {
    assert_golden(
        "reports.txt",
        &format!("{}\n{}", good_report(), bad_report()),
    );
}

/// Writes a program that records its arguments and log levels beside its settings file, and then sleeps.
fn write_mock_program(folder: &Path) -> PathBuf {
    let program = folder.join("mock-program");
    let text = "#!/bin/sh\nprintf '%s\\n' \"arguments: $*\" \"levels: $LUPINRACK_LOG\" > \"$3.start\"\nexec sleep 60\n";
    fs::write(&program, text).expect("a program");
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).expect("it can be run");
    program
}

/// Waits until a file can be read and `find` returns a value for its text.
fn wait_for<T>(path: &Path, find: impl Fn(&str) -> Option<T>) -> T {
    let deadline = Instant::now() + CALL_TIMEOUT;
    loop {
        let found = fs::read_to_string(path).ok().as_deref().and_then(&find);
        if let Some(found) = found {
            return found;
        }
        assert!(
            Instant::now() < deadline,
            "{} is not written",
            path.display()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn settings_value(text: &str, key: &str) -> Option<String> {
    let lines = text.strip_suffix('\n')?.lines();
    lines
        .filter_map(|line| line.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value.to_owned())
}

/// The arguments and log levels of each process, by name.
fn wait_for_starts(folder: &Path) -> String {
    let complete = |text: &str| {
        text.lines()
            .any(|line| line.starts_with("levels: "))
            .then(|| text.to_owned())
    };
    let start = |member: Member| {
        let start = wait_for(&folder.join(format!("{member}.conf.start")), complete);
        format!(
            "{member}\n{}",
            start.replace(&folder.display().to_string(), "FOLDER")
        )
    };
    Member::all(&ClusterShape::default()).map(start).collect()
}

/// The effects of a run that the test observes.
struct Observed {
    /// The arguments and log levels of the processes.
    starts: String,
    /// The first call of the operator.
    call: String,
}

/// Waits until all processes have started, then listens on the control address of the first core process and rejects the
/// first call.
fn observe(folder: PathBuf) -> JoinHandle<Observed> {
    std::thread::spawn(move || {
        let starts = wait_for_starts(&folder);
        let address = wait_for(&folder.join("core-1.conf"), |text| {
            settings_value(text, "bind-addresses.control")
        });
        let listener = TcpListener::bind(&address).expect("the control address");
        let (stream, _) = listener.accept().expect("a call");
        let mut reader = BufReader::new(&stream);
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(reader.read_line(&mut head).expect("a line"), 0, "{head}");
        }
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().ok())?
        });
        let mut body = vec![0; length.expect("a length")];
        reader.read_exact(&mut body).expect("a body");
        (&stream)
            .write_all(b"HTTP/1.1 400 x\r\ncontent-length: 0\r\n\r\n")
            .expect("an answer");
        let body = String::from_utf8(body).expect("text");
        let call = format!(
            "{}{body}\n",
            head.replace('\r', "").replace(&address, "ADDRESS")
        );
        Observed { starts, call }
    })
}

#[tokio::test]
async fn process_starts_and_the_configuration_call_stay_the_same() {
    let folder =
        std::env::temp_dir().join(format!("lupinrack-local-golden-{}", std::process::id()));
    fs::create_dir(&folder).expect("a folder");
    let settings = LocalSettings {
        program: write_mock_program(&folder),
        folder: folder.clone(),
        submit_for: Duration::from_secs(1),
        end_within: Duration::from_secs(1),
        kill: Vec::new(),
        progress: Progress::Hidden,
    };
    let observed = observe(folder.clone());
    let rejected = run(&settings).await;
    assert!(
        matches!(
            rejected,
            Err(LocalError::ConfigurationRejected { status: 400 })
        ),
        "{rejected:?}"
    );
    let Observed { starts, call } = observed.join().expect("a call");
    assert_golden("configuration-call.txt", &call);
    // Log levels that are set for the test itself are inherited by the processes.
    let levels = std::env::var("LUPINRACK_LOG").unwrap_or_else(|_| "info".to_owned());
    assert_golden(
        "process-start.txt",
        &starts.replace(&format!("levels: {levels}\n"), "levels: info\n"),
    );
    fs::remove_dir_all(&folder).expect("the folder removed");
}
