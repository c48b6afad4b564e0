//! Filtering of events by level, and the format of log lines.

use lupinrack_cluster_log::{error_chain, logger, Levels, MalformedLevels};
use quickcheck::quickcheck;
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter};
use std::error::Error;
use std::fmt;
use std::sync::Arc;

fn levels(text: &str) -> Levels {
    text.parse().expect("good levels")
}

/// The output of a logger with these levels.
fn written(text: &str, log: impl Fn(&spdlog::Logger)) -> String {
    let sink = Arc::new(
        WriteSink::builder()
            .target(Vec::new())
            .build()
            .expect("a sink"),
    );
    let logger = logger(levels(text), sink.clone()).expect("a logger");
    log(&logger);
    String::from_utf8(sink.clone_target()).expect("text")
}

#[test]
fn info_is_the_default() {
    let levels = levels("");
    assert_eq!(levels, Levels::default());
    assert!(levels.allow("lupinrack_chain", Level::Info));
    assert!(!levels.allow("lupinrack_chain", Level::Debug));
    assert_eq!(
        levels.most_verbose(),
        LevelFilter::MoreSevereEqual(Level::Info)
    );
}

#[test]
fn the_level_of_a_module_applies_to_its_submodules() {
    let levels = levels("warn, chain=debug, cluster-transport::peers = off");
    assert!(levels.allow("lupinrack_chain", Level::Debug));
    assert!(levels.allow("lupinrack_chain::member", Level::Debug));
    assert!(!levels.allow("lupinrack_chain::member", Level::Trace));
    assert!(!levels.allow("lupinrack_chains", Level::Info));
    assert!(levels.allow("lupinrack_cluster_transport", Level::Warn));
    assert!(!levels.allow("lupinrack_cluster_transport::peers::link", Level::Critical));
    assert_eq!(
        levels.most_verbose(),
        LevelFilter::MoreSevereEqual(Level::Debug)
    );
}

#[test]
fn the_earlier_name_of_a_renamed_crate_is_accepted() {
    let levels = levels("warn,cluster-net::peers=off,lupinrack_cluster_settings=trace");
    assert!(!levels.allow("lupinrack_cluster_transport::peers", Level::Critical));
    assert!(levels.allow("lupinrack_cluster_transport", Level::Warn));
    assert!(levels.allow("lupinrack_node_settings", Level::Trace));
    assert!(!levels.allow("lupinrack_cluster_networks", Level::Info));
}

#[test]
fn the_longest_module_decides() {
    for text in [
        "error,chain=trace,chain::member=warn",
        "error,chain::member=warn,lupinrack_chain=trace",
    ] {
        let levels = levels(text);
        assert!(levels.allow("lupinrack_chain::head", Level::Trace));
        assert!(!levels.allow("lupinrack_chain::member", Level::Info));
        assert!(!levels.allow("lupinrack_request_engine", Level::Warn));
    }
}

#[test]
fn all_events_can_be_turned_off() {
    let levels = levels("off");
    assert!(!levels.allow("lupinrack_chain", Level::Critical));
    assert_eq!(levels.most_verbose(), LevelFilter::Off);
}

#[test]
fn malformed_levels_are_named_in_the_error() {
    for part in ["loud", "chain=loud", "=info", "chain="] {
        let text = format!("info,{part}");
        assert_eq!(
            text.parse::<Levels>(),
            Err(MalformedLevels(part.to_string()))
        );
    }
}

#[test]
fn an_event_is_one_line() {
    let text = written(
        "info",
        |logger| spdlog::warn!(logger: logger, "disk slow: {} ms\nonce", 40),
    );
    let (time, rest) = text.split_once(' ').expect("a time");
    assert_eq!(
        rest,
        format!("warn {} disk slow: 40 ms\\nonce\n", module_path!())
    );
    assert_eq!(time.len(), "2024-01-01T00:00:00.000Z".len());
    assert!(
        time.ends_with('Z') && time.as_bytes()[10] == b'T' && time.as_bytes()[19] == b'.',
        "{time}"
    );
}

#[test]
fn events_below_the_level_of_their_module_are_not_written() {
    let log = |logger: &spdlog::Logger| {
        spdlog::debug!(logger: logger, "detail");
        spdlog::error!(logger: logger, "fault");
    };
    assert_eq!(written("info,other=debug", log).lines().count(), 1);
    assert_eq!(
        written(&format!("off,{}=debug", module_path!()), log)
            .lines()
            .count(),
        2
    );
    assert_eq!(written("debug,log=off", log), "");
}

#[derive(Debug)]
struct Layer(&'static str, Option<Box<Layer>>);

impl fmt::Display for Layer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl Error for Layer {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.1.as_deref().map(|cause| cause as &dyn Error)
    }
}

#[test]
fn the_text_of_an_error_contains_its_causes() {
    let cause = Layer("permission denied", None);
    let error = Layer(
        "cannot open the log",
        Some(Box::new(Layer("cannot read", Some(Box::new(cause))))),
    );
    assert_eq!(
        error_chain(&error),
        "cannot open the log: cannot read: permission denied"
    );
}

quickcheck! {
    fn no_text_causes_a_panic(text: String, module: String) -> bool {
        let read = text.parse::<Levels>();
        read.map_or(true, |levels| levels.allow(&module, Level::Info) || !levels.allow(&module, Level::Trace))
    }

    fn allowed_events_pass_the_most_verbose_filter(default: u8, module: u8, event: u8) -> bool {
        let level_names = ["off", "critical", "error", "warn", "info", "debug", "trace"];
        let level_name = |number: u8| level_names[usize::from(number) % level_names.len()];
        let levels = levels(&format!("{},chain={}", level_name(default), level_name(module)));
        let level = level_name(1 + event % 6).parse().expect("a level");
        ["lupinrack_chain", "lupinrack_other"].iter().all(|module| {
            !levels.allow(module, level) || levels.most_verbose().test(level)
        })
    }
}
