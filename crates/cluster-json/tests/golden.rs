//! Golden files in `tests/golden` of JSON bodies (byte for byte), of the jobs parsed from requests, and of every error
//! message. `UPDATE_GOLDEN=1` rewrites the files.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::{JobSpec, JobState, Resources, Step};
use lupinrack_cluster_json::{
    job_body, job_state_body, parse_job, parse_job_state, parse_pending, pending_body, JobError,
    JobLimits, JobTarget, MalformedResponse, Quantity,
};
use lupinrack_golden_files::{check_folder, check_text};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The files that these tests generate.
const FILES: [&str; 6] = [
    "answers.txt",
    "faults.txt",
    "jobs.txt",
    "limits.txt",
    "paths.txt",
    "requests.txt",
];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("golden")
}

/// Compares entries with a golden file, which has one `name: text` line per entry, and returns the file's entries.
fn check(file: &str, built: &[(String, String)]) -> Vec<(String, String)> {
    assert!(FILES.contains(&file), "{file} is not listed");
    let lines: String = built
        .iter()
        .map(|(name, text)| format!("{name}: {text}\n"))
        .collect();
    let kept = check_text(folder().join(file), &lines);
    let entries = kept
        .lines()
        .map(|line| line.split_once(": ").expect("a name and a text"));
    entries
        .map(|(name, text)| (name.to_string(), text.to_string()))
        .collect()
}

fn entry(name: &str, text: impl ToString) -> (String, String) {
    (name.to_string(), text.to_string())
}

fn parse(body: &str) -> Result<JobSpec, JobError> {
    parse_job(body.as_bytes(), JobLimits::default())
}

/// A job with a distinct value in every field.
fn full_job() -> JobSpec {
    let first = Step {
        count: 11,
        ..Step::default()
    };
    let second = Step {
        count: 12,
        gang: true,
        same_rack: true,
        ..Step::default()
    };
    let third = Step {
        count: 13,
        needs: Resources {
            cpu: 2_001,
            memory_mb: 1_025,
            gpu: 3,
        },
        estimate_ms: 7_002,
        depends_on: vec![0, 1],
        checkpoints: true,
        gang: false,
        same_rack: false,
        requires: "big \"disk\"".to_string(),
        affinity: "r1-3".to_string(),
        anti_affinity: 4,
        speculative: true,
        long_running: false,
    };
    let fourth = Step {
        count: 14,
        long_running: true,
        ..Step::default()
    };
    JobSpec {
        spec: "crush \"all\" é\n\u{1}".to_string(),
        steps: vec![first, second, third, fourth],
        repeat: 5,
        start_at_ms: 1_700_000_000_006,
        interval_ms: 507,
    }
}

/// A job of one step with one flag set.
fn job_with_flag(set: impl Fn(&mut Step)) -> JobSpec {
    let mut step = Step {
        count: 1,
        ..Step::default()
    };
    set(&mut step);
    JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    }
}

#[test]
fn jobs_keep_their_form() {
    let jobs = [
        ("every field", full_job()),
        ("least", job_with_flag(|_| {})),
        ("checkpoints", job_with_flag(|step| step.checkpoints = true)),
        ("gang", job_with_flag(|step| step.gang = true)),
        ("same rack", job_with_flag(|step| step.same_rack = true)),
        ("speculative", job_with_flag(|step| step.speculative = true)),
        (
            "long running",
            job_with_flag(|step| step.long_running = true),
        ),
    ];
    let kept = check(
        "jobs.txt",
        &jobs.clone().map(|(name, job)| entry(name, job_body(&job))),
    );
    for ((name, text), (_, job)) in kept.iter().zip(jobs) {
        assert_eq!(parse(text), Ok(job), "{name}");
    }
}

const REQUEST_WITH_EVERY_FIELD: &str = concat!(
    r#"{"spec":"a \u00e9","repeat":4,"start-at-ms":1700000000000,"interval-ms":500,"#,
    r#""steps":[{"count":1},{"count":20,"cpu":2000,"mem-mb":1024,"gpu":2,"estimate-ms":7000,"#,
    r#""depends-on":[0],"checkpoints":true,"gang":true,"same-rack":true,"requires":"b","#,
    r#""affinity":"r1-3","anti-affinity":2,"speculative":true,"long-running":true}]}"#
);

