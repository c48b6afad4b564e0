//! Connections between machines: frames in order, delays, partitions, resets.

use lupinrack_cluster_api::frame::Frame;
use std::collections::{BTreeMap, VecDeque};

/// A connection whose frames are not acknowledged for this long is closed by their sender, in milliseconds.
const USER_TIMEOUT_MS: u64 = 1_500;
/// How long a frame waits for a connection, in milliseconds.
const MAX_CONNECT_WAIT_MS: u64 = 1_000;
/// Between two tries to open a connection, in milliseconds.
const CONNECT_RETRY_MS: u64 = 250;
/// Frames take at least and at most so long, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..5;

/// A machine's number.
pub(crate) type MachineIndex = usize;

/// One end of a connection.
#[derive(Clone, Debug)]
struct End {
    machine: MachineIndex,
    open: bool,
    /// Frames on their way from this end, with the moment of their arrival.
    outgoing: VecDeque<(u64, Frame)>,
    /// Since when frames from here are not acknowledged.
    unacknowledged_since: Option<u64>,
}

#[derive(Clone, Debug)]
struct Connection {
    ends: [End; 2],
}

/// Frames that wait for a connection, and when it is tried.
#[derive(Clone, Debug, Default)]
struct PendingConnect {
    waiting: VecDeque<(u64, Frame)>,
    due: u64,
}

/// What arrives at a machine.
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

/// What the network knows of a machine.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Whether its process runs.
    pub running: bool,
    /// Whether its kernel answers: false after a loss of power.
    pub powered: bool,
    /// What it says first on each connection.
    pub hello: Frame,
}

/// All connections.
#[derive(Debug)]
pub(crate) struct Network {
    rng: fastrand::Rng,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    /// Who opened each connection so far to whom.
    opened: BTreeMap<u64, (MachineIndex, MachineIndex)>,
    pending_connects: BTreeMap<(MachineIndex, MachineIndex), PendingConnect>,
    /// Pairs of which the first cannot reach the second, and by how many partitions.
    partitions: BTreeMap<(MachineIndex, MachineIndex), u32>,
    /// Machines whose frames take up to so many milliseconds longer.
    slow: BTreeMap<MachineIndex, u64>,
    deliveries: Vec<(MachineIndex, Delivery)>,
}

impl Network {
    /// Without connections.
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

