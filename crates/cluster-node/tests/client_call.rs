//! How a front parses clients' calls and which of them it answers itself.

use lupinrack_cluster_api::configuration::{Configuration, Route};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, QueueName, ServiceName};
use lupinrack_cluster_api::request::{Request, Target};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::front::client_call::parse_client_call;
use lupinrack_cluster_node::front::known_configuration::KnownConfiguration;
use lupinrack_cluster_transport::http_server::{HttpRequest, IfMatch};
use std::sync::Arc;

const TRUSTED_MS: u64 = 500;
const CONFIRMED_AT: u64 = 10_000;
const JOB: JobId = JobId(0xaa);
const JOB_PATH: &str = "/a/00000000000000aa";

fn known() -> KnownConfiguration {
    let route = Route {
        name: QueueName("a".to_owned()),
        host: "h.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        timeout_ms: 3_000,
        target_latency_ms: 800,
        priority: 0,
        service: ServiceName("one".to_owned()),
        max_retries: 1,
        extension_milli: 2_000,
    };
    let configuration = Configuration {
        version: 4,
        routes: vec![route],
        ..Configuration::default()
    };
    KnownConfiguration {
        configuration: Arc::new(configuration),
        confirmed_at: Millis(CONFIRMED_AT),
    }
}

fn call(method: &str, path: &str, body: &'static str) -> HttpRequest {
    HttpRequest {
        method: method.parse().expect("a method"),
        path: path.to_owned(),
        host: "h.example".to_owned(),
        if_match: IfMatch::Missing,
        deadline_remaining_ms: None,
        body: body.into(),
    }
}

fn read_after(call: &HttpRequest, age_ms: u64) -> Result<Request, ErrorKind> {
    parse_client_call(call, &known(), TRUSTED_MS, Millis(CONFIRMED_AT + age_ms))
}

#[test]
fn an_unknown_queue_is_refused_only_while_the_configuration_is_trusted() {
    let target = Target {
        host: "h.example".to_owned(),
        path: "/b/".to_owned(),
    };
    let count = call("GET", "/b/", "");
    assert_eq!(read_after(&count, 0), Err(ErrorKind::UnknownQueue));
    assert_eq!(
        read_after(&count, TRUSTED_MS - 1),
        Err(ErrorKind::UnknownQueue)
    );
    for age_ms in [TRUSTED_MS, 20_000] {
        assert_eq!(
            read_after(&count, age_ms),
            Ok(Request::ReadQueue {
                target: target.clone()
            }),
            "{age_ms}"
        );
    }
    let nothing = KnownConfiguration::default();
    assert_eq!(
        parse_client_call(&count, &nothing, TRUSTED_MS, Millis(1)),
        Ok(Request::ReadQueue { target })
    );
}

#[test]
fn calls_that_depend_on_the_cluster_state_always_go_to_the_head() {
    let target = Target {
        host: "h.example".to_owned(),
        path: JOB_PATH.to_owned(),
    };
    let read = Request::ReadJob {
        target: target.clone(),
        job: JOB,
    };
    assert_eq!(read_after(&call("GET", JOB_PATH, ""), 0), Ok(read));
    let cancel = Request::CancelJob {
        target: target.clone(),
        job: JOB,
    };
    assert_eq!(read_after(&call("DELETE", JOB_PATH, ""), 0), Ok(cancel));
    let submission = read_after(
        &call("POST", JOB_PATH, r#"{"spec":"s","steps":[{"count":1}]}"#),
        0,
    );
    assert!(
        matches!(submission, Ok(Request::SubmitJob { target: to, job: JOB, .. }) if to == target)
    );
}

/// Guards against 404 by a front for a job that was accepted on a route that was removed since: only the head knows it.
#[test]
fn calls_for_jobs_on_unknown_routes_go_to_the_head() {
    let path = "/b/00000000000000aa";
    let target = Target {
        host: "h.example".to_owned(),
        path: path.to_owned(),
    };
    let cancel = Request::CancelJob {
        target: target.clone(),
        job: JOB,
    };
    assert_eq!(read_after(&call("DELETE", path, ""), 0), Ok(cancel));
    let read = Request::ReadJob {
        target: target.clone(),
        job: JOB,
    };
    assert_eq!(read_after(&call("GET", path, ""), 0), Ok(read));
    let submission = read_after(
        &call("POST", path, r#"{"spec":"s","steps":[{"count":1}]}"#),
        0,
    );
    assert!(
        matches!(submission, Ok(Request::SubmitJob { target: to, job: JOB, .. }) if to == target)
    );
}

#[test]
fn calls_that_cannot_be_parsed_are_malformed() {
    for call in [
        call("POST", JOB_PATH, "{"),
        call("PUT", JOB_PATH, ""),
        call("DELETE", "/a/", ""),
    ] {
        assert_eq!(read_after(&call, 0), Err(ErrorKind::Malformed));
        assert_eq!(read_after(&call, 20_000), Err(ErrorKind::Malformed));
    }
}
