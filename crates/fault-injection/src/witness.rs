//! What a run leaves to its checkers, and the terms that its stand-ins keep to.

use crate::history::{Entry, Moment};
use crate::script::Act;
use mock_servers::load::Came;
use std::ops::Range;

/// The limit of the stand-in settings' plan `basic`: units a second, burst and slack.
pub const LIMIT: (f64, f64, f64) = (40.0, 32.0, 8.0);
/// What a warm node can do, in units a second; the share of it that a cold one begins with, and how long it warms.
pub const CAPACITY: (f64, f64, f64) = (150.0, 0.25, 8.0);
/// Sent more than this many times what it can do for a second, a node falls over.
pub const FALLS: f64 = 4.0;
/// A request as it was asked.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When.
    pub at: Moment,
    /// Which front.
    pub front: u16,
    /// The volume.
    pub volume: u64,
    /// Its units.
    pub units: u32,
    /// Whether it counts against a limit.
    pub limited: bool,
    /// Whether it writes.
    pub writes: bool,
}

/// An attempt as a node saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last byte came.
    pub at: Moment,
    /// Which node.
    pub node: usize,
    /// When the node started, where it started cold.
    pub cold: Option<Moment>,
    /// The request's id.
    pub id: String,
    /// The volume.
    pub volume: u64,
    /// Its units.
    pub units: u32,
    /// Whether it ran, or was a repeat of what did.
    pub ran: bool,
    /// Whether it was a repeat, dropped by the node.
    pub dropped: bool,
    /// The key of a write.
    pub key: Option<String>,
}

/// All that was seen of a run.
#[derive(Default)]
pub struct Witness {
    /// From the load's begin to its end.
    pub span: Range<Moment>,
    /// What was said and done, in the order of its moments.
    pub history: Vec<(Moment, Entry)>,
    /// What the rig did.
    pub deeds: Vec<(Moment, Act)>,
    /// What reached the nodes.
    pub seen: Vec<Seen>,
    /// What clients asked, and what came of it.
    pub done: Vec<(Asked, Came)>,
    /// Datagrams and bytes that each front sent since the load began.
    pub sent: Vec<(u64, u64)>,
    /// Processes started.
    pub processes: u64,
    /// Processor time of those that live at the end, in milliseconds.
    pub cpu_ms: f64,
}
