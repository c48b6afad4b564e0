//! Connections between machines: frames in order, delays, partitions, resets. `transmission` advances them in time.

mod transmission;

use lupinrack_cluster_api::frame::Frame;
use std::collections::{BTreeMap, VecDeque};

/// Range of the frame delay, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..5;

/// A machine's number.
pub(crate) type MachineIndex = usize;

/// A pair of machines, in the direction in which frames go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DirectedLink {
    /// The sender.
    pub from: MachineIndex,
    /// The receiver.
    pub to: MachineIndex,
}

impl DirectedLink {
    fn reversed(self) -> DirectedLink {
        DirectedLink {
            from: self.to,
            to: self.from,
        }
    }
}

/// One end of a connection.
#[derive(Clone, Debug)]
struct End {
    machine: MachineIndex,
    open: bool,
    /// Frames in transit from this end, with their arrival times.
    outgoing: VecDeque<(u64, Frame)>,
    /// Since when frames from this end are unacknowledged.
    unacknowledged_since: Option<u64>,
}

#[derive(Clone, Debug)]
struct Connection {
    ends: [End; 2],
}

/// Frames that wait for a connection, and the time of the next attempt to open it.
#[derive(Clone, Debug, Default)]
struct PendingConnect {
    waiting: VecDeque<(u64, Frame)>,
    due: u64,
}

/// An event of the network for a machine.
#[derive(Clone, Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all arrivals are frames; a box would cost each an allocation"
)]
pub(crate) enum Delivery {
    /// A frame.
    Frame {
        /// The sender.
        from: MachineIndex,
        /// The connection.
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended.
    Closed {
        /// The machine at its other end.
        from: MachineIndex,
        /// The connection.
        connection: u64,
    },
}

/// State of a machine's network stack.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Whether its process runs.
    pub running: bool,
    /// Whether its kernel answers: false after a loss of power.
    pub powered: bool,
    /// The first frame that it sends on each connection.
    pub hello: Frame,
}

/// All connections.
#[derive(Debug)]
pub(crate) struct Network {
    rng: fastrand::Rng,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    /// The opener and the acceptor of each connection so far.
    opened: BTreeMap<u64, DirectedLink>,
    pending_connects: BTreeMap<DirectedLink, PendingConnect>,
    /// Blocked links, each with the number of partitions that block it.
    partitions: BTreeMap<DirectedLink, u32>,
    /// Maximum extra delay of outgoing frames by machine, in milliseconds.
    slow: BTreeMap<MachineIndex, u64>,
    deliveries: Vec<(MachineIndex, Delivery)>,
}

impl Network {
    /// Creates a network without connections.
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            rng: fastrand::Rng::with_seed(seed),
            connections: BTreeMap::new(),
            next_connection: 0,
            opened: BTreeMap::new(),
            pending_connects: BTreeMap::new(),
            partitions: BTreeMap::new(),
            slow: BTreeMap::new(),
            deliveries: Vec::new(),
        }
    }

    /// Blocks a link for one partition.
    pub(crate) fn partition(&mut self, link: DirectedLink) {
        *self.partitions.entry(link).or_default() += 1;
    }

    /// Unblocks a link for one partition; it stays blocked while other partitions block it.
    pub(crate) fn heal(&mut self, link: DirectedLink) {
        let Some(count) = self.partitions.get_mut(&link) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.partitions.remove(&link);
        }
    }

    /// Whether a link is blocked.
    pub(crate) fn is_partitioned(&self, link: DirectedLink) -> bool {
        self.partitions.contains_key(&link)
    }

    /// The machine at the other end of a connection, even after the connection has ended.
    pub(crate) fn other_end(&self, machine: MachineIndex, connection: u64) -> Option<MachineIndex> {
        let DirectedLink { from, to } = *self.opened.get(&connection)?;
        Some(if from == machine { to } else { from })
    }

    /// Delays a machine's outgoing frames by up to these milliseconds; 0 ends the delay.
    pub(crate) fn set_slow(&mut self, machine: MachineIndex, most_ms: u64) {
        self.slow.insert(machine, most_ms);
    }

    /// Sends on the newest connection to a machine, or opens one.
    pub(crate) fn send(&mut self, from: MachineIndex, to: MachineIndex, frame: Frame, now: u64) {
        if let Some(connection) = self.newest(from, to) {
            self.send_on(from, connection, frame, now);
        } else {
            let pending_connects = self
                .pending_connects
                .entry(DirectedLink { from, to })
                .or_default();
            pending_connects.waiting.push_back((now, frame));
        }
    }

    /// Sends on a connection, if it is still open at this end.
    pub(crate) fn send_on(&mut self, from: MachineIndex, connection: u64, frame: Frame, now: u64) {
        let extra = self
            .slow
            .get(&from)
            .map_or(0, |most| self.rng.u64(0..=*most));
        let arrives = now + self.rng.u64(DELAY_MS) + extra;
        let Some(end) = self.end_of(from, connection) else {
            return;
        };
        if !end.open {
            return;
        }
        let arrives = end
            .outgoing
            .back()
            .map_or(arrives, |(last, _)| arrives.max(*last));
        end.outgoing.push_back((arrives, frame));
    }

    fn end_of(&mut self, machine: MachineIndex, connection: u64) -> Option<&mut End> {
        let connection = self.connections.get_mut(&connection)?;
        connection
            .ends
            .iter_mut()
            .find(|end| end.machine == machine)
    }

    /// The newest open connection between two machines.
    pub(crate) fn newest(&self, from: MachineIndex, to: MachineIndex) -> Option<u64> {
        let joins = |connection: &Connection| {
            let [a, b] = &connection.ends;
            (a.machine == from && b.machine == to && a.open)
                || (b.machine == from && a.machine == to && b.open)
        };
        self.connections
            .iter()
            .rev()
            .find(|(_, connection)| joins(connection))
            .map(|(number, _)| *number)
    }

    /// Handles the end of a machine's process. If its kernel still answers, its peers see closed connections at once.
    pub(crate) fn process_ended(&mut self, machine: MachineIndex, powered: bool) {
        for (number, connection) in &mut self.connections {
            let [a, b] = &mut connection.ends;
            let (own, other) = if a.machine == machine { (a, b) } else { (b, a) };
            if own.machine != machine {
                continue;
            }
            own.open = false;
            own.outgoing.clear();
            own.unacknowledged_since = None;
            let partition = self.partitions.contains_key(&DirectedLink {
                from: machine,
                to: other.machine,
            });
            if powered && !partition && other.open {
                other.open = false;
                other.outgoing.clear();
                let delivery = Delivery::Closed {
                    from: machine,
                    connection: *number,
                };
                self.deliveries.push((other.machine, delivery));
            }
        }
        self.pending_connects.retain(|link, _| link.from != machine);
    }

    /// Resets some of a machine's connections.
    pub(crate) fn reset_some(&mut self, machine: MachineIndex) {
        for (number, connection) in &mut self.connections {
            let [a, b] = &mut connection.ends;
            let touches = a.machine == machine || b.machine == machine;
            if !touches || self.rng.bool() {
                continue;
            }
            let (at_a, at_b) = (a.machine, b.machine);
            for (end, other) in [(a, at_b), (b, at_a)] {
                if end.open {
                    end.open = false;
                    end.outgoing.clear();
                    let delivery = Delivery::Closed {
                        from: other,
                        connection: *number,
                    };
                    self.deliveries.push((end.machine, delivery));
                }
            }
        }
    }
}
