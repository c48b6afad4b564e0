//! Reading, checking and rendering of configurations.

mod common;

use common::{full_configuration, patch, put, route, service_json, two_queues, LIMITS};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, Operation, OperationResult};
use lupinrack_control_state::{
    apply_body, check_body, check_configuration, ConfigurationDocument, ControlState,
    InvalidConfiguration, InvalidReason,
};
use quickcheck::quickcheck;
use serde_json::Value;

/// Applies a `PATCH` to a document.
fn apply_patch(
    current: &ConfigurationDocument,
    text: &str,
) -> Result<ConfigurationDocument, InvalidConfiguration> {
    apply_body(current, &ConfigurationBody::Patch(text.to_owned()))
}

/// The document of a `PUT`.
fn read_replacement(text: &str) -> Result<ConfigurationDocument, InvalidConfiguration> {
    let body = ConfigurationBody::Replacement(text.to_owned());
    apply_body(&ConfigurationDocument::default(), &body)
}

fn value(text: &str) -> Value {
    serde_json::from_str(text).expect("it is JSON")
}

/// The path of the error in an invalid text.
fn error_path(text: &str) -> String {
    check_configuration(text).expect_err("it is invalid").path
}

fn error_reason(text: &str) -> InvalidReason {
    check_configuration(text).expect_err("it is invalid").reason
}

#[test]
fn a_complete_configuration_is_read_with_its_lists_sorted() {
    let routes = [route("z", "/z/", "two"), route("c", "/c/", "one")];
    let text = full_configuration(7, &routes, &[service_json("two"), service_json("one")]);
    let read = check_configuration(&text).expect("it is valid");
    assert_eq!(read.version, 7);
    let names: Vec<&str> = read
        .routes
        .iter()
        .map(|route| route.name.0.as_str())
        .collect();
    assert_eq!(names, ["c", "z"]);
    assert_eq!(read.services[0].name.0, "one");
    assert!(read.services[0].guards);
    let first = &read.routes[0];
    assert_eq!(
        (first.host.as_str(), first.path_prefix.as_str()),
        ("h.example", "/c/")
    );
    assert_eq!(
        (first.timeout_ms, first.target_latency_ms, first.priority),
        (3000, 800, 1)
    );
    assert_eq!(
        (first.service.0.as_str(), first.max_retries),
        ("one", common::MAX_RETRIES)
    );
    assert_eq!(first.extension_milli, 2250);
    assert_eq!(
        (read.limits.max_header_bytes, read.limits.max_body_bytes),
        (16384, 262144)
    );
    assert_eq!(
        (read.limits.header_timeout_ms, read.limits.idle_timeout_ms),
        (3000, 15000)
    );
}

#[test]
fn an_extension_accepts_any_json_number_form() {
    for (form, milli) in [
        ("4", 4000),
        ("4.0", 4000),
        ("1.2345", 1235),
        ("2e0", 2000),
        ("0", 0),
    ] {
        let text = two_queues(1).replace("2.25", form);
        let read = check_configuration(&text).expect("it is valid");
        assert_eq!(read.routes[0].extension_milli, milli, "{form}");
    }
    for form in ["-1", "1e999", "\"2\"", "null"] {
        let text = two_queues(1).replace("2.25", form);
        assert!(check_configuration(&text).is_err(), "{form}");
    }
}

#[test]
fn every_truncated_text_is_refused() {
    let text = two_queues(3);
    for length in 0..text.len() {
        assert!(
            check_configuration(&text[..length]).is_err(),
            "cut at {length}"
        );
        assert!(
            apply_patch(&Default::default(), &text[..length]).is_err(),
            "cut at {length}"
        );
    }
}

#[test]
fn text_after_the_end_and_comments_are_refused() {
    for text in [
        format!("{}x", two_queues(1)),
        format!("/* c */{}", two_queues(1)),
    ] {
        assert!(matches!(error_reason(&text), InvalidReason::Unreadable(_)));
    }
    assert!(check_configuration(&format!(" {}\n", two_queues(1))).is_ok());
}

