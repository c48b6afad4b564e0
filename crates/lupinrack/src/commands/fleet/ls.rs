//! `lupinrack fleet ls|watch`: a front's knowledge of its fleet, asked at its door.

use crate::commands::admin::{exchange, Call};
use crate::ended::Ended;
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

/// Asks once.
pub fn run(ls: &Ls) -> Result<(), Ended> {
    let answer = exchange(ls.address, Call::Fleet)
        .map_err(|e| Ended::failed(format!("{}: {e}", ls.address)))?;
    let mut lines = answer.lines();
    let head = lines.next().unwrap_or("no answer");
    if !head.starts_with("200") {
        return Err(Ended::failed(format!("{}: {head}", ls.address)));
    }
    let line = lines.next().unwrap_or("");
    if ls.json {
        println!("{line}");
        return Ok(());
    }
    let report: Report = serde_json::from_str(line).map_err(Ended::failed)?;
    print!("{}", table(&report));
    Ok(())
}

/// Asks again and again; a front that does not answer is said so, and asked on.
pub fn watch(watch: &Watch) -> Result<(), Ended> {
    if !(0.05..=3600.0).contains(&watch.every) {
        return Err(Ended::wrong("--every: from 0.05 to 3600 seconds"));
    }
    let mut asked = 0;
    loop {
        if let Err(Ended::Failed(why)) = run(&watch.ls) {
            println!("{why}");
        }
        asked += 1;
        if asked == watch.count {
            return Ok(());
        }
        std::thread::sleep(Duration::from_secs_f64(watch.every));
        if !watch.ls.json {
            println!();
        }
    }
}

fn table(r: &Report) -> String {
    let lease = r.lease_left_ms.map_or("no lease".to_string(), |ms| {
        format!("lease {:.1} s", ms as f64 / 1000.0)
    });
    let leads = if r.leads { ", leads" } else { "" };
    let mut text = format!(
        "{}: {}, view {}{leads}, {lease}, uses {:.3} of its even part, more of {} of {} volumes\n\n",
        r.name, r.stance, r.view, r.part, r.taken_over, r.volumes
    );
    text += &format!(
        "{:<16}{:<9}{:>10}  {:<16}{:>12}{:>6}\n",
        "front", "state", "for s", "by", "incarnation", "view"
    );
    for m in &r.members {
        text += &format!(
            "{:<16}{:<9}{:>10.1}  {:<16}{:>12}{:>6}\n",
            m.name,
            m.state,
            m.since_ms as f64 / 1000.0,
            m.by,
            m.incarnation,
            if m.in_view { "in" } else { "-" }
        );
    }
    text
}
