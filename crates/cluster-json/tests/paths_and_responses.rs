//! Paths of jobs and queues, and the bodies of responses.

use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_json::{
    job_state_body, parse_job_state, parse_pending, pending_body, JobTarget,
};
use quickcheck::quickcheck;

const ID: JobId = JobId(0x5c0e_7a21_d94b_36f8);

#[test]
fn a_job_is_named_by_the_last_sixteen_digits() {
    let expected = JobTarget {
        prefix: "/orders/",
        job: Some(ID),
    };
    assert_eq!(JobTarget::from_path("/orders/5c0e7a21d94b36f8"), expected);
    assert_eq!(
        JobTarget::from_path("/orders/5c0e7a21d94b36f8?again=1"),
        expected
    );
    assert_eq!(
        JobTarget::from_path("/orders5c0e7a21d94b36f8"),
        JobTarget {
            prefix: "/orders",
            job: Some(ID)
        }
    );
    assert_eq!(
        JobTarget::from_path("/a/b/5c0e7a21d94b36f8"),
        JobTarget {
            prefix: "/a/b/",
            job: Some(ID)
        }
    );
}

#[test]
fn every_other_path_names_a_queue() {
    for path in [
        "",
        "/",
        "/orders/",
        "/orders",
        "/orders/5c0e7a21d94b36f",
        "/orders/5c0e7a21d94b36fg",
    ] {
        assert_eq!(
            JobTarget::from_path(path),
            JobTarget {
                prefix: path,
                job: None
            }
        );
    }
    for path in [
        "/5c0e7a2/1d94b36f8",
        "/5c0e7a21d94b36f8/",
        "/orders/+c0e7a21d94b36f8",
        "/é0e7a21d94b36f8",
    ] {
        assert_eq!(
            JobTarget::from_path(path),
            JobTarget {
                prefix: path,
                job: None
            }
        );
    }
}

#[test]
fn responses_have_their_json_form() {
    assert_eq!(job_state_body(JobState::Running), r#"{"state":"running"}"#);
    assert_eq!(pending_body(12), r#"{"pending":12}"#);
}

#[test]
fn written_states_are_read_unchanged() {
    let states = [
        JobState::Queued,
        JobState::Running,
        JobState::Succeeded,
        JobState::Failed,
        JobState::Cancelled,
    ];
    for state in states {
        assert_eq!(parse_job_state(job_state_body(state).as_bytes()), Ok(state));
    }
}

#[test]
fn other_responses_are_rejected() {
    for body in [
        "",
        "{}",
        r#"{"state":"gone"}"#,
        r#"{"state":1}"#,
        r#"["running"]"#,
    ] {
        assert!(parse_job_state(body.as_bytes()).is_err(), "{body}");
    }
    for body in ["", "{}", r#"{"pending":-1}"#, "[1]"] {
        assert!(parse_pending(body.as_bytes()).is_err(), "{body}");
    }
}

quickcheck! {
    fn a_prefix_and_a_job_are_separated(words: Vec<u16>, id: u64) -> bool {
        let prefix: String = words.iter().map(|word| format!("/w{word}")).chain(["/".to_string()]).collect();
        JobTarget::from_path(&format!("{prefix}{}", JobId(id))) == JobTarget { prefix: &prefix, job: Some(JobId(id)) }
    }

    fn no_path_causes_a_panic(path: String) -> bool {
        JobTarget::from_path(&path).prefix.len() <= path.len()
    }

    fn a_written_count_is_read_unchanged(pending: u64) -> bool {
        parse_pending(pending_body(pending).as_bytes()) == Ok(pending)
    }
}
