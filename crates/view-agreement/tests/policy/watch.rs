//! A policy at one machine, driven by heartbeats that a test makes up.

use crate::common::{address, disk, voter};
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_view_agreement::{PeerReport, PolicySettings, ViewPolicy};
use std::collections::BTreeMap;

pub const SETTINGS: PolicySettings = PolicySettings {
    heartbeat_ms: 150,
    suspect_after_ms: 700,
    min_suspect_after_ms: 700,
    tolerated_losses: 1,
    catch_up_ms: 4000,
};
pub const STEP_MS: u64 = 50;

/// What one machine says of itself.
#[derive(Clone)]
pub struct Heartbeat {
    pub voter: Voter,
    pub view_number: u64,
    pub healthy: bool,
    pub draining: bool,
    pub replica: ReplicaReport,
    /// Whether it receives what this machine sends.
    pub receives: bool,
    /// How much later than now a moment is that it claims to have received a heartbeat of, in milliseconds.
    pub claims_to_receive_later_ms: u64,
    /// The machines that it reports no link with, although they are there.
    pub apart_from: Vec<u8>,
}

/// A policy at one machine, and what the others say.
pub struct Watch {
    pub policy: ViewPolicy,
    pub me: u8,
    pub current: View,
    pub heartbeats: BTreeMap<u8, Heartbeat>,
    pub now: Millis,
}

impl Watch {
    pub fn new(me: u8, current: View, founders: &[u8]) -> Watch {
        let founders = founders.iter().map(|index| address(*index)).collect();
        let policy = ViewPolicy::new(SETTINGS, founders);
        Watch {
            policy,
            me,
            current,
            heartbeats: BTreeMap::new(),
            now: Millis(5000),
        }
    }

    /// The same with another number of tolerated losses; before anything was heard.
    pub fn tolerating(mut self, tolerated_losses: usize) -> Watch {
        let settings = PolicySettings {
            tolerated_losses,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
        self
    }

    /// The same where a process that is in time is suspected after this time already; before anything was heard.
    pub fn suspecting_after(mut self, min_suspect_after_ms: u64) -> Watch {
        let settings = PolicySettings {
            min_suspect_after_ms,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
        self
    }

    /// The same with another time to catch up.
    pub fn set_catch_up(&mut self, catch_up_ms: u64) {
        let settings = PolicySettings {
            catch_up_ms,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
    }

    /// Machines that are there, healthy, and in step with the current view; those in the chain have caught up.
    pub fn with(mut self, indices: &[u8]) -> Watch {
        for index in indices {
            self.add(*index);
        }
        self
    }

    pub fn add(&mut self, index: u8) {
        let complete = self.current.position(disk(index)).is_some();
        let replica = ReplicaReport {
            complete,
            ..ReplicaReport::default()
        };
        let heartbeat = Heartbeat {
            voter: voter(index),
            view_number: self.current.number,
            healthy: true,
            draining: false,
            replica,
            receives: true,
            claims_to_receive_later_ms: 0,
            apart_from: Vec::new(),
        };
        self.heartbeats.insert(index, heartbeat);
    }

    pub fn heartbeat(&mut self, index: u8) -> &mut Heartbeat {
        self.heartbeats
            .get_mut(&index)
            .expect("the machine is there")
    }

    /// The disks of the machines that one of them reports links with.
    fn linked_with(&self, index: u8) -> Vec<DiskId> {
        let apart_from = &self.heartbeats[&index].apart_from;
        let others = self.heartbeats.iter();
        others
            .filter(|(other, _)| !apart_from.contains(other))
            .map(|(_, heartbeat)| heartbeat.voter.disk)
            .collect()
    }

    /// The link between two machines works in neither direction, as both report.
    pub fn part(&mut self, one: u8, other: u8) {
        self.heartbeat(one).apart_from.push(other);
        self.heartbeat(other).apart_from.push(one);
    }

    /// Machines that are there no longer.
    pub fn lose(&mut self, indices: &[u8]) {
        self.heartbeats.retain(|index, _| !indices.contains(index));
    }

    /// All voters outside the chain could join it now.
    pub fn catch_all_up(&mut self) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.replica.caught_up = self.current.position(heartbeat.voter.disk).is_none();
        }
    }

    /// The view is agreed, and everybody who is there knows it; the members of its chain have everything.
    pub fn adopt(&mut self, view: View) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.view_number = view.number;
            heartbeat.replica.complete = view.position(heartbeat.voter.disk).is_some();
        }
        self.current = view;
    }

    /// Lets time pass until something is wanted, for so long at most; gives it and the time that passed.
    pub fn until_wanted(&mut self, milliseconds_most: u64) -> Option<(View, u64)> {
        let mut passed = 0;
        while passed < milliseconds_most {
            passed += STEP_MS;
            if let Some(view) = self.pass(STEP_MS) {
                return Some((view, passed));
            }
        }
        None
    }

    /// Has every wanted view agreed until nothing more is wanted for a second; gives the time until the last one.
    pub fn wait_until_stable(&mut self, milliseconds_most: u64) -> u64 {
        let began = self.now;
        let mut last = 0;
        while let Some((view, _)) = self.until_wanted(milliseconds_most) {
            self.adopt(view);
            last = self.now.since(began);
        }
        last
    }

    pub fn look(&mut self) -> Option<View> {
        self.policy
            .view_to_propose(&self.current, &voter(self.me), self.now)
    }

    /// Lets time pass, with heartbeats of all who are there; gives what is wanted at its end.
    pub fn pass(&mut self, milliseconds: u64) -> Option<View> {
        let mut wanted = None;
        for _ in 0..milliseconds / STEP_MS {
            self.now = self.now.plus(STEP_MS);
            for (index, heartbeat) in &self.heartbeats {
                let linked = self.linked_with(*index);
                let Heartbeat {
                    voter,
                    view_number,
                    healthy,
                    draining,
                    replica,
                    receives,
                    claims_to_receive_later_ms,
                    ..
                } = heartbeat.clone();
                let incarnation = u64::from(*index) + 1;
                let report = PeerReport {
                    incarnation,
                    view_number,
                    disk_healthy: healthy,
                    draining,
                    replica,
                    applied: 0,
                    acknowledged: (receives || claims_to_receive_later_ms > 0)
                        .then(|| self.now.plus(claims_to_receive_later_ms)),
                    linked,
                };
                // A refusal is what the tests of identities look at by themselves.
                let _ = self.policy.receive_heartbeat(voter, report, self.now);
            }
            wanted = self.look();
        }
        wanted
    }
}