    /// Lets nothing from the first machine reach the second.
    pub(crate) fn partition(&mut self, from: MachineIndex, to: MachineIndex) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    /// Ends one partition; what other partitions block stays blocked.
    pub(crate) fn heal(&mut self, from: MachineIndex, to: MachineIndex) {
        let Some(count) = self.partitions.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.partitions.remove(&(from, to));
        }
    }

    /// Whether nothing from the first machine reaches the second.
    pub(crate) fn is_partitioned(&self, from: MachineIndex, to: MachineIndex) -> bool {
        self.partitions.contains_key(&(from, to))
    }

    /// The machine at the other end of a connection, also of one that has ended.
    pub(crate) fn other_end(&self, machine: MachineIndex, connection: u64) -> Option<MachineIndex> {
        let (a, b) = *self.opened.get(&connection)?;
        Some(if a == machine { b } else { a })
    }

    /// Has what a machine sends take up to so many milliseconds longer; 0 ends that.
    pub(crate) fn set_slow(&mut self, machine: MachineIndex, most_ms: u64) {
        self.slow.insert(machine, most_ms);
    }

    /// Sends on the newest connection to a machine, or opens one.
    pub(crate) fn send(&mut self, from: MachineIndex, to: MachineIndex, frame: Frame, now: u64) {
        if let Some(connection) = self.newest(from, to) {
            self.send_on(from, connection, frame, now);
        } else {
            let pending_connects = self.pending_connects.entry((from, to)).or_default();
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

    /// The newest connection that a machine has open to another.
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

    /// A machine's process has ended. Where its kernel answers, the others learn of it at once.
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
            let partition = self.partitions.contains_key(&(machine, other.machine));
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
        self.pending_connects
            .retain(|(from, _), _| *from != machine);
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

    /// Lets time pass; what arrives where, in order.
    pub(crate) fn advance(
        &mut self,
        now: u64,
        machines: &[Endpoint],
    ) -> Vec<(MachineIndex, Delivery)> {
        self.connect_pending(now, machines);
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            self.advance_connection(number, now, machines);
        }
        self.connections
            .retain(|_, connection| connection.ends.iter().any(|end| end.open));
        std::mem::take(&mut self.deliveries)
    }

    fn connect_pending(&mut self, now: u64, machines: &[Endpoint]) {
        let pairs: Vec<(MachineIndex, MachineIndex)> =
            self.pending_connects.keys().copied().collect();
        for (from, to) in pairs {
            let Some(pending_connects) = self.pending_connects.get_mut(&(from, to)) else {
                continue;
            };
            pending_connects
                .waiting
                .retain(|(since, _)| now < since + MAX_CONNECT_WAIT_MS);
            if pending_connects.waiting.is_empty() {
                self.pending_connects.remove(&(from, to));
                continue;
            }
            if now < pending_connects.due {
                continue;
            }
            let partition = self.partitions.contains_key(&(from, to))
                || self.partitions.contains_key(&(to, from));
            if partition || !machines[to].running {
                pending_connects.due = now + CONNECT_RETRY_MS;
                continue;
            }
            let waiting = std::mem::take(&mut pending_connects.waiting);
            self.pending_connects.remove(&(from, to));
            self.open(from, to, waiting, now, machines);
        }
    }

    fn open(
        &mut self,
        from: MachineIndex,
        to: MachineIndex,
        waiting: VecDeque<(u64, Frame)>,
        now: u64,
        machines: &[Endpoint],
    ) {
        self.next_connection += 1;
        let number = self.next_connection;
        let end = |machine| End {
            machine,
            open: true,
            outgoing: VecDeque::new(),
            unacknowledged_since: None,
        };
        self.connections.insert(
            number,
            Connection {
                ends: [end(from), end(to)],
            },
        );
        self.opened.insert(number, (from, to));
        self.send_on(from, number, machines[from].hello.clone(), now);
        self.send_on(to, number, machines[to].hello.clone(), now);
        for (_, frame) in waiting {
            self.send_on(from, number, frame, now);
        }
    }

    fn advance_connection(&mut self, number: u64, now: u64, machines: &[Endpoint]) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let [a, b] = &mut connection.ends;
        for forward in [true, false] {
            let (from, to) = if forward {
                (&mut *a, &mut *b)
            } else {
                (&mut *b, &mut *a)
            };
            if !from.open {
                continue;
            }
            let cut_there = self.partitions.contains_key(&(from.machine, to.machine));
            let cut_back = self.partitions.contains_key(&(to.machine, from.machine));
            let due = from
                .outgoing
                .front()
                .is_some_and(|(arrives, _)| *arrives <= now);
            let dark = !machines[to.machine].powered;
            if due && (cut_there || dark) {
                from.unacknowledged_since.get_or_insert(now);
            } else if due && !to.open {
                // Nobody listens there any longer: the connection is reset.
                if cut_back {
                    from.unacknowledged_since.get_or_insert(now);
                } else {
                    close(from, to.machine, number, &mut self.deliveries);
                    continue;
                }
            } else if due {
                if cut_back {
                    from.unacknowledged_since.get_or_insert(now);
                }
                while from
                    .outgoing
                    .front()
                    .is_some_and(|(arrives, _)| *arrives <= now)
                {
                    if let Some((_, frame)) = from.outgoing.pop_front() {
                        let delivery = Delivery::Frame {
                            from: from.machine,
                            connection: number,
                            frame,
                        };
                        self.deliveries.push((to.machine, delivery));
                    }
                }
            }
            if !cut_there && !cut_back && !dark {
                from.unacknowledged_since = None;
            }
            if from
                .unacknowledged_since
                .is_some_and(|since| now >= since + USER_TIMEOUT_MS)
            {
                close(from, to.machine, number, &mut self.deliveries);
            }
        }
    }
}

fn close(
    end: &mut End,
    other: MachineIndex,
    connection: u64,
    deliveries: &mut Vec<(MachineIndex, Delivery)>,
) {
    end.open = false;
    end.outgoing.clear();
    deliveries.push((
        end.machine,
        Delivery::Closed {
            from: other,
            connection,
        },
    ));
}
