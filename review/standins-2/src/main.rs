//! Stand-ins and scripts of the second review: `review-standins-2 CASE PROGRAM FOLDER RECORD TROUBLE`.
//! Exit code 0: the rule held, 1: it was broken, 2: the case could not run.

mod cluster;
mod deployment;
mod gang_after_fault;
mod http;
mod idle_check;
mod json;
mod late_beats;
mod record;
mod retired_service;
mod servers;
mod suspicion;

use cluster::{end_all, Children};
use deployment::{note_logs, Verdict};
use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A script ends within this time, whatever happens.
const LIMIT: Duration = Duration::from_secs(115);

/// What a case gets.
pub struct Setting {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
    pub children: Children,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE PROGRAM FOLDER RECORD TROUBLE");
        exit(2);
    };
    let setting = Setting {
        program: program.into(),
        folder: folder.into(),
        record: Record::new(record.as_ref()),
        trouble: trouble != "0",
        children: Children::default(),
    };
    let children = setting.children.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        end_all(&children);
        exit(2);
    });
    setting
        .record
        .line(&format!("case {case}, trouble {}", setting.trouble));
    let verdict = match case.as_str() {
        "gang-after-fault" => gang_after_fault::run(&setting),
        "late-beats" => late_beats::run(&setting),
        "retired-service" => retired_service::run(&setting),
        "suspicion" => suspicion::run(&setting),
        _ => Verdict::CouldNotRun,
    };
    note_logs(&setting.folder, &setting.record);
    end_all(&setting.children);
    setting.record.line(&format!("verdict: {verdict:?}"));
    println!("{case}, trouble {}: {verdict:?}", setting.trouble);
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
