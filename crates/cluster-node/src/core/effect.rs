//! What reaches a core process, and what it has its driver do.

use crate::control_api::{HeadCall, ProcessCall};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_store::Batch;

/// Both clocks, read at once.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The steady clock.
    pub now: Millis,
    /// The time of day.
    pub wall: WallMillis,
}

/// What reaches a core process.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all events are frames; a box would cost each an allocation"
)]
pub enum CoreEvent {
    /// A frame of another process.
    Frame {
        /// The process.
        from: PeerAddress,
        /// Its life.
        incarnation: u64,
        /// The connection that the frame came on.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended.
    Closed {
        /// The process at its other end.
        from: PeerAddress,
        /// The connection.
        connection: u64,
    },
    /// The batches of these tickets are synced.
    Synced(Vec<u64>),
    /// The disk refused a write, which is tried again.
    WriteFailed,
    /// A write does not fit what is on the disk, and was dropped for good.
    WriteRefused,
    /// A call of the operator at this process, for the head.
    Call(HeadCall),
    /// A question of the operator to this process itself.
    Query(ProcessCall),
    /// Time has passed.
    Tick,
    /// The process is told to end.
    Terminate,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all effects are frames; a box would cost each an allocation"
)]
pub enum CoreEffect {
    /// Sends a frame to a process, on its newest connection or a new one.
    Send {
        /// The process.
        to: PeerAddress,
        /// The frame.
        frame: Frame,
    },
    /// Sends a frame on this very connection, if it is still there.
    SendOn {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// Writes a batch to the disk; [`CoreEvent::Synced`] answers it.
    Write {
        /// The number of the batch.
        ticket: u64,
        /// The batch.
        batch: Batch,
    },
}

/// Why a process has to end: begun anew, it goes on from what is on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CoreFault {
    /// a write does not fit the log on the disk
    WriteRefused,
    /// a snapshot of another member cannot be read
    UnreadableSnapshot,
}

impl std::error::Error for CoreFault {}

/// Effects that wait for the driver.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    effects: Vec<CoreEffect>,
}

impl Outbox {
    pub(super) fn send(&mut self, to: PeerAddress, frame: Frame) {
        self.effects.push(CoreEffect::Send { to, frame });
    }

    pub(super) fn send_on(&mut self, connection: u64, frame: Frame) {
        self.effects.push(CoreEffect::SendOn { connection, frame });
    }

    pub(super) fn write(&mut self, ticket: u64, batch: Batch) {
        self.effects.push(CoreEffect::Write { ticket, batch });
    }

    pub(super) fn take(&mut self) -> Vec<CoreEffect> {
        std::mem::take(&mut self.effects)
    }
}
