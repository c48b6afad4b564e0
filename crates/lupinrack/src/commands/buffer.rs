//! `lupinrack buffer`: inspects the closed log of a write-back buffer. It does not modify the log: a torn end is reported, and
//! the front truncates it at its next start.

use crate::command_error::CommandError;
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
        args: Place,
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

/// The printed form of a write.
#[derive(Serialize)]
struct PrintedWrite {
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

/// Runs the command.
pub fn run(command: &Buffer) -> Result<(), CommandError> {
    match command {
        Buffer::Ls(args) => list(args, |_| true).map(drop),
        Buffer::InDoubt(args) => {
            match list(args, |s| matches!(s, RetryStatus::WindowExpired { .. }))? {
                0 => Ok(()),
                count => Err(CommandError::failed(format!(
                    "{count} writes may have run; their nodes must be asked first"
                ))),
            }
        }
        Buffer::Verify(args) => verify(args),
        Buffer::Export { args, to } => export(args, to),
    }
}

/// Reads a log without modifying it. Fails if a front has the log open.
fn read_log(args: &Place) -> Result<(Recovered, WriteTable), CommandError> {
    if !args.dir.is_dir() {
        return Err(CommandError::invalid_input(format!(
            "{}: no such folder",
            args.dir.display()
        )));
    }
    let mut folder = Folder::open(&args.dir).map_err(|e| match e {
        FolderError::InUse(_) => {
            CommandError::invalid_input(format!("{e}; its figures are in that program's log"))
        }
        e => CommandError::invalid_input(e),
    })?;
    let recovered = inspect(&mut folder)
        .map_err(|e| CommandError::failed(format!("{}: {e}", args.dir.display())))?;
    let mut writes = WriteTable::default();
    recovered
        .records
        .iter()
        .for_each(|(sequence, record)| writes.apply(*sequence, record));
    Ok((recovered, writes))
}

fn now() -> Result<Moment, CommandError> {
    Moment::now().map_err(|e| CommandError::failed(format!("the time since boot: {e}")))
}

fn printed_row(pending_write: &PendingWrite, status: &RetryStatus) -> PrintedWrite {
    let (state, nodes, remaining) = match status {
        RetryStatus::NeverSent => ("never sent", Vec::new(), None),
        RetryStatus::Stored => ("answered", Vec::new(), None),
        RetryStatus::WithinWindow { shard, remaining } => (
            "in window",
            vec![format!("shard {shard}")],
            Some(*remaining),
        ),
        RetryStatus::WindowExpired { nodes } => ("past window", nodes.clone(), None),
    };
    PrintedWrite {
        write: pending_write.accepted.write.0,
        volume: format!("{:016x}", pending_write.accepted.volume),
        plan: pending_write.accepted.plan.clone(),
        bytes: pending_write.accepted.body.len(),
        key: String::from_utf8_lossy(&pending_write.accepted.key).into_owned(),
        target: String::from_utf8_lossy(&pending_write.accepted.target).into_owned(),
        attempts: pending_write.attempts.len(),
        state,
        nodes,
        left_ms: remaining.map(|micros| micros / 1000),
    }
}

fn list(args: &Place, filter: impl Fn(&RetryStatus) -> bool) -> Result<usize, CommandError> {
    let ((_, writes), now) = (read_log(args)?, now()?);
    let window = i64::from(args.window_ms) * 1000;
    let mut count = 0;
    for pending_write in writes.pending() {
        let status = pending_write.retry_status(now, window);
        if !filter(&status) {
            continue;
        }
        if count == 0 && !args.json {
            println!(
                "{:>8}  {:<16}  {:<10}{:>7}{:>9}  {:<12}{:<24}  key",
                "write", "volume", "plan", "bytes", "attempts", "state", "where"
            );
        }
        count += 1;
        let row = printed_row(pending_write, &status);
        if args.json {
            println!(
                "{}",
                serde_json::to_string(&row).map_err(CommandError::failed)?
            );
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

fn verify(args: &Place) -> Result<(), CommandError> {
    let (recovered, writes) = read_log(args)?;
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, record) in &recovered.records {
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
    if args.json {
        let (records, torn) = (recovered.records.len(), recovered.torn_bytes);
        let line = serde_json::json!({"records": records, "kinds": kinds, "pending": pending, "torn_bytes": torn});
        println!("{line}");
        return Ok(());
    }
    let mut text = format!(
        "{} records, {pending} writes not settled",
        recovered.records.len()
    );
    for (kind, count) in kinds {
        let _ = write!(text, "\n{kind:<10}{count:>8}");
    }
    if recovered.torn_bytes > 0 {
        let _ = write!(
            text,
            "\na torn end of {} bytes; the next start cuts it off",
            recovered.torn_bytes
        );
    }
    println!("{text}");
    Ok(())
}

fn export(args: &Place, to: &Path) -> Result<(), CommandError> {
    let (_, writes) = read_log(args)?;
    std::fs::create_dir(to)
        .map_err(|e| CommandError::invalid_input(format!("{}: {e}", to.display())))?;
    let mut count = 0;
    for pending_write in writes.pending() {
        let file = to.join(format!(
            "{:016x}-{:08}.body",
            pending_write.accepted.volume, pending_write.accepted.write.0
        ));
        std::fs::write(&file, &pending_write.accepted.body)
            .map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))?;
        count += 1;
    }
    println!("{count} bodies in {}", to.display());
    Ok(())
}
