//! Parsing of jobs from JSON, and their serialization.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use lupinrack_cluster_json::{job_body, parse_job, JobError, JobLimits, Quantity};
use quickcheck::{quickcheck, Arbitrary, Gen};

fn parse(body: &str) -> Result<JobSpec, JobError> {
    parse_job(body.as_bytes(), JobLimits::default())
}

/// The error of a job with only this step.
fn error_of_step(step: &str) -> JobError {
    parse(&format!(r#"{{"steps":[{step}]}}"#)).expect_err("an error")
}

fn is_syntax_error(body: &str) -> bool {
    matches!(parse(body), Err(JobError::Syntax(_)))
}

#[test]
fn absent_fields_are_empty() {
    let job = parse(r#"{"steps":[{"count":3}]}"#).expect("a job");
    let expected = JobSpec {
        steps: vec![Step {
            count: 3,
            ..Step::default()
        }],
        ..JobSpec::default()
    };
    assert_eq!(job, expected);
}

#[test]
fn every_field_is_read() {
    let body = r#"{"spec":"crush \"all\" \u00e9","repeat":4,"start-at-ms":1700000000000,"interval-ms":500,"steps":[
        {"count":1},{"count":20,"cpu":2000,"mem-mb":1024,"gpu":2,"estimate-ms":7000,"depends-on":[0],
        "checkpoints":true,"gang":true,"same-rack":true,"requires":"b","affinity":"r1-3","anti-affinity":2,
        "speculative":true,"long-running":true}]}"#;
    let second = Step {
        count: 20,
        needs: Resources {
            cpu: 2000,
            memory_mb: 1024,
            gpu: 2,
        },
        estimate_ms: 7000,
        depends_on: vec![0],
        checkpoints: true,
        gang: true,
        same_rack: true,
        requires: "b".into(),
        affinity: "r1-3".into(),
        anti_affinity: 2,
        speculative: true,
        long_running: true,
    };
    let expected = JobSpec {
        spec: "crush \"all\" é".into(),
        steps: vec![
            Step {
                count: 1,
                ..Step::default()
            },
            second,
        ],
        repeat: 4,
        start_at_ms: 1_700_000_000_000,
        interval_ms: 500,
    };
    assert_eq!(parse(body), Ok(expected));
}

#[test]
fn unknown_fields_are_ignored() {
    let body = r#"{"colour":{"a":[1,null]},"steps":[{"count":1,"new":[{}]}],"colour":2}"#;
    assert_eq!(parse(body), parse(r#"{"steps":[{"count":1}]}"#));
}

#[test]
fn repeated_dependencies_count_once() {
    let job = parse(r#"{"steps":[{"count":1},{"count":1},{"count":1,"depends-on":[1,0,1]}]}"#)
        .expect("a job");
    assert_eq!(job.steps[2].depends_on, [0, 1]);
}

#[test]
fn only_a_json_object_is_accepted() {
    for body in [
        "",
        "{",
        "null",
        "3",
        "\"job\"",
        "[]",
        r#"["text",[{"count":1}]]"#,
        r#"{"steps":[[1]]}"#,
    ] {
        assert!(is_syntax_error(body), "{body}");
    }
    assert!(is_syntax_error(r#"{"steps":[{"count":1}]} more"#));
    assert!(matches!(
        parse_job(b"{\"spec\":\"\xff\"}", JobLimits::default()),
        Err(JobError::Syntax(_))
    ));
}

#[test]
fn wrong_types_are_rejected() {
    for field in [
        r#""spec":3"#,
        r#""spec":null"#,
        r#""repeat":"4""#,
        r#""repeat":-1"#,
        r#""repeat":1.5"#,
        r#""interval-ms":true"#,
    ] {
        assert!(
            is_syntax_error(&format!(r#"{{{field},"steps":[{{"count":1}}]}}"#)),
            "{field}"
        );
    }
    for field in [
        r#""cpu":"1""#,
        r#""gang":1"#,
        r#""gang":null"#,
        r#""depends-on":0"#,
        r#""depends-on":[-1]"#,
        r#""requires":[]"#,
    ] {
        assert!(
            is_syntax_error(&format!(r#"{{"steps":[{{"count":1,{field}}}]}}"#)),
            "{field}"
        );
    }
    assert!(is_syntax_error(r#"{"steps":{"count":1}}"#));
    assert!(is_syntax_error(r#"{"steps":null}"#));
}

#[test]
fn repeated_fields_are_rejected() {
    assert!(is_syntax_error(
        r#"{"spec":"a","spec":"a","steps":[{"count":1}]}"#
    ));
    assert!(is_syntax_error(r#"{"steps":[{"count":1,"count":1}]}"#));
}

#[test]
fn the_spec_is_bounded_in_bytes() {
    let body = |text: String| format!(r#"{{"spec":"{text}","steps":[{{"count":1}}]}}"#);
    assert!(parse(&body("x".repeat(4000))).is_ok());
    assert_eq!(
        parse(&body("x".repeat(4001))),
        Err(JobError::SpecTooLong {
            bytes: 4001,
            limit: 4000
        })
    );
    assert_eq!(
        parse(&body("é".repeat(2001))),
        Err(JobError::SpecTooLong {
            bytes: 4002,
            limit: 4000
        })
    );
}

#[test]
fn steps_are_bounded() {
    let body = |steps: usize| {
        format!(
            r#"{{"steps":[{}]}}"#,
            vec![r#"{"count":1}"#; steps].join(",")
        )
    };
    assert_eq!(parse("{}"), Err(JobError::NoSteps));
    assert_eq!(parse(&body(0)), Err(JobError::NoSteps));
    assert!(parse(&body(256)).is_ok());
    assert_eq!(
        parse(&body(257)),
        Err(JobError::TooManySteps {
            steps: 257,
            limit: 256
        })
    );
}

#[test]
fn tasks_are_bounded() {
    assert_eq!(error_of_step("{}"), JobError::NoTasks { step: 0 });
    assert_eq!(
        error_of_step(r#"{"count":0}"#),
        JobError::NoTasks { step: 0 }
    );
    assert!(parse(r#"{"steps":[{"count":10000}]}"#).is_ok());
    let too_many = JobError::TooManyTasksInStep {
        step: 0,
        tasks: 10_001,
        limit: 10_000,
    };
    assert_eq!(error_of_step(r#"{"count":10001}"#), too_many);
    let full = [r#"{"count":10000}"#; 10].join(",");
    assert!(parse(&format!(r#"{{"steps":[{full}]}}"#)).is_ok());
    let over = parse(&format!(r#"{{"steps":[{full},{{"count":1}}]}}"#));
    assert_eq!(
        over,
        Err(JobError::TooManyTasks {
            tasks: 100_001,
            limit: 100_000
        })
    );
}

#[test]
fn only_earlier_steps_can_be_depended_on() {
    assert_eq!(
        error_of_step(r#"{"count":1,"depends-on":[0]}"#),
        JobError::NotAnEarlierStep {
            step: 0,
            dependency: 0
        }
    );
    for dependency in [1, 2, 4_294_967_296, u64::MAX] {
        let later = parse(&format!(
            r#"{{"steps":[{{"count":1}},{{"count":1,"depends-on":[{dependency}]}},{{"count":1}}]}}"#
        ));
        assert_eq!(
            later,
            Err(JobError::NotAnEarlierStep {
                step: 1,
                dependency
            })
        );
    }
}

#[test]
fn quantities_are_bounded() {
    let (limit, value) = (1u64 << 32, (1u64 << 32) + 1);
    let quantities = [
        ("cpu", Quantity::Cpu),
        ("mem-mb", Quantity::Memory),
        ("gpu", Quantity::Gpu),
        ("estimate-ms", Quantity::Estimate),
        ("anti-affinity", Quantity::AntiAffinity),
    ];
    for (name, quantity) in quantities {
        let error = error_of_step(&format!(r#"{{"count":1,"{name}":{value}}}"#));
        assert_eq!(
            error,
            JobError::QuantityTooLarge {
                step: 0,
                quantity,
                value,
                limit
            }
        );
        assert!(
            parse(&format!(r#"{{"steps":[{{"count":1,"{name}":{limit}}}]}}"#)).is_ok(),
            "{name}"
        );
    }
}

#[test]
fn occurrences_are_bounded() {
    let body = |times: &str| format!(r#"{{{times},"steps":[{{"count":1}}]}}"#);
    assert!(parse(&body(r#""repeat":1000000"#)).is_ok());
    let too_many = JobError::TooManyOccurrences {
        repeat: 1_000_001,
        limit: 1_000_000,
    };
    assert_eq!(parse(&body(r#""repeat":1000001"#)), Err(too_many));
    let max = u64::MAX;
    assert_eq!(
        parse(&body(&format!(r#""repeat":2,"interval-ms":{max}"#))),
        Err(JobError::TimeOverflow)
    );
    let late = format!(r#""repeat":1,"interval-ms":1,"start-at-ms":{max}"#);
    assert_eq!(parse(&body(&late)), Err(JobError::TimeOverflow));
    assert!(parse(&body(&format!(r#""start-at-ms":{max}"#))).is_ok());
}

#[test]
fn other_limits_hold() {
    let limits = JobLimits {
        max_spec_bytes: 2,
        max_steps: 1,
        ..JobLimits::default()
    };
    let long = parse_job(br#"{"spec":"abc","steps":[{"count":1}]}"#, limits);
    assert_eq!(long, Err(JobError::SpecTooLong { bytes: 3, limit: 2 }));
    let steps = parse_job(br#"{"steps":[{"count":1},{"count":1}]}"#, limits);
    assert_eq!(steps, Err(JobError::TooManySteps { steps: 2, limit: 1 }));
}

#[test]
fn an_error_names_the_rule_and_is_a_malformed_request() {
    let error = error_of_step(r#"{"count":1,"mem-mb":5000000000}"#);
    assert_eq!(
        error.to_string(),
        "step 0 states 5000000000 for mem-mb, over 4294967296"
    );
    assert_eq!(ErrorKind::from(error), ErrorKind::Malformed);
}

#[test]
fn deeply_nested_input_is_an_error() {
    assert!(is_syntax_error(&format!(
        r#"{{"other":{}"#,
        "[".repeat(100_000)
    )));
}

/// A job within all limits.
#[derive(Clone, Debug)]
struct ValidJob(JobSpec);

impl Arbitrary for ValidJob {
    fn arbitrary(g: &mut Gen) -> ValidJob {
        let steps = 1 + u32::arbitrary(g) % 8;
        ValidJob(JobSpec {
            spec: String::arbitrary(g).chars().take(1000).collect(),
            steps: (0..steps).map(|number| valid_step(g, number)).collect(),
            repeat: u32::arbitrary(g) % 1_000_001,
            start_at_ms: u64::arbitrary(g) >> 1,
            interval_ms: u64::from(u32::arbitrary(g)),
        })
    }
}

fn valid_step(g: &mut Gen, number: u32) -> Step {
    let mut quantity = || u64::from(u32::arbitrary(g));
    let needs = Resources {
        cpu: quantity(),
        memory_mb: quantity(),
        gpu: quantity(),
    };
    Step {
        count: 1 + u32::arbitrary(g) % 10_000,
        needs,
        estimate_ms: u64::from(u32::arbitrary(g)),
        depends_on: (0..number).filter(|_| bool::arbitrary(g)).collect(),
        checkpoints: bool::arbitrary(g),
        gang: bool::arbitrary(g),
        same_rack: bool::arbitrary(g),
        requires: String::arbitrary(g),
        affinity: String::arbitrary(g),
        anti_affinity: u32::arbitrary(g),
        speculative: bool::arbitrary(g),
        long_running: bool::arbitrary(g),
    }
}

quickcheck! {
    fn no_bytes_cause_a_panic(body: Vec<u8>) -> bool {
        let _ = parse_job(&body, JobLimits::default());
        true
    }

    fn no_damage_causes_a_panic(job: ValidJob, at: usize, byte: u8) -> bool {
        let mut body = job_body(&job.0).into_bytes();
        let place = at % body.len();
        body[place] = byte;
        let _ = parse_job(&body, JobLimits::default());
        true
    }

    fn a_written_job_is_read_unchanged(job: ValidJob) -> bool {
        parse(&job_body(&job.0)) == Ok(job.0)
    }

    fn a_truncated_body_is_rejected(job: ValidJob, at: usize) -> bool {
        let body = job_body(&job.0);
        parse_job(&body.as_bytes()[..at % body.len()], JobLimits::default()).is_err()
    }
}
