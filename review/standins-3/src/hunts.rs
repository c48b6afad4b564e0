//! Searches that found no fault; kept so that they can be run again: `review-3 shapes|odd|heavy|chaos
//! FOLDER`, with `SEED` for `chaos` and `JOB` for `heavy`.

use crate::cases::{configuration, is_success, ms, route, wait_state, HOST};
use crate::cluster::Cluster;
use crate::http::{self, Call};
use crate::record::Record;
use crate::Verdict;
use std::path::Path;
use std::thread::sleep;

/// Jobs of unusual shapes, all of which can be done.
pub fn shapes(root: &Path, record: &Record) -> Result<Verdict, String> {
    let cluster = Cluster::start(root, record.clone(), &configuration(1))?;
    let shapes = [
        ("zero needs", r#"[{"count":4,"estimate-ms":300}]"#),
        ("no estimate", r#"[{"count":4,"cpu":500,"mem-mb":100}]"#),
        ("cpu only", r#"[{"count":4,"cpu":500}]"#),
        (
            "whole server",
            r#"[{"count":4,"cpu":16000,"mem-mb":32768,"estimate-ms":300}]"#,
        ),
        (
            "one server, apart",
            r#"[{"count":7,"cpu":500,"mem-mb":100,"anti-affinity":1,"estimate-ms":300}]"#,
        ),
        (
            "label a",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"requires":"a","estimate-ms":300}]"#,
        ),
        (
            "unknown rack",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"affinity":"r-99","estimate-ms":300}]"#,
        ),
        (
            "speculative",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"speculative":true,"estimate-ms":300}]"#,
        ),
        (
            "gang 2",
            r#"[{"count":2,"cpu":500,"mem-mb":100,"gang":true,"estimate-ms":300}]"#,
        ),
        (
            "gang 1",
            r#"[{"count":1,"cpu":500,"mem-mb":100,"gang":true,"estimate-ms":300}]"#,
        ),
        (
            "gang same rack",
            r#"[{"count":2,"cpu":9000,"mem-mb":100,"gang":true,"same-rack":true,"estimate-ms":300}]"#,
        ),
        (
            "gang apart",
            r#"[{"count":3,"cpu":500,"mem-mb":100,"gang":true,"anti-affinity":1,"estimate-ms":300}]"#,
        ),
        (
            "gang zero needs",
            r#"[{"count":3,"gang":true,"estimate-ms":300}]"#,
        ),
        (
            "gang whole",
            r#"[{"count":3,"cpu":16000,"mem-mb":1000,"gang":true,"estimate-ms":300}]"#,
        ),
        (
            "gang wide",
            r#"[{"count":200,"cpu":200,"mem-mb":100,"gang":true,"estimate-ms":300}]"#,
        ),
        (
            "depends",
            r#"[{"count":2,"cpu":500,"estimate-ms":300},{"count":2,"cpu":500,"estimate-ms":300,"depends-on":[0]},{"count":2,"cpu":500,"estimate-ms":300,"depends-on":[0,1]}]"#,
        ),
        (
            "wide",
            r#"[{"count":3000,"cpu":100,"mem-mb":10,"estimate-ms":300}]"#,
        ),
        (
            "wrong estimate",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"estimate-ms":3000000}]"#,
        ),
        (
            "largest estimate",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"estimate-ms":4294967296}]"#,
        ),
        (
            "affinity and label",
            r#"[{"count":4,"cpu":500,"mem-mb":100,"affinity":"r-0","requires":"r-1","estimate-ms":300}]"#,
        ),
        (
            "long chain",
            r#"[{"count":1,"cpu":500},{"count":1,"cpu":500,"depends-on":[0]},{"count":1,"cpu":500,"depends-on":[1]},{"count":1,"cpu":500,"depends-on":[2]},{"count":1,"cpu":500,"depends-on":[3]}]"#,
        ),
    ];
    let mut open = Vec::new();
    for (number, (name, steps)) in shapes.iter().enumerate() {
        let path = format!("/fares/{:016x}", number + 1);
        let body = format!(r#"{{"spec":"ms=300","steps":{steps}}}"#);
        let answer = cluster.client(name, number % 2, "POST", HOST, &path, &body);
        if !is_success(&answer) {
            record.line(&format!("{name}: not accepted"));
        }
        let last = wait_state(&cluster, name, &path, &["succeeded", "failed"], ms(4000));
        if !last.is_some_and(|answer| answer.body.contains("succeeded")) {
            open.push(*name);
        }
    }
    sleep(ms(5000));
    for (number, (name, _)) in shapes.iter().enumerate() {
        let path = format!("/fares/{:016x}", number + 1);
        let answer = cluster.client(name, 0, "GET", HOST, &path, "");
        record.line(&format!("{name}: {answer:?}"));
    }
    Ok(if open.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("not done in time: {open:?}"))
    })
}