const REQUEST_OF_ZEROS: &str = concat!(
    r#"{"spec":"","repeat":0,"start-at-ms":0,"interval-ms":0,"#,
    r#""steps":[{"count":1,"cpu":0,"mem-mb":0,"gpu":0,"estimate-ms":0,"#,
    r#""depends-on":[],"checkpoints":false,"gang":false,"same-rack":false,"requires":"","#,
    r#""affinity":"","anti-affinity":0,"speculative":false,"long-running":false}]}"#
);

/// Requests of other clients, and the jobs parsed from them in the form that this crate writes.
#[test]
fn requests_are_read_alike() {
    let requests = [
        ("every field", REQUEST_WITH_EVERY_FIELD),
        ("zeros and empty texts", REQUEST_OF_ZEROS),
        (
            "unknown fields",
            r#"{"colour":{"a":[1,null]},"steps":[{"count":1,"new":[{}]}]}"#,
        ),
        (
            "fields in other spellings",
            r#"{"start_at_ms":7,"startAtMs":8,"steps":[{"count":1,"mem_mb":9}]}"#,
        ),
        (
            "repeated dependencies",
            r#"{"steps":[{"count":1},{"count":1},{"count":1,"depends-on":[1,0,1]}]}"#,
        ),
        ("white space", " { \"steps\" : [ { \"count\" : 1 } ] } "),
    ];
    let read = |request: &str| job_body(&parse(request).expect("a job"));
    check(
        "requests.txt",
        &requests.map(|(name, request)| entry(name, format!("{request} -> {}", read(request)))),
    );
}

fn name_of_error(error: &JobError) -> &'static str {
    match error {
        JobError::Syntax(_) => "syntax",
        JobError::SpecTooLong { .. } => "spec_too_long",
        JobError::NoSteps => "no_steps",
        JobError::TooManySteps { .. } => "too_many_steps",
        JobError::NoTasks { .. } => "no_tasks",
        JobError::TooManyTasksInStep { .. } => "too_many_tasks_in_step",
        JobError::TooManyTasks { .. } => "too_many_tasks",
        JobError::NotAnEarlierStep { .. } => "not_an_earlier_step",
        JobError::QuantityTooLarge { quantity, .. } => match quantity {
            Quantity::Cpu => "figure_too_large_cpu",
            Quantity::Memory => "figure_too_large_memory",
            Quantity::Gpu => "figure_too_large_gpu",
            Quantity::Estimate => "figure_too_large_estimate",
            Quantity::AntiAffinity => "figure_too_large_anti_affinity",
        },
        JobError::TooManyOccurrences { .. } => "too_many_times",
        JobError::TimeOverflow => "time_overflow",
    }
}

