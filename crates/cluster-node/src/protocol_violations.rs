//! Tells the log of internal connections that were closed because what came on them broke the protocol.

use lupinrack_cluster_transport::peers::Peers;

/// How many such connections the log was told of.
#[derive(Debug, Default)]
pub struct ProtocolViolationLog {
    reported: u64,
}

impl ProtocolViolationLog {
    /// Looks at the count, and says so where it has risen.
    pub fn report_new(&mut self, peers: &Peers) {
        let total = peers.protocol_violations();
        if total > self.reported {
            spdlog::warn!(
                "closed {} connections that broke the protocol, {total} in all",
                total - self.reported
            );
            self.reported = total;
        }
    }
}
