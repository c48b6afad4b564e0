//! Waiters for writes to be stored by nodes.

use crate::accepted_write::WriteId;
use crate::action::{Acknowledgement, Action};
use crate::input::Waiter;
use std::collections::BTreeSet;

/// Kind of a waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlushKind {
    /// The client of a single write, which may also be written through.
    OwnWrite,
    /// A flush of the pending writes of a volume.
    Volume,
}

/// A waiter and the writes that it waits for.
#[derive(Clone, Debug)]
struct Flush {
    waiter: Waiter,
    remaining: BTreeSet<WriteId>,
    kind: FlushKind,
}

/// All waiters, in the order of their requests.
#[derive(Debug, Default)]
pub(super) struct Flushes {
    waiting: Vec<Flush>,
}

impl Flushes {
    /// Adds the client of a write, which waits for this write.
    pub(super) fn wait_for_write(&mut self, waiter: Waiter, write: WriteId) {
        self.waiting.push(Flush {
            waiter,
            remaining: BTreeSet::from([write]),
            kind: FlushKind::OwnWrite,
        });
    }

    /// Adds a flush that waits for these writes. Returns false if there are none.
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

    /// Removes a resolved write. Waiters without further writes are acknowledged: the client of the write with `own`, flushes
    /// as flushed.
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
