//! Finds senders that keep using a fencing token after a server refused it because of a higher one.

use crate::server::MAX_LEASE_MS;
use lupinrack_cluster_api::identity::FencingToken;
use std::collections::BTreeMap;

/// Number of commands under a refused token that may still be in transit, or follow from a message in transit.
const MAX_LATE_COMMANDS: u32 = 3;

/// A sender by machine and incarnation, and its refused token.
type RefusedSender = (usize, u64, FencingToken);

/// A refusal and the commands that followed it.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    first_at: u64,
    /// Commands under the token that came later than one lease after the first refusal.
    late_commands: u32,
}

/// The refusals by all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FencedSenders {
    refusals: BTreeMap<RefusedSender, Refusal>,
}

impl FencedSenders {
    /// Records that a server refused a command because it had seen a higher token. Returns true when the sender has kept
    /// using the token for longer than allowed, exactly once for each sender and token.
    pub(crate) fn refused(
        &mut self,
        machine: usize,
        incarnation: u64,
        token: FencingToken,
        now: u64,
    ) -> bool {
        let refusal = self
            .refusals
            .entry((machine, incarnation, token))
            .or_insert(Refusal {
                first_at: now,
                late_commands: 0,
            });
        if now > refusal.first_at + MAX_LEASE_MS {
            refusal.late_commands += 1;
        }
        refusal.late_commands == MAX_LATE_COMMANDS + 1
    }
}
