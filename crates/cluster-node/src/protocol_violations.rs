//! Logs internal connections that were closed because what was received on them violated the protocol.

use lupinrack_cluster_transport::peers::Peers;

/// The number of such connections that were logged.
#[derive(Debug, Default)]
pub(crate) struct ProtocolViolationLog {
    reported: u64,
}

impl ProtocolViolationLog {
    /// Looks at the count, and says so where it has risen.
    pub(crate) fn report_new(&mut self, peers: &Peers) {
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
