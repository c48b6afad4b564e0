//! What a front knows of its fleet, as the door tells it.

use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::{Counts, Status};
use lupinrack_policy::{Micros, QuotaShares};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// One front's knowledge of all, at one moment.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// Its life: unique for each start.
    pub life: u64,
    /// The moment on its own monotonic clock, in microseconds.
    pub at_us: i64,
    /// How it stands towards the fleet.
    pub stance: String,
    /// What is left of its lease, in milliseconds; none: it holds none.
    pub lease_left_ms: Option<i64>,
    /// Until when, on its own clock in microseconds, it may use more than its reserve.
    pub until_us: i64,
    /// The share of its even part that it may use whatever happens.
    pub reserve: f64,
    /// How many times its even part of cold budgets it may use now.
    pub part: f64,
    /// Volumes of which it may use more than its even part.
    pub taken_over: usize,
    /// Volumes with limits that it serves.
    pub volumes: usize,
    /// The view accepted last.
    pub view: String,
    /// Whether it leads.
    pub leads: bool,
    /// Local health; 0 is well.
    pub health: u32,
    /// All fronts of the roster.
    pub members: Vec<Line>,
    /// What was counted, from the start of this life on.
    pub counts: Counts,
}

/// One front as another holds it.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// For how long, in milliseconds.
    pub since_ms: i64,
    /// By whose word.
    pub by: String,
    /// Its life.
    pub life: u64,
    /// Its incarnation.
    pub incarnation: u16,
    /// Whether the view lists it.
    pub in_view: bool,
}

impl Report {
    /// What is told, in words.
    pub fn new(section: &Section, now: Micros, told: &Status<'_>, rights: &QuotaShares) -> Report {
        let name = |i: u16| {
            section
                .member
                .get(usize::from(i))
                .map_or(String::new(), |m| m.name.clone())
        };
        let members = told.members.iter().enumerate().map(|(i, m)| Line {
            name: name(i as u16),
            state: m.state.as_str().into(),
            since_ms: (now - m.since) / 1000,
            by: name(m.reported_by),
            life: m.process_incarnation,
            incarnation: m.incarnation,
            in_view: told.view.members.contains(i as u16),
        });
        Report {
            name: name(told.me),
            life: told.process_incarnation,
            at_us: now,
            stance: told.participation.as_str().into(),
            lease_left_ms: told.lease_remaining.map(|l| l / 1000),
            until_us: rights.valid_until,
            reserve: rights.reserve,
            part: if now < rights.valid_until {
                rights.slow_start
            } else {
                rights.reserve
            },
            taken_over: rights.volume_factors.values().filter(|f| **f > 1.0).count(),
            volumes: told.volumes,
            view: told.view.number.to_string(),
            leads: told.leads,
            health: told.health,
            members: members.collect(),
            counts: told.counts,
        }
    }

    /// A line a figure, for the door.
    pub fn figures(&self) -> String {
        let mut text = String::new();
        for state in ["unknown", "alive", "suspect", "dead", "left"] {
            let count = self.members.iter().filter(|m| m.state == state).count();
            let _ = writeln!(text, "lb_fleet_members{{state=\"{state}\"}} {count}");
        }
        let _ = writeln!(text, "lb_fleet_stance{{stance=\"{}\"}} 1", self.stance);
        let _ = writeln!(text, "lb_fleet_part {:.4}", self.part);
        for (name, value) in [
            (
                "lease_left_ms",
                self.lease_left_ms.unwrap_or(0).max(0) as u64,
            ),
            (
                "in_view",
                self.members.iter().filter(|m| m.in_view).count() as u64,
            ),
            ("leads", u64::from(self.leads)),
            ("health", u64::from(self.health)),
            ("taken_over", self.taken_over as u64),
            ("views", self.counts.views),
            ("datagrams_sent", self.counts.sent),
            ("bytes_sent", self.counts.bytes),
            ("datagrams_taken", self.counts.accepted),
            ("datagrams_void", self.counts.invalid),
            ("datagrams_stale", self.counts.stale),
            ("datagrams_held_back", self.counts.rate_limited),
        ] {
            let _ = writeln!(text, "lb_fleet_{name} {value}");
        }
        text
    }
}
