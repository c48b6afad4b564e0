//! `lupinrack buffer`: looks at the log of a write-back buffer that is closed. It changes nothing: a torn end is told of
//! and left for the front's own start to cut.

use crate::ended::Ended;
use clap::{Args, Subcommand};
use lupinrack_write_back::{
    inspect, Folder, FolderError, Moment, PendingWrite, Record, Recovered, RetryStatus, WriteTable,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// What can be done with a closed log.
#[derive(Debug, Subcommand)]
pub enum Buffer {
    /// List the writes that are not settled, with what may be done with each.
    Ls(Place),
    /// Read every record; exit 1 where the log is damaged.
    Verify(Place),
    /// List the writes that may have run and whose nodes must be asked first; exit 1 where there are any.
    InDoubt(Place),
    /// Write the bodies of all writes that are not settled into a folder, a file each.
    Export {
        #[command(flatten)]
        place: Place,
        /// The folder; it is made, and must not be there yet.
        #[arg(long)]
        to: PathBuf,
    },
}

/// Where the log is, and how to print.
#[derive(Clone, Debug, Args)]
pub struct Place {
    /// The log's folder.
    dir: PathBuf,
    /// The repeat window of keyed writes, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    window_ms: u32,
    /// Print one JSON object a write.
    #[arg(long)]
    json: bool,
}

/// A write as it is printed.
#[derive(Serialize)]
struct Row {
    write: u64,
    volume: String,
    plan: String,
    bytes: usize,
    key: String,
    target: String,
    attempts: usize,
    state: &'static str,
    nodes: Vec<String>,
    left_ms: Option<i64>,
}

/// Runs one of them.
pub fn run(what: &Buffer) -> Result<(), Ended> {
    match what {
        Buffer::Ls(place) => list(place, |_| true).map(drop),
        Buffer::InDoubt(place) => {
            match list(place, |s| matches!(s, RetryStatus::WindowExpired { .. }))? {
                0 => Ok(()),
                n => Err(Ended::failed(format!(
                    "{n} writes may have run; their nodes must be asked first"
                ))),
            }
        }
        Buffer::Verify(place) => verify(place),
        Buffer::Export { place, to } => export(place, to),
    }
}

/// Reads a log without changing it. One that a front has open is refused.
fn read(place: &Place) -> Result<(Recovered, WriteTable), Ended> {
    if !place.dir.is_dir() {
        return Err(Ended::wrong(format!(
            "{}: no such folder",
            place.dir.display()
        )));
    }
    let mut folder = Folder::open(&place.dir).map_err(|e| match e {
        FolderError::InUse(_) => {
            Ended::wrong(format!("{e}; its figures are in that program's log"))
        }
        e => Ended::wrong(e),
    })?;
    let found =
        inspect(&mut folder).map_err(|e| Ended::failed(format!("{}: {e}", place.dir.display())))?;
    let mut writes = WriteTable::default();
    found
        .records
        .iter()
        .for_each(|(sequence, record)| writes.apply(*sequence, record));
    Ok((found, writes))
}

fn now() -> Result<Moment, Ended> {
    Moment::now().map_err(|e| Ended::failed(format!("the time since boot: {e}")))
}

fn row(p: &PendingWrite, status: &RetryStatus) -> Row {
    let (state, nodes, left) = match status {
        RetryStatus::NeverSent => ("never sent", Vec::new(), None),
        RetryStatus::Stored => ("answered", Vec::new(), None),
        RetryStatus::WithinWindow { shard, remaining } => (
            "in window",
            vec![format!("shard {shard}")],
            Some(*remaining),
        ),
        RetryStatus::WindowExpired { nodes } => ("past window", nodes.clone(), None),
    };
    Row {
        write: p.accepted.write.0,
        volume: format!("{:016x}", p.accepted.volume),
        plan: p.accepted.plan.clone(),
        bytes: p.accepted.body.len(),
        key: String::from_utf8_lossy(&p.accepted.key).into_owned(),
        target: String::from_utf8_lossy(&p.accepted.target).into_owned(),
        attempts: p.attempts.len(),
        state,
        nodes,
        left_ms: left.map(|l| l / 1000),
    }
}

fn list(place: &Place, wanted: impl Fn(&RetryStatus) -> bool) -> Result<usize, Ended> {
    let ((_, writes), now) = (read(place)?, now()?);
    let window = i64::from(place.window_ms) * 1000;
    let mut count = 0;
    for p in writes.pending() {
        let status = p.retry_status(now, window);
        if !wanted(&status) {
            continue;
        }
        if count == 0 && !place.json {
            println!(
                "{:>8}  {:<16}  {:<10}{:>7}{:>9}  {:<12}{:<24}  key",
                "write", "volume", "plan", "bytes", "attempts", "state", "where"
            );
        }
        count += 1;
        let row = row(p, &status);
        if place.json {
            println!("{}", serde_json::to_string(&row).map_err(Ended::failed)?);
            continue;
        }
        println!(
            "{:>8}  {:<16}  {:<10}{:>7}{:>9}  {:<12}{:<24}  {}",
            row.write,
            row.volume,
            row.plan,
            row.bytes,
            row.attempts,
            row.state,
            row.nodes.join(","),
            row.key
        );
    }
    Ok(count)
}

fn verify(place: &Place) -> Result<(), Ended> {
    let (found, writes) = read(place)?;
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, record) in &found.records {
        let kind = match record {
            Record::Accepted(_) => "taken",
            Record::Attempt { .. } => "attempt",
            Record::AttemptEnded { .. } => "ended",
            Record::Resolved(_) => "settled",
            Record::Barrier { .. } => "barrier",
            Record::Flush { .. } => "flush",
        };
        *kinds.entry(kind).or_default() += 1;
    }
    let pending = writes.pending().count();
    if place.json {
        let (records, torn) = (found.records.len(), found.torn_bytes);
        let line = serde_json::json!({"records": records, "kinds": kinds, "pending": pending, "torn_bytes": torn});
        println!("{line}");
        return Ok(());
    }
    let mut text = format!(
        "{} records, {pending} writes not settled",
        found.records.len()
    );
    for (kind, count) in kinds {
        let _ = write!(text, "\n{kind:<10}{count:>8}");
    }
    if found.torn_bytes > 0 {
        let _ = write!(
            text,
            "\na torn end of {} bytes; the next start cuts it off",
            found.torn_bytes
        );
    }
    println!("{text}");
    Ok(())
}

fn export(place: &Place, to: &Path) -> Result<(), Ended> {
    let (_, writes) = read(place)?;
    std::fs::create_dir(to).map_err(|e| Ended::wrong(format!("{}: {e}", to.display())))?;
    let mut count = 0;
    for p in writes.pending() {
        let file = to.join(format!(
            "{:016x}-{:08}.body",
            p.accepted.volume, p.accepted.write.0
        ));
        std::fs::write(&file, &p.accepted.body)
            .map_err(|e| Ended::failed(format!("{}: {e}", file.display())))?;
        count += 1;
    }
    println!("{count} bodies in {}", to.display());
    Ok(())
}
