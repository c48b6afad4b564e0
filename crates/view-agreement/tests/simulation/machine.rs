//! A simulated machine: its disk, and the process that runs on it.

use lupinrack_cluster_api::agreement::AgreementMessage;
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::Voter;
use lupinrack_view_agreement::{Agreement, PolicySettings, ViewPolicy, VoteState};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The settings of the policy, with the intervals of the production program.
pub const POLICY: PolicySettings = PolicySettings {
    heartbeat_ms: 100,
    suspect_after_ms: 700,
    min_suspect_after_ms: 350,
    tolerated_losses: 1,
    catch_up_ms: 4000,
};

/// A vote that is written and not synced yet, with the messages that wait for it.
#[derive(Clone)]
pub struct Write {
    pub vote: VoteState,
    pub then: Vec<(PeerAddress, AgreementMessage)>,
}

/// A running process.
#[derive(Clone)]
pub struct Process {
    pub incarnation: u64,
    pub agreement: Agreement,
    pub policy: ViewPolicy,
    pub writes: Vec<Write>,
    pub started: Millis,
    /// The incarnation of the sender of the last heartbeat from each address, and when it sent it.
    pub received: BTreeMap<PeerAddress, (u64, Millis)>,
    /// When the process began to drain.
    pub leaving_since: Option<Millis>,
}

#[derive(Clone)]
pub struct Machine {
    pub voter: Voter,
    pub stored: VoteState,
    pub disk_healthy: bool,
    pub process: Option<Process>,
}

pub fn address(index: usize) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 0, 0, index as u8),
        7000,
    ))
}

impl Machine {
    pub fn new(index: usize, disk: DiskId) -> Machine {
        let zone = format!("zone-{}", index % 3);
        let voter = Voter {
            disk,
            address: address(index),
            zone,
        };
        Machine {
            voter,
            stored: VoteState::default(),
            disk_healthy: true,
            process: None,
        }
    }

    pub fn start(&mut self, incarnation: u64, founders: Vec<PeerAddress>, now: Millis) {
        let agreement = Agreement::new(
            self.voter.clone(),
            incarnation,
            self.stored.clone(),
            founders,
        );
        let policy = ViewPolicy::new(POLICY, agreement.founders().to_vec());
        let writes = Vec::new();
        self.process = Some(Process {
            incarnation,
            agreement,
            policy,
            writes,
            started: now,
            received: BTreeMap::new(),
            leaving_since: None,
        });
    }

    /// Ends the process. The first `survivors` of the unsynced writes still reach the disk.
    pub fn kill(&mut self, survivors: usize) {
        let Some(process) = self.process.take() else {
            return;
        };
        if let Some(write) = process.writes.into_iter().take(survivors).next_back() {
            self.stored = write.vote;
        }
    }
}