#[test]
fn wrong_types_are_refused_with_their_path() {
    let text = two_queues(1);
    for (from, to) in [
        ("\"timeout-ms\":3000", "\"timeout-ms\":\"3000\""),
        ("\"timeout-ms\":3000", "\"timeout-ms\":-1"),
        ("\"timeout-ms\":3000", "\"timeout-ms\":{}"),
        ("\"priority\":1", "\"priority\":4294967296"),
        ("\"priority\":1", "\"priority\":1.5"),
        ("\"host\":\"h.example\"", "\"host\":5"),
        ("\"max-retries\":2", "\"max-retries\":null"),
        ("\"path-prefix\":\"/a/\"", "\"path-prefix\":[\"/a/\"]"),
    ] {
        assert_eq!(error_path(&text.replacen(from, to, 1)), "routes[0]", "{to}");
    }
    assert_eq!(
        error_path(&text.replacen("\"guards\":true", "\"guards\":1", 1)),
        "services[0]"
    );
    assert_eq!(error_path(&text.replace("16384", "true")), "limits");
    assert_eq!(
        error_path(&text.replace("\"version\":1,", "\"version\":\"1\",")),
        "version"
    );
    assert_eq!(
        error_path(&text.replace("\"version\":1,", "\"version\":1.0,")),
        "version"
    );
    assert_eq!(error_path("[]"), "configuration");
    assert_eq!(
        error_path(r#"{"version":1,"routes":{},"services":[],"limits":{}}"#),
        "routes"
    );
    assert_eq!(
        error_path(r#"{"version":1,"routes":[7],"services":[],"limits":{}}"#),
        "routes[0]"
    );
}

#[test]
fn missing_fields_are_refused_with_their_path() {
    let text = two_queues(1);
    let route_fields = [
        ("\"host\":\"h.example\",", "routes[0].host"),
        ("\"path-prefix\":\"/a/\",", "routes[0].path-prefix"),
        ("\"timeout-ms\":3000,", "routes[0].timeout-ms"),
        ("\"target-latency-ms\":800,", "routes[0].target-latency-ms"),
        ("\"priority\":1,", "routes[0].priority"),
        ("\"service\":\"one\",", "routes[0].service"),
        ("\"max-retries\":2,", "routes[0].max-retries"),
        ("\"name\":\"a\",", "routes[0].name"),
        (",\"extension\":2.25", "routes[0].extension"),
        (",\"guards\":true", "services[0].guards"),
        ("\"max-header-bytes\":16384,", "limits.max-header-bytes"),
        ("\"version\":1,", "version"),
    ];
    for (field, path) in route_fields {
        let text = text.replacen(field, "", 1);
        assert_eq!(error_path(&text), path);
        assert_eq!(error_reason(&text), InvalidReason::MissingField);
    }
    for field in ["routes", "services", "limits"] {
        assert_eq!(
            error_path(&text.replace(&format!("\"{field}\":"), "\"else\":")),
            field
        );
    }
}

#[test]
fn items_are_checked_against_each_other() {
    let services = [service_json("one")];
    let both = |first: String, second: String| full_configuration(1, &[first, second], &services);

    let unknown = both(route("a", "/a/", "one"), route("b", "/b/", "none"));
    assert_eq!(error_path(&unknown), "routes[1].service");
    assert_eq!(
        error_reason(&unknown),
        InvalidReason::UnknownService("none".into())
    );

    let same_prefix = both(route("a", "/a/", "one"), route("b", "/a/", "one"));
    assert_eq!(error_path(&same_prefix), "routes[1].path-prefix");
    assert_eq!(
        error_reason(&same_prefix),
        InvalidReason::SameHostAndPrefix("a".into())
    );
    let other_host = same_prefix.replacen("h.example", "i.example", 1);
    assert!(check_configuration(&other_host).is_ok());

    let same_name = both(route("a", "/a/", "one"), route("a", "/b/", "one"));
    assert_eq!(error_path(&same_name), "routes[1].name");
    assert_eq!(error_reason(&same_name), InvalidReason::DuplicateName);
    let same_service = full_configuration(1, &[], &[service_json("one"), service_json("one")]);
    assert_eq!(error_path(&same_service), "services[1].name");

    let zero = both(
        route("a", "/a/", "one"),
        route("b", "/b/", "one").replace("3000", "0"),
    );
    assert_eq!(error_path(&zero), "routes[1].timeout-ms");
    assert_eq!(error_reason(&zero), InvalidReason::Zero);

    assert_eq!(error_path(&two_queues(0)), "version");
    assert_eq!(
        error_reason(&two_queues(0)),
        InvalidReason::VersionNotAbove(0)
    );
}

#[test]
fn an_error_reads_as_its_path_and_reason() {
    let text = two_queues(1).replacen("\"timeout-ms\":3000", "\"timeout-ms\":0", 1);
    let error = check_configuration(&text).expect_err("it is invalid");
    assert_eq!(
        error.to_string(),
        "routes[0].timeout-ms: it must be above 0"
    );
}

#[test]
fn unknown_fields_are_rendered_as_sent() {
    let text = format!(
        r#"{{"more":[1e+3,{{"x":"\u00e9"}}],"version":9,"routes":[{}],"services":[{}],"limits":{LIMITS},"a \"key\"":null}}"#,
        route("a", "/a/", "one").replace("2.25", "2.250, \"big\": 123456789012345678901234567890"),
        service_json("one"),
    );
    let document = read_replacement(&text).expect("it can be read");
    document.check().expect("it is valid");
    let rendered = document.render();
    assert!(rendered.contains("2.250, \"big\": 123456789012345678901234567890"));
    assert!(rendered.contains("[1e+3,{\"x\":\"\\u00e9\"}]"));
    assert_eq!(value(&rendered), value(&text));
    assert_eq!(
        read_replacement(&rendered).expect("it can be read"),
        document
    );
}

#[test]
fn the_order_of_items_is_preserved() {
    let routes = [
        route("z", "/z/", "one"),
        route("a", "/a/", "one"),
        route("m", "/m/", "one"),
    ];
    let text = full_configuration(2, &routes, &[service_json("one")]);
    assert_eq!(
        read_replacement(&text).expect("it can be read").render(),
        text
    );
}

#[test]
fn a_patch_adds_replaces_and_removes_by_name() {
    let current = read_replacement(&two_queues(1)).expect("it can be read");
    let changed = route("a", "/new/", "three");
    let patch = format!(
        r#"{{"version":4,"upsert":{{"routes":[{changed},{}],"services":[{}]}},"remove":{{"routes":["b","absent"],"services":["two"]}}}}"#,
        route("c", "/c/", "one"),
        service_json("three"),
    );
    let document =
        apply_body(&current, &ConfigurationBody::Patch(patch)).expect("it can be applied");
    let expected = full_configuration(
        4,
        &[changed, route("c", "/c/", "one")],
        &[service_json("one"), service_json("three")],
    );
    assert_eq!(document.render(), expected);
    assert!(document.check().is_ok());
}

#[test]
fn a_patch_with_an_invalid_result_is_refused() {
    let current = read_replacement(&two_queues(1)).expect("it can be read");
    let result = |patch: &str| apply_patch(&current, patch).and_then(|document| document.check());
    let error =
        result(r#"{"version":2,"remove":{"services":["two"]}}"#).expect_err("a route uses it");
    assert_eq!(error.path, "routes[1].service");
    let taken = format!(
        r#"{{"version":2,"upsert":{{"routes":[{}]}}}}"#,
        route("c", "/b/", "one")
    );
    assert_eq!(
        result(&taken).expect_err("the prefix is taken").path,
        "routes[2].path-prefix"
    );
    assert!(result(r#"{"version":2}"#).is_ok());
}

#[test]
fn a_patch_with_unknown_fields_is_refused() {
    let current = read_replacement(&two_queues(1)).expect("it can be read");
    for (patch, path) in [
        (r#"{"upsert":{}}"#, "version"),
        (r#"{"version":2,"limits":{}}"#, "limits"),
        (r#"{"version":2,"upsert":{"limits":{}}}"#, "upsert.limits"),
        (r#"{"version":2,"remove":{"limits":[]}}"#, "remove.limits"),
        (
            r#"{"version":2,"remove":{"routes":[5]}}"#,
            "remove.routes[0]",
        ),
        (r#"{"version":2,"remove":{"routes":"a"}}"#, "remove.routes"),
        (r#"{"version":2,"remove":["a"]}"#, "remove"),
        (
            r#"{"version":2,"upsert":{"routes":[{"host":"h"}]}}"#,
            "upsert.routes[0].name",
        ),
        (
            r#"{"version":2,"upsert":{"services":[{"name":"s"},{"name":"s"}]}}"#,
            "upsert.services[1].name",
        ),
    ] {
        assert_eq!(
            apply_patch(&current, patch)
                .expect_err("it is invalid")
                .path,
            path,
            "{patch}"
        );
    }
}

#[test]
fn a_patch_of_an_empty_configuration_lacks_the_limits() {
    let patched = apply_patch(&Default::default(), r#"{"version":1}"#).expect("its form is good");
    assert_eq!(
        patched.check().expect_err("it has no limits").path,
        "limits"
    );
}

#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    const DEPTH: usize = 200_000;
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let text = two_queues(1).replacen("\"type\":\"x\"", &format!("\"type\":{deep}"), 1);
    assert!(check_configuration(&text).is_ok());
    let text = two_queues(1).replacen("\"timeout-ms\":3000", &format!("\"timeout-ms\":{deep}"), 1);
    assert!(check_configuration(&text).is_err());
    assert!(check_configuration(&"[".repeat(DEPTH)).is_err());
}

quickcheck! {
    fn damage_never_panics_and_what_is_accepted_is_given_back(place: usize, byte: u8, insert: bool) -> bool {
        let mut bytes = two_queues(3).into_bytes();
        let place = place % bytes.len();
        if insert { bytes.insert(place, byte) } else { bytes[place] = byte }
        let Ok(text) = String::from_utf8(bytes) else { return true };
        match read_replacement(&text).and_then(|document| document.check().map(|_| document)) {
            Ok(document) => value(&document.render()) == value(&text),
            Err(_) => true,
        }
    }

    fn a_body_that_is_refused_by_itself_is_never_accepted(place: usize, byte: u8, insert: bool, replaces: bool) -> bool {
        let patched = format!(r#"{{"version":2,"upsert":{{"routes":[{}]}}}}"#, route("c", "/c/", "one"));
        let mut bytes = if replaces { two_queues(2) } else { patched }.into_bytes();
        let place = place % bytes.len();
        if insert { bytes.insert(place, byte) } else { bytes[place] = byte }
        let Ok(text) = String::from_utf8(bytes) else { return true };
        let order = if replaces { put(1, text) } else { patch(1, text) };
        let Operation::ChangeConfiguration(change) = &order else { return false };
        let mut state = ControlState::default();
        state.apply(&put(0, two_queues(1)));
        check_body(&change.body).is_ok() || state.apply(&order) != OperationResult::Done
    }

    fn any_text_is_read_without_panic(text: String) -> bool {
        let _ = apply_patch(&Default::default(), &text);
        check_configuration(&text).is_err()
    }
}

#[test]
fn a_duplicate_field_is_refused_with_its_path() {
    let text = two_queues(1);
    for (twice, path) in [
        (
            text.replacen("{\"version\":1,", "{\"version\":1,\"version\":1,", 1),
            "version",
        ),
        (
            text.replacen("{\"version\":1,", "{\"version\":1,\"limits\":{},", 1),
            "limits",
        ),
        (
            text.replacen("{\"name\":\"a\",", "{\"name\":\"a\",\"timeout-ms\":1,", 1),
            "routes[0].timeout-ms",
        ),
        (
            text.replacen(
                "{\"name\":\"one\",",
                "{\"name\":\"one\",\"name\":\"two\",",
                1,
            ),
            "services[0].name",
        ),
    ] {
        assert_ne!(twice, text);
        assert_eq!(error_path(&twice), path);
        assert_eq!(error_reason(&twice), InvalidReason::DuplicateField);
    }
    let current = read_replacement(&text).expect("it is good");
    let error = apply_patch(&current, r#"{"version":2,"remove":{},"remove":{}}"#)
        .expect_err("it comes twice");
    assert_eq!(
        (error.path.as_str(), error.reason),
        ("remove", InvalidReason::DuplicateField)
    );
}

#[test]
fn versions_at_the_ends_of_the_range_are_read_and_others_are_refused() {
    let with = |version: &str| {
        two_queues(1).replacen("\"version\":1,", &format!("\"version\":{version},"), 1)
    };
    assert_eq!(
        check_configuration(&with("18446744073709551615"))
            .expect("it is valid")
            .version,
        u64::MAX
    );
    let beyond = [
        "18446744073709551616",
        "99999999999999999999999",
        "-1",
        "-0",
        "1e3",
        "0.5",
        "null",
        "true",
        "\"1\"",
        "[1]",
    ];
    for version in beyond {
        assert_eq!(error_path(&with(version)), "version", "{version}");
    }
    assert_eq!(error_path(&with("0")), "version");
}

#[test]
fn a_repeated_body_is_refused() {
    let text = two_queues(1);
    for doubled in [
        format!("{text}{text}"),
        format!("{text}\n{text}"),
        format!("[{text}]"),
        format!("{text},"),
    ] {
        assert_eq!(error_path(&doubled), "configuration");
    }
}

#[test]
fn a_body_that_is_always_invalid_is_rejected_without_the_current_configuration() {
    let route_with = |from: &str, to: &str| route("c", "/c/", "one").replacen(from, to, 1);
    let upsert = |items: &str| format!(r#"{{"version":2,"upsert":{{"routes":[{items}]}}}}"#);
    let wrong = [
        "{".to_owned(),
        r#"{"version":0}"#.to_owned(),
        upsert(&route_with("\"timeout-ms\":3000", "\"timeout-ms\":0")),
        upsert(&format!(
            "{},{}",
            route("c", "/c/", "one"),
            route("d", "/c/", "one")
        )),
        upsert(&format!(
            "{},{}",
            route("c", "/c/", "one"),
            route("c", "/d/", "one")
        )),
        r#"{"version":2,"upsert":{"services":[{"name":"s","guards":7}]}}"#.to_owned(),
    ];
    for text in wrong {
        assert!(
            check_body(&ConfigurationBody::Patch(text.clone())).is_err(),
            "{text}"
        );
        let mut state = ControlState::default();
        state.apply(&put(0, two_queues(1)));
        assert_eq!(
            state.apply(&patch(1, text)),
            OperationResult::Refused(ErrorKind::InvalidConfiguration)
        );
    }
    assert!(check_body(&ConfigurationBody::Replacement(two_queues(0))).is_err());
    assert!(check_body(&ConfigurationBody::Replacement(
        two_queues(1).replacen("3000", "0", 1)
    ))
    .is_err());
}

#[test]
fn a_body_that_is_valid_for_some_configuration_passes_the_first_check() {
    let depends = [
        r#"{"version":1}"#.to_owned(),
        r#"{"version":2,"remove":{"services":["one"]}}"#.to_owned(),
        format!(
            r#"{{"version":2,"upsert":{{"routes":[{}]}}}}"#,
            route("c", "/a/", "unknown-here")
        ),
    ];
    for text in depends {
        assert_eq!(check_body(&ConfigurationBody::Patch(text)), Ok(()));
    }
    assert_eq!(
        check_body(&ConfigurationBody::Replacement(two_queues(1))),
        Ok(())
    );
}
