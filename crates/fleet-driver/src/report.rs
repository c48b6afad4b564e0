//! What a front knows of its fleet, as the admin interface reports it.

use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::{Counts, Status};
use lupinrack_policy::{Micros, QuotaShares};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// A snapshot of what a front knows of its fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Report {
    /// The name of this front.
    pub name: String,
    /// The process incarnation of this front.
    pub life: u64,
    /// The time of the snapshot on this front's monotonic clock, in microseconds.
    pub at_us: i64,
    /// How this front takes part in the fleet.
    pub stance: String,
    /// How much of the lease remains, in milliseconds; none without a lease.
    pub lease_left_ms: Option<i64>,
    /// When the right to use more than the reserve ends, on this front's monotonic clock, in microseconds.
    pub until_us: i64,
    /// The part of its even share that it may use without a lease.
    pub reserve: f64,
    /// What it may use of slow-start budgets now, as a multiple of its even share.
    pub part: f64,
    /// The number of volumes of which it may use more than its even share.
    pub taken_over: usize,
    /// The number of volumes with limits that it serves.
    pub volumes: usize,
    /// The number of the view accepted last.
    pub view: String,
    /// Whether this front leads.
    pub leads: bool,
    /// The local health score of Lifeguard; 0 is healthy.
    pub health: u32,
    /// All fronts of the roster.
    pub members: Vec<MemberReport>,
    /// Counters since the start of this process incarnation.
    pub counts: Counts,
}

/// What a front knows of one front.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct MemberReport {
    /// Its name.
    pub name: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// How long it has been in this state, in milliseconds.
    pub since_ms: i64,
    /// The front that reported this state.
    pub by: String,
    /// Its process incarnation.
    pub life: u64,
    /// Its incarnation.
    pub incarnation: u16,
    /// Whether the view lists it.
    pub in_view: bool,
}

impl Report {
    /// A report from the status of the membership and the quota shares of the request engine.
    pub fn new(
        section: &Section,
        now: Micros,
        status: &Status<'_>,
        shares: &QuotaShares,
    ) -> Report {
        let name = |front: u16| {
            section
                .member
                .get(usize::from(front))
                .map_or(String::new(), |m| m.name.clone())
        };
        let members = status
            .members
            .iter()
            .enumerate()
            .map(|(i, m)| MemberReport {
                name: name(i as u16),
                state: m.state.as_str().into(),
                since_ms: (now - m.since) / 1000,
                by: name(m.reported_by),
                life: m.process_incarnation,
                incarnation: m.incarnation,
                in_view: status.view.members.contains(i as u16),
            });
        Report {
            name: name(status.me),
            life: status.process_incarnation,
            at_us: now,
            stance: status.participation.as_str().into(),
            lease_left_ms: status.lease_remaining.map(|remaining| remaining / 1000),
            until_us: shares.valid_until,
            reserve: shares.reserve,
            part: if now < shares.valid_until {
                shares.slow_start
            } else {
                shares.reserve
            },
            taken_over: shares.volume_factors.values().filter(|f| **f > 1.0).count(),
            volumes: status.volumes,
            view: status.view.number.to_string(),
            leads: status.leads,
            health: status.health,
            members: members.collect(),
            counts: status.counts,
        }
    }

    /// The metrics, one per line, for the admin interface.
    pub fn metrics(&self) -> String {
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
