//! `lupinrack fleet ls|watch`: prints what a front knows of its fleet, read from its admin interface.

use crate::command_error::CommandError;
use crate::commands::admin::{exchange, Call};
use clap::Args;
use lupinrack_fleet_driver::Report;
use std::net::SocketAddr;
use std::time::Duration;

/// Whom to ask.
#[derive(Debug, Args)]
pub struct Ls {
    /// The door's address: `management` in the front's configuration.
    address: SocketAddr,
    /// Print the JSON object as the front tells it.
    #[arg(long)]
    json: bool,
}

/// Whom to ask, and how often.
#[derive(Debug, Args)]
pub struct Watch {
    #[command(flatten)]
    ls: Ls,
    /// Seconds between two questions.
    #[arg(long, default_value_t = 1.0)]
    every: f64,
    /// Ends after so many answers; 0: never.
    #[arg(long, default_value_t = 0)]
    count: u64,
}

/// Prints the report once.
pub fn run(ls: &Ls) -> Result<(), CommandError> {
    let answer = exchange(ls.address, Call::Fleet)
        .map_err(|e| CommandError::failed(format!("{}: {e}", ls.address)))?;
    let mut lines = answer.lines();
    let head = lines.next().unwrap_or("no answer");
    if !head.starts_with("200") {
        return Err(CommandError::failed(format!("{}: {head}", ls.address)));
    }
    let line = lines.next().unwrap_or("");
    if ls.json {
        println!("{line}");
        return Ok(());
    }
    let report: Report = serde_json::from_str(line).map_err(CommandError::failed)?;
    print!("{}", table(&report));
    Ok(())
}

/// Prints the report at an interval. Errors of a call are printed and do not end the loop.
pub fn watch(watch: &Watch) -> Result<(), CommandError> {
    if !(0.05..=3600.0).contains(&watch.every) {
        return Err(CommandError::invalid_input(
            "--every: from 0.05 to 3600 seconds",
        ));
    }
    let mut calls = 0;
    loop {
        if let Err(CommandError::Failed(message)) = run(&watch.ls) {
            println!("{message}");
        }
        calls += 1;
        if calls == watch.count {
            return Ok(());
        }
        std::thread::sleep(Duration::from_secs_f64(watch.every));
        if !watch.ls.json {
            println!();
        }
    }
}

fn table(report: &Report) -> String {
    let lease = report.lease_left_ms.map_or("no lease".to_string(), |ms| {
        format!("lease {:.1} s", ms as f64 / 1000.0)
    });
    let leader = if report.leads { ", leads" } else { "" };
    let mut text = format!(
        "{}: {}, view {}{leader}, {lease}, uses {:.3} of its even part, more of {} of {} volumes\n\n",
        report.name, report.stance, report.view, report.part, report.taken_over, report.volumes
    );
    text += &format!(
        "{:<16}{:<9}{:>10}  {:<16}{:>12}{:>6}\n",
        "front", "state", "for s", "by", "incarnation", "view"
    );
    for member in &report.members {
        text += &format!(
            "{:<16}{:<9}{:>10.1}  {:<16}{:>12}{:>6}\n",
            member.name,
            member.state,
            member.since_ms as f64 / 1000.0,
            member.by,
            member.incarnation,
            if member.in_view { "in" } else { "-" }
        );
    }
    text
}
