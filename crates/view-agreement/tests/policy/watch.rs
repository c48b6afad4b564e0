//! A policy at one machine, driven by heartbeats that the test defines.

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

/// The contents of the heartbeats of one machine.
#[derive(Clone)]
pub struct Heartbeat {
    pub voter: Voter,
    pub view_number: u64,
    pub healthy: bool,
    pub draining: bool,
    pub replica: ReplicaReport,
    /// Whether the machine receives the heartbeats of the policy's machine.
    pub receives: bool,
    /// How many milliseconds after now the send time is of the heartbeat that the machine claims to have received.
    pub claims_to_receive_later_ms: u64,
    /// The machines that are present and that this machine reports no link with.
    pub reported_unlinked: Vec<u8>,
}

/// A policy at one machine, and the heartbeats of the others.
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

    /// Changes the number of tolerated losses; to be called before any heartbeat.
    pub fn tolerating(mut self, tolerated_losses: usize) -> Watch {
        let settings = PolicySettings {
            tolerated_losses,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
        self
    }

    /// Changes the minimum timeout; to be called before any heartbeat.
    pub fn suspecting_after(mut self, min_suspect_after_ms: u64) -> Watch {
        let settings = PolicySettings {
            min_suspect_after_ms,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
        self
    }

    /// Changes the time to catch up.
    pub fn set_catch_up_ms(&mut self, catch_up_ms: u64) {
        let settings = PolicySettings {
            catch_up_ms,
            ..SETTINGS
        };
        self.policy = ViewPolicy::new(settings, Vec::new());
    }

    /// Adds machines that are present, healthy, and know the current view; those in the chain have caught up.
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
            reported_unlinked: Vec::new(),
        };
        self.heartbeats.insert(index, heartbeat);
    }

    pub fn heartbeat(&mut self, index: u8) -> &mut Heartbeat {
        self.heartbeats
            .get_mut(&index)
            .expect("the machine is present")
    }

    /// The disks of the machines that one of them reports links with.
    fn linked_with(&self, index: u8) -> Vec<DiskId> {
        let reported_unlinked = &self.heartbeats[&index].reported_unlinked;
        let others = self.heartbeats.iter();
        others
            .filter(|(other, _)| !reported_unlinked.contains(other))
            .map(|(_, heartbeat)| heartbeat.voter.disk)
            .collect()
    }

    /// Breaks the link between two machines in both directions, as both report.
    pub fn break_link(&mut self, one: u8, other: u8) {
        self.heartbeat(one).reported_unlinked.push(other);
        self.heartbeat(other).reported_unlinked.push(one);
    }

    /// Removes machines.
    pub fn lose(&mut self, indices: &[u8]) {
        self.heartbeats.retain(|index, _| !indices.contains(index));
    }

    /// Makes all voters outside the chain caught up.
    pub fn catch_all_up(&mut self) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.replica.caught_up = self.current.position(heartbeat.voter.disk).is_none();
        }
    }

    /// Makes a view agreed and known to every machine; the members of its chain have everything.
    pub fn adopt(&mut self, view: View) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.view_number = view.number;
            heartbeat.replica.complete = view.position(heartbeat.voter.disk).is_some();
        }
        self.current = view;
    }

    /// Advances time until a view is proposed, at most by `max_ms`. Returns the view and the time that passed.
    pub fn until_wanted(&mut self, max_ms: u64) -> Option<(View, u64)> {
        let mut passed = 0;
        while passed < max_ms {
            passed += STEP_MS;
            if let Some(view) = self.advance(STEP_MS) {
                return Some((view, passed));
            }
        }
        None
    }

    /// Agrees on every proposed view until none is proposed for a second. Returns the time until the last one.
    pub fn wait_until_stable(&mut self, max_ms: u64) -> u64 {
        let began = self.now;
        let mut last = 0;
        while let Some((view, _)) = self.until_wanted(max_ms) {
            self.adopt(view);
            last = self.now.since(began);
        }
        last
    }

    pub fn view_to_propose_now(&mut self) -> Option<View> {
        self.policy
            .view_to_propose(&self.current, &voter(self.me), self.now)
    }

    /// Advances time with heartbeats of all machines. Returns the view proposed at the end.
    pub fn advance(&mut self, milliseconds: u64) -> Option<View> {
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
                // Rejected heartbeats are checked by the tests of identities.
                let _ = self.policy.receive_heartbeat(voter, report, self.now);
            }
            wanted = self.view_to_propose_now();
        }
        wanted
    }
}