/// Odd configurations, and the answers to them; used to look for faults.
pub fn odd_configurations(root: &Path, record: &Record) -> Result<Verdict, String> {
    let cluster = Cluster::start(root, record.clone(), &configuration(1))?;
    let base = configuration(2);
    let with = |from: &str, to: &str| base.replacen(from, to, 1);
    let bodies = [
        ("name", with("\"name\":\"r-fares\"", "\"name\":7")),
        (
            "extension -1",
            with("\"extension\":4.0", "\"extension\":-1.0"),
        ),
        (
            "timeout 0.0",
            with("\"timeout-ms\":3000", "\"timeout-ms\":0.0"),
        ),
        (
            "timeout -5",
            with("\"timeout-ms\":3000", "\"timeout-ms\":-5"),
        ),
        (
            "timeout 0.5",
            with("\"timeout-ms\":3000", "\"timeout-ms\":0.5"),
        ),
        (
            "timeout text",
            with("\"timeout-ms\":3000", "\"timeout-ms\":\"3000\""),
        ),
        (
            "timeout huge",
            with(
                "\"timeout-ms\":3000",
                "\"timeout-ms\":99999999999999999999999",
            ),
        ),
        (
            "timeout 1e400",
            with("\"timeout-ms\":3000", "\"timeout-ms\":1e400"),
        ),
        (
            "timeout null",
            with("\"timeout-ms\":3000", "\"timeout-ms\":null"),
        ),
        ("version 2.5", with("\"version\":2", "\"version\":2.5")),
        ("version -2", with("\"version\":2", "\"version\":-2")),
        ("version text", with("\"version\":2", "\"version\":\"2\"")),
        ("version 1", with("\"version\":2", "\"version\":1")),
        (
            "priority 1e10",
            with("\"priority\":1", "\"priority\":10000000000"),
        ),
        ("priority -1", with("\"priority\":1", "\"priority\":-1")),
        (
            "retries 2^32",
            with("\"max-retries\":3", "\"max-retries\":4294967296"),
        ),
        (
            "routes null",
            "{\"version\":2,\"routes\":null,\"services\":[],\"limits\":{}}".to_owned(),
        ),
        ("route null", with("\"routes\":[", "\"routes\":[null,")),
        ("trailing", base.clone() + "}"),
        ("cut", base[..base.len() - 1].to_owned()),
        (
            "nested",
            with(
                "\"timeout-ms\":3000",
                &format!("\"timeout-ms\":{}", "[".repeat(100_000)),
            ),
        ),
        (
            "nested closed",
            with(
                "\"timeout-ms\":3000",
                &format!(
                    "\"timeout-ms\":{}{}",
                    "[".repeat(100_000),
                    "]".repeat(100_000)
                ),
            ),
        ),
        (
            "nested extra",
            with(
                "\"timeout-ms\":3000",
                &format!(
                    "\"timeout-ms\":3000,\"x\":{}{}",
                    "[".repeat(100_000),
                    "]".repeat(100_000)
                ),
            ),
        ),
        (
            "name escape",
            with("\"name\":\"r-fares\"", "\"name\":\"\\ud83d\\ude00\""),
        ),
        (
            "name lone",
            with("\"name\":\"r-fares\"", "\"name\":\"\\ud83d\""),
        ),
        (
            "name bad escape",
            with("\"name\":\"r-fares\"", "\"name\":\"\\u12\""),
        ),
        (
            "same place, other case",
            with(
                "\"routes\":[",
                &format!(
                    "\"routes\":[{},",
                    route("r-x", "Dock.Example", "/fares/", "chakra")
                ),
            ),
        ),
        (
            "same place",
            with(
                "\"routes\":[",
                &format!(
                    "\"routes\":[{},",
                    route("r-x", "dock.example", "/fares/", "chakra")
                ),
            ),
        ),
        (
            "service escape",
            with("\"service\":\"chakra\"", "\"service\":\"\\u0063hakra\""),
        ),
        ("no timeout", with("\"timeout-ms\":3000,", "")),
        ("plain", base.clone()),
    ];
    for (name, body) in &bodies {
        let call = Call {
            method: "PUT",
            path: "/lupinrack/config",
            host: "control",
            headers: "If-Match: 1\r\n".to_owned(),
            body,
        };
        let answer = http::call(cluster.control(0), &call, ms(3000));
        record.line(&format!("{name}: {answer:?}"));
        if is_success(&answer) && !name.starts_with("extension") {
            break;
        }
    }
    for number in 0..3 {
        let call = Call {
            method: "GET",
            path: "/lupinrack/config",
            host: "control",
            headers: String::new(),
            body: "",
        };
        record.line(&format!(
            "{:?}",
            http::call(cluster.control(number), &call, ms(3000))
        ));
    }
    Ok(Verdict::Held)
}

/// A job from the environment variable `JOB`, and how long other clients wait meanwhile.
pub fn heavy(root: &Path, record: &Record) -> Result<Verdict, String> {
    let mut cluster = Cluster::start(root, record.clone(), &configuration(1))?;
    let body = std::env::var("JOB").map_err(|error| error.to_string())?;
    cluster.client(
        "heavy client",
        0,
        "POST",
        HOST,
        "/fares/00000000000000e5",
        &body,
    );
    let mut slow = 0;
    for number in 0..100_u64 {
        let began = std::time::Instant::now();
        let path = format!("/plans/{number:016x}");
        cluster.client(
            "other",
            1,
            "POST",
            HOST,
            &path,
            r#"{"spec":"ms=100","steps":[{"count":1,"cpu":100,"estimate-ms":100}]}"#,
        );
        cluster.client("other", 1, "GET", HOST, "/fares/00000000000000e5", "");
        if began.elapsed() > ms(1000) {
            slow += 1;
        }
        cluster.enforce_memory()?;
        sleep(ms(300));
    }
    Ok(if slow > 0 {
        Verdict::Broken(format!("{slow} slow, {:?}", cluster.memory_kills()))
    } else {
        Verdict::Held
    })
}
