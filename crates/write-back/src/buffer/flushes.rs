//! Waiters for writes to reach nodes.

use crate::accepted_write::WriteId;
use crate::action::{Acknowledgement, Action};
use crate::input::Waiter;
use std::collections::BTreeSet;

/// What a waiter waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlushKind {
    /// It is the client of its one write, which may also be written through.
    OwnWrite,
    /// It asked for a flush of what was acknowledged before.
    Volume,
}

/// Who waits until nodes have some writes.
#[derive(Clone, Debug)]
struct Flush {
    waiter: Waiter,
    remaining: BTreeSet<WriteId>,
    kind: FlushKind,
}

/// All waiters for writes to reach nodes, in the order of their requests.
#[derive(Debug, Default)]
pub(super) struct Flushes {
    waiting: Vec<Flush>,
}

impl Flushes {
    /// The client of a write waits for it.
    pub(super) fn wait_for_write(&mut self, waiter: Waiter, write: WriteId) {
        self.waiting.push(Flush {
            waiter,
            remaining: BTreeSet::from([write]),
            kind: FlushKind::OwnWrite,
        });
    }

    /// A flush waits for these writes. Returns whether there is anything to wait for.
    pub(super) fn wait_for_all(&mut self, waiter: Waiter, writes: BTreeSet<WriteId>) -> bool {
        let any = !writes.is_empty();
        if any {
            self.waiting.push(Flush {
                waiter,
                remaining: writes,
                kind: FlushKind::Volume,
            });
        }
        any
    }

    /// A write is over: whoever waits for it, or for it as the last, is acknowledged; its own client with `own`.
    pub(super) fn resolve(
        &mut self,
        write: WriteId,
        own: Acknowledgement,
        actions: &mut Vec<Action>,
    ) {
        for flush in &mut self.waiting {
            if flush.remaining.remove(&write) && flush.remaining.is_empty() {
                let acknowledgement = match flush.kind {
                    FlushKind::OwnWrite => own,
                    FlushKind::Volume => Acknowledgement::Flushed,
                };
                actions.push(Action::Acknowledge(flush.waiter, acknowledgement));
            }
        }
        self.waiting.retain(|flush| !flush.remaining.is_empty());
    }
}
