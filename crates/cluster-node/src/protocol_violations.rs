//! Logs internal connections that were closed because the peer violated the protocol.

use lupinrack_cluster_transport::peers::Peers;

/// The number of violations that were logged.
#[derive(Debug, Default)]
pub(crate) struct ProtocolViolationLog {
    reported: u64,
}

impl ProtocolViolationLog {
    /// Logs the violations since the last call, if there are any.
    pub(crate) fn report_new(&mut self, peers: &Peers) {
        let total = peers.protocol_violations();
        if total > self.reported {
            spdlog::warn!(
                "closed {} connections for protocol violations, {total} in all",
                total - self.reported
            );
            self.reported = total;
        }
    }
}
