//! Cases of the third review that are scripts. `review-standins-4 CASE FOLDER RECORD TROUBLE` plays one from the root of the
//! repository: its processes live in FOLDER, what was sent, answered and run goes to RECORD, and TROUBLE is 0 or 1. It ends
//! with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod server;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// What became of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record_path, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-standins-4 CASE FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let root = std::env::current_dir().expect("there is a working directory");
    let (folder, trouble) = (PathBuf::from(folder), trouble != "0");
    record.note(format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let (done_in, done) = std::sync::mpsc::channel();
    let (case, of_case) = (case.clone(), record.clone());
    std::thread::spawn(move || {
        let verdict = cases::play(&case, &root, &folder, trouble, &of_case);
        let _ = done_in.send(verdict);
    });
    // A case that panics or takes too long couldn't run. `run.sh` ends what it leaves behind.
    let verdict = done.recv_timeout(LIMIT).unwrap_or(Verdict::NotRun);
    let (line, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was BROKEN", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.note(line);
    if std::fs::write(record_path, record.text()).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
