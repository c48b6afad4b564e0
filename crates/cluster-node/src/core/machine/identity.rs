//! Processes that claim a disk: each disk is at one address.

use super::*;

impl CoreMachine {
    /// How often a process claimed a disk that another has: one of the two runs on a copy of the other's data. Nothing
    /// of such a claim is taken.
    pub fn rejected_identity_claims(&self) -> u64 {
        self.rejected_identity_claims
    }

    pub(super) fn take_heartbeat(
        &mut self,
        voter: Voter,
        report: PeerReport,
        now: Millis,
    ) -> Result<(), DuplicateDisk> {
        self.check_view(voter.disk, voter.address)?;
        self.policy.receive_heartbeat(voter, report, now)
    }

    /// Notes whose connection this is; messages of the chain are taken on it from then on.
    pub(super) fn greet(
        &mut self,
        connection: u64,
        disk: DiskId,
        address: PeerAddress,
        now: Millis,
    ) {
        let claim = self
            .check_view(disk, address)
            .and_then(|()| self.policy.check_disk(disk, address, now));
        match claim {
            Ok(()) => {
                self.connections.insert(connection, disk);
            }
            Err(duplicate) => self.refuse(address, duplicate),
        }
    }

    /// A voter's disk is where the view says.
    fn check_view(&self, disk: DiskId, address: PeerAddress) -> Result<(), DuplicateDisk> {
        match self.agreement.current().address(disk) {
            Some(known_at) if known_at != address => Err(DuplicateDisk { disk, known_at }),
            _ => Ok(()),
        }
    }

    pub(super) fn refuse(&mut self, claimed_at: PeerAddress, duplicate: DuplicateDisk) {
        self.rejected_identity_claims += 1;
        let count = self.rejected_identity_claims;
        if count.is_power_of_two() {
            let DuplicateDisk { disk, known_at } = duplicate;
            let (claimed_at, known_at) = (claimed_at.0, known_at.0);
            spdlog::warn!(
                "{claimed_at} claims disk {:016x} of {known_at}: refused, {count} in all",
                disk.0
            );
        }
    }
}
