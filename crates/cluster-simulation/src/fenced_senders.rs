//! Who goes on under a fencing token although a server has refused it for a higher one.

use crate::server::LEASE_MOST_MS;
use lupinrack_cluster_api::identity::FencingToken;
use std::collections::BTreeMap;

/// So many orders under a refused token may still be on their way, or be due to a message that was.
const LATE_ORDERS_MOST: u32 = 3;

/// A sender, by its machine and incarnation, and the token that it was refused with.
type RefusedSender = (usize, u64, FencingToken);

/// What followed a refusal.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    first_at: u64,
    /// Orders under the token that came later than a lease after the first refusal.
    late_orders: u32,
}

/// The refusals that servers have given.
#[derive(Clone, Debug, Default)]
pub(crate) struct FencedSenders {
    refusals: BTreeMap<RefusedSender, Refusal>,
}

impl FencedSenders {
    /// Notes that a server refused an order under a token lower than one that it has seen. True once the sender has gone
    /// on for longer than it may: exactly once for each sender and token.
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
                late_orders: 0,
            });
        if now > refusal.first_at + LEASE_MOST_MS {
            refusal.late_orders += 1;
        }
        refusal.late_orders == LATE_ORDERS_MOST + 1
    }
}
