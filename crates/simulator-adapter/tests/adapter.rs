//! The adapter as a program: batches in, replies out, and its errors on malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INFO: &str = "classes.count=1\nclasses.0.aim=300.0\nclasses.0.deadline=2000.0\nclasses.0.repeat=free\n\
    grades.count=0\nregistryMode=push\nsafety.stopSendingWithin=1000.0\nresolution=2.0\npeersTotal=1\n\
    policyLimits.mostTries=3\nsomething.new=unheard_of\n";

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lupinrack-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_vec();
    let writer = std::thread::spawn(move || {
        let _ = stdin.write_all(&input); // the program may have stopped at an earlier record
    });
    let out = child.wait_with_output().unwrap();
    writer.join().unwrap();
    out
}

fn batch(now: f64, records: &[(u8, Vec<u8>)]) -> Vec<u8> {
    let mut body = Vec::new();
    for (code, fields) in records {
        body.push(*code);
        body.extend((fields.len() as u32).to_be_bytes());
        body.extend(fields);
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(now.to_be_bytes());
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn start(info: &str) -> (u8, Vec<u8>) {
    let mut f = vec![0, 3];
    f.extend(42u64.to_be_bytes());
    f.extend((info.len() as u32).to_be_bytes());
    f.extend(info.as_bytes());
    (90, f)
}

fn node_list() -> (u8, Vec<u8>) {
    let mut f = vec![0, 3, 0, 0, 0, 1, 2, 0, 0, 0, 1];
    f.extend(1f32.to_be_bytes());
    f.extend([0, 0, 0, 0, 0, 0, 7, 0]);
    f.extend(0f64.to_be_bytes());
    f.extend([0, 5]);
    (60, f)
}

fn request(shard: f32) -> (u8, Vec<u8>) {
    let mut f = vec![0, 3, 0, 0, 0, 9];
    f.extend(2f32.to_be_bytes());
    f.extend(1f32.to_be_bytes());
    f.extend(12_000f64.to_be_bytes());
    f.extend(0u64.to_be_bytes());
    f.push(0);
    f.extend(0u32.to_be_bytes());
    f.extend(shard.to_be_bytes());
    f.extend(77u64.to_be_bytes());
    f.extend([0, 0]);
    (20, f)
}

/// The codes and fields of a reply's records.
fn records(reply: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let u32_at = |at: usize| u32::from_be_bytes(reply[at..at + 4].try_into().unwrap()) as usize;
    let mut at = 8;
    let mut records = Vec::new();
    for _ in 0..u32_at(0) {
        let length = u32_at(at + 1);
        records.push((reply[at], reply[at + 5..at + 5 + length].to_vec()));
        at += 5 + length;
    }
    assert_eq!(at - 8, u32_at(4));
    records
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let out = run(&batch(8284.0, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn a_request_is_sent_to_the_node_that_stores_its_shard() {
    let out = run(&batch(10_000.0, &[start(INFO), node_list(), request(5.0)]));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let mut expected = vec![0, 3, 0, 0, 0, 9, 0, 0, 0, 7];
    expected.extend(0f64.to_be_bytes());
    assert!(records(&out.stdout).contains(&(70, expected)));
}

#[test]
fn a_request_without_a_node_waits_with_a_timer() {
    let out = run(&batch(10_000.0, &[start(INFO), node_list(), request(6.0)]));
    let codes: Vec<u8> = records(&out.stdout).iter().map(|r| r.0).collect();
    assert_eq!(codes, [40]);
}

#[test]
fn a_missing_setting_is_named_in_a_crash_record() {
    for (removed, name) in [
        ("resolution=2.0\n", "resolution"),
        ("classes.0.aim=300.0\n", "classes.0.aim"),
    ] {
        let out = run(&batch(1.0, &[start(&INFO.replace(removed, ""))]));
        let reply = records(&out.stdout);
        assert_eq!(reply[0].0, 10);
        assert!(String::from_utf8_lossy(&reply[0].1).contains(name));
    }
}

#[test]
fn a_setting_that_does_not_parse_is_named() {
    let out = run(&batch(1.0, &[start(&INFO.replace("=300.0", "=soon"))]));
    assert!(String::from_utf8_lossy(&records(&out.stdout)[0].1).contains("classes.0.aim"));
}

#[test]
fn malformed_input_ends_with_an_error() {
    let good = batch(10_000.0, &[start(INFO), node_list(), request(5.0)]);
    let mut short_field = request(5.0);
    short_field.1.pop();
    let mut long_field = request(5.0);
    long_field.1.push(0);
    let mut wrong_count = batch(1.0, &[node_list()]);
    wrong_count[15] = 2;
    let cases: [(&str, Vec<u8>, &str); 8] = [
        (
            "a frame cut short",
            good[..good.len() - 3].to_vec(),
            "input ends inside",
        ),
        (
            "a header cut short",
            good[..2].to_vec(),
            "input ends inside",
        ),
        (
            "a record too short",
            batch(1.0, &[start(INFO), short_field]),
            "ingress",
        ),
        (
            "a record too long",
            batch(1.0, &[start(INFO), long_field]),
            "too many",
        ),
        (
            "an unknown code",
            batch(1.0, &[(7, vec![0, 3])]),
            "unknown record code 7",
        ),
        ("more records than there are", wrong_count, "batch"),
        (
            "an unknown outcome",
            batch(1.0, &[start(INFO), (10, [&[0, 3][..], &[0; 15]].concat())]),
            "outcome 0",
        ),
        ("a length out of range", vec![255; 16], "out of range"),
    ];
    for (case, input, message) in cases {
        let out = run(&input);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{case}");
        assert!(error.contains(message), "{case}: {error}");
    }
}

#[test]
fn a_stopped_instance_gets_no_events() {
    let stop = (100, vec![0, 3]);
    let out = run(&batch(
        10_000.0,
        &[start(INFO), node_list(), stop, request(5.0)],
    ));
    assert!(out.status.success());
    assert!(records(&out.stdout).iter().all(|r| r.0 != 70));
}