/// Bodies of rejected requests.
fn refused_bodies() -> Vec<String> {
    let with_step = |step: &str| format!(r#"{{"steps":[{{"count":1}},{step}]}}"#);
    let with_times = |times: &str| format!(r#"{{{times},"steps":[{{"count":1}}]}}"#);
    let steps =
        |number: usize, step: &str| format!(r#"{{"steps":[{}]}}"#, vec![step; number].join(","));
    let mut bodies: Vec<String> = vec![
        "".to_string(),
        "null".to_string(),
        "[]".to_string(),
        r#"{"steps":[[1]]}"#.to_string(),
        r#"{"steps":{"count":1}}"#.to_string(),
        r#"{"steps":[{"count":1}]} more"#.to_string(),
        r#"{"spec":"a","spec":"a"}"#.to_string(),
        with_times(r#""spec":3"#),
        with_times(r#""repeat":-1"#),
        with_times(r#""repeat":1.5"#),
        with_times(r#""interval-ms":"1""#),
        with_step(r#"{"gang":1}"#),
        with_step(r#"{"depends-on":0}"#),
        with_times(&format!(r#""spec":"{}""#, "x".repeat(4_001))),
        "{}".to_string(),
        r#"{"steps":[]}"#.to_string(),
        steps(257, r#"{"count":1}"#),
        with_step("{}"),
        with_step(r#"{"count":10001}"#),
        steps(11, r#"{"count":10000}"#),
        with_step(r#"{"count":1,"depends-on":[0,1]}"#),
        with_times(r#""repeat":1000001"#),
        with_times(r#""repeat":2,"interval-ms":18446744073709551615"#),
        with_times(r#""repeat":1,"interval-ms":1,"start-at-ms":18446744073709551615"#),
    ];
    let quantities = ["cpu", "mem-mb", "gpu", "estimate-ms", "anti-affinity"];
    bodies.extend(
        quantities.map(|quantity| with_step(&format!(r#"{{"count":1,"{quantity}":4294967297}}"#))),
    );
    bodies
}

#[test]
fn errors_keep_their_texts() {
    let errors: Vec<JobError> = refused_bodies()
        .iter()
        .map(|body| parse(body).expect_err(body))
        .collect();
    let number_and_name = |(number, error): (usize, &JobError)| {
        entry(&format!("{number} {}", name_of_error(error)), error)
    };
    check(
        "faults.txt",
        &errors
            .iter()
            .enumerate()
            .map(number_and_name)
            .collect::<Vec<_>>(),
    );

    let kinds: BTreeSet<&str> = errors.iter().map(name_of_error).collect();
    assert_eq!(kinds.len(), 15, "every error occurs, and every quantity");
    assert!(errors
        .into_iter()
        .all(|error| ErrorKind::from(error) == ErrorKind::Malformed));
}

#[test]
fn responses_keep_their_form() {
    let states = [
        JobState::Queued,
        JobState::Running,
        JobState::Succeeded,
        JobState::Failed,
        JobState::Cancelled,
    ];
    let counts = [0, 12, u64::MAX];
    let mut entries: Vec<(String, String)> = states
        .iter()
        .map(|state| entry(&format!("{state:?}"), job_state_body(*state)))
        .collect();
    entries.extend(counts.map(|pending| entry("pending", pending_body(pending))));
    entries.push(entry("unknown answer", MalformedResponse));
    let kept = check("answers.txt", &entries);
    for (state, (name, text)) in states.iter().zip(&kept) {
        assert_eq!(parse_job_state(text.as_bytes()), Ok(*state), "{name}");
    }
    for (pending, (_, text)) in counts.iter().zip(&kept[states.len()..]) {
        assert_eq!(parse_pending(text.as_bytes()), Ok(*pending));
    }
}

#[test]
fn paths_are_taken_apart_alike() {
    let paths = [
        "/orders/5c0e7a21d94b36f8",
        "/orders/5C0E7A21D94B36F8?again=1",
        "/orders5c0e7a21d94b36f8",
        "/a/b/5c0e7a21d94b36f8",
        "/orders/",
        "/orders",
        "/orders?queue=1",
        "/orders/5c0e7a21d94b36f",
        "/orders/5c0e7a21d94b36fg",
        "/5c0e7a21d94b36f8/",
    ];
    let told = |path: &str| {
        let target = JobTarget::from_path(path);
        let job = target.job.map_or("no job".to_string(), |JobId(number)| {
            format!("job {number:016x}")
        });
        format!("{} and {job}", target.prefix)
    };
    check("paths.txt", &paths.map(|path| entry(path, told(path))));
}

#[test]
fn default_limits_stay() {
    let JobLimits {
        max_spec_bytes,
        max_steps,
        max_tasks_per_step,
        max_tasks,
        max_repeat,
        max_quantity,
    } = JobLimits::default();
    let entries = [
        entry("spec, bytes", max_spec_bytes),
        entry("steps", max_steps),
        entry("tasks of a step", max_tasks_per_step),
        entry("tasks", max_tasks),
        entry("times", max_repeat),
        entry("figure", max_quantity),
    ];
    check("limits.txt", &entries);
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(folder(), FILES);
}
