//! The cases of the third review that are scripts: `review-3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run. With `TROUBLE=0` the same is done without the disruption.

mod cases;
mod chaos;
mod cluster;
mod http;
mod hunts;
mod json;
mod record;
mod server;

use record::Record;
use std::path::{Path, PathBuf};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("review-3 CASE FOLDER");
        std::process::exit(2);
    };
    let root = root_of(Path::new(folder));
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            std::process::exit(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let verdict = cases::play(case, &root, &record, has_trouble);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::NotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    if record.unwritten_run_lines() > 0 {
        record.line(&format!(
            "{} further starts and ends of runs",
            record.unwritten_run_lines()
        ));
    }
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

/// The root of the repository: a case's folder is `review/N`.
fn root_of(folder: &Path) -> PathBuf {
    let folder = folder.canonicalize().unwrap_or_else(|_| folder.to_owned());
    folder.ancestors().nth(2).unwrap_or(&folder).to_owned()
}
