//! Golden files of log lines, levels and every error message, in `tests/golden`. `UPDATE_GOLDEN=1` rewrites the files.

use lupinrack_cluster_log::{
    error_chain, logger, Levels, LogError, MalformedLevels, LEVEL_VARIABLE,
};
use lupinrack_golden_files::{check_folder, GoldenFile};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The files that these tests generate.
const FILES: [&str; 3] = ["errors.txt", "levels.txt", "lines.txt"];

/// The placeholder for the time in the golden file, since the time differs between runs.
const TIME: &str = "YYYY-MM-DDThh:mm:ss.mmmZ";

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("golden")
}

/// Compares entries with a golden file, which has one `name: text` line per entry.
fn check(file: &str, built: &[(String, String)]) {
    assert!(FILES.contains(&file), "{file} is not listed");
    let mut golden = GoldenFile::open(folder().join(file));
    for (name, text) in built {
        golden.add(name, text);
    }
    golden.check();
}

/// The output of a logger without a filter.
fn written(log: impl Fn(&spdlog::Logger)) -> String {
    let sink = Arc::new(
        WriteSink::builder()
            .target(Vec::new())
            .build()
            .expect("a sink"),
    );
    let levels = "trace".parse().expect("good levels");
    let logger = logger(levels, sink.clone()).expect("a logger");
    log(&logger);
    String::from_utf8(sink.clone_target()).expect("text")
}

/// Checks that the time of a line has the form of [`TIME`], and replaces it by that placeholder.
fn without_time(line: &str) -> String {
    let line = line.strip_suffix('\n').expect("a whole line");
    assert!(!line.contains('\n'), "one line only: {line}");
    let (time, rest) = line.split_once(' ').expect("a time");
    let fits = |(given, wanted): (u8, u8)| match wanted {
        b'-' | b'T' | b':' | b'.' | b'Z' => given == wanted,
        _ => given.is_ascii_digit(),
    };
    assert_eq!(time.len(), TIME.len(), "{time}");
    assert!(time.bytes().zip(TIME.bytes()).all(fits), "{time}");
    format!("{TIME} {rest}")
}

/// Logs one event. The level of each macro is fixed by its name.
fn log_at(logger: &spdlog::Logger, level: Level) {
    match level {
        Level::Critical => spdlog::critical!(logger: logger, "disk {}: {} ms", "slow", 41),
        Level::Error => spdlog::error!(logger: logger, "disk {}: {} ms", "slow", 42),
        Level::Warn => spdlog::warn!(logger: logger, "disk {}: {} ms", "slow", 43),
        Level::Info => spdlog::info!(logger: logger, "disk {}: {} ms", "slow", 44),
        Level::Debug => spdlog::debug!(logger: logger, "disk {}: {} ms", "slow", 45),
        Level::Trace => spdlog::trace!(logger: logger, "disk {}: {} ms", "slow", 46),
    }
}

/// A nested module, whose path appears in log lines.
mod outer {
    pub mod inner {
        pub fn log(logger: &spdlog::Logger) {
            spdlog::info!(logger: logger, "in a module");
        }
    }
}

#[test]
fn lines_keep_their_form() {
    let mut entries: Vec<(String, String)> = Level::iter()
        .map(|level| {
            (
                level.to_string(),
                without_time(&written(|logger| log_at(logger, level))),
            )
        })
        .collect();
    let messages = [
        ("empty", ""),
        ("several lines", "first\nsecond\r\nthird\n"),
        ("quotes and backslashes", "\"a\" \\n b\t'c'"),
        ("other letters", "é ☃"),
    ];
    for (name, message) in messages {
        let line = written(|logger| spdlog::info!(logger: logger, "{message}"));
        entries.push((name.to_string(), without_time(&line)));
    }
    entries.push((
        "module".to_string(),
        without_time(&written(outer::inner::log)),
    ));
    check("lines.txt", &entries);
}

/// The levels at which events of a module are logged, the most severe first.
fn allowed(levels: &Levels, module: &str) -> String {
    let names = Level::iter()
        .filter(|level| levels.allow(module, *level))
        .map(|level| level.to_string());
    format!("[{}]", names.collect::<Vec<_>>().join(" "))
}

fn most_verbose(levels: &Levels) -> &'static str {
    match levels.most_verbose() {
        LevelFilter::Off => "off",
        LevelFilter::MoreSevereEqual(level) => level.as_str(),
        other => panic!("no filter of levels: {other:?}"),
    }
}

#[test]
fn levels_are_read_alike() {
    let texts = [
        "",
        "off",
        "critical",
        "error",
        "WARN",
        "info",
        "debug",
        "trace",
        "info,chain=debug",
        "warn, lupinrack_cluster-transport::peers = off, cluster-transport=trace",
    ];
    let modules = [
        "lupinrack_chain::member",
        "lupinrack_cluster_transport",
        "lupinrack_cluster_transport::peers::dial",
    ];
    let entries = texts.map(|text| {
        let levels: Levels = text.parse().expect("good levels");
        let by_module = modules.map(|module| format!("{module} {}", allowed(&levels, module)));
        (
            format!("{text:?}"),
            format!("widest {}; {}", most_verbose(&levels), by_module.join("; ")),
        )
    });
    check("levels.txt", &entries);
}

#[test]
fn errors_keep_their_texts() {
    let malformed = |text: &str| text.parse::<Levels>().expect_err("no levels");
    let name = |error: &LogError| match error {
        LogError::Levels(MalformedLevels(part)) => format!("levels {part:?}"),
        LogError::Library(_) => "library".to_string(),
    };
    let library = spdlog::Error::WriteRecord(io::Error::other("no space"));
    let errors = [
        LogError::Levels(malformed("info,loud")),
        LogError::Levels(malformed("chain=loud")),
        LogError::Levels(malformed("=info")),
        LogError::from(library),
    ];
    let told = |error: &LogError| (name(error), format!("{error} | {}", error_chain(error)));
    let mut entries: Vec<(String, String)> = errors.iter().map(told).collect();
    entries.push(("variable".to_string(), LEVEL_VARIABLE.to_string()));
    check("errors.txt", &entries);
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(folder(), FILES);
}
