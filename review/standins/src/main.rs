//! `standins CASE ROOT FOLDER` plays a case of the review. ROOT is the root of the repository, FOLDER the case's folder,
//! which gets `record.txt`. With `TROUBLE=0` in the environment the case is played without its disruption.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case_cancel;
mod case_removed;
mod case_route;
mod case_twice;
mod cluster;
mod http;
mod json;
mod record;
mod server;

use record::Record;
use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// A case ends after this time at the latest.
const LIMIT: Duration = Duration::from_secs(110);

/// How often the rule was broken; or why the case could not run.
type Verdict = Result<usize, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE ROOT FOLDER");
        exit(2);
    };
    let record = match Record::begin(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        cluster::end_all();
        eprintln!("the case took too long");
        exit(2);
    });
    record.line(&format!("case {case}, trouble: {with_trouble}"));
    let root = Path::new(root);
    let verdict = match case.as_str() {
        "cancel" => case_cancel::play(root, &record, with_trouble),
        "removed" => case_removed::play(root, &record, with_trouble),
        "twice" => case_twice::play(root, &record, with_trouble),
        "route" => case_route::play(root, &record, with_trouble),
        _ => Err(format!("no case {case}")),
    };
    cluster::end_all();
    match verdict {
        Ok(0) => {
            record.line("the rule held");
            println!("{case}: the rule held");
        }
        Ok(breaks) => {
            record.line(&format!("the rule was broken {breaks} times"));
            println!("{case}: the rule was broken {breaks} times");
            exit(1);
        }
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            eprintln!("{case}: the case could not run: {reason}");
            exit(2);
        }
    }
}
