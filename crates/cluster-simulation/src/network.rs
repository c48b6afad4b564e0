//! Connections between machines: frames in order, delays, cuts, resets.

use lupinrack_cluster_api::frame::Frame;
use std::collections::{BTreeMap, VecDeque};

/// A connection whose frames are not acknowledged for this long is closed by their sender, in milliseconds.
const USER_TIMEOUT_MS: u64 = 1_500;
/// How long a frame waits for a connection, in milliseconds.
const WAITING_MOST_MS: u64 = 1_000;
/// Between two tries to open a connection, in milliseconds.
const DIAL_AGAIN_MS: u64 = 250;
/// Frames take at least and at most so long, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..5;

/// A machine's number.
pub type MachineIndex = usize;

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
struct Dialing {
    waiting: VecDeque<(u64, Frame)>,
    due: u64,
}

/// What arrives at a machine.
#[derive(Clone, Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all arrivals are frames; a box would cost each an allocation"
)]
pub enum Arrival {
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
pub struct Presence {
    /// Whether its process runs.
    pub running: bool,
    /// Whether its kernel answers: false after a loss of power.
    pub powered: bool,
    /// What it says first on each connection.
    pub hello: Frame,
}

/// All connections.
#[derive(Debug)]
pub struct Network {
    rng: fastrand::Rng,
    connections: BTreeMap<u64, Connection>,
    next_connection: u64,
    /// Who opened each connection so far to whom.
    opened: BTreeMap<u64, (MachineIndex, MachineIndex)>,
    dialing: BTreeMap<(MachineIndex, MachineIndex), Dialing>,
    /// Pairs of which the first reaches the second no longer, and by how many cuts.
    cuts: BTreeMap<(MachineIndex, MachineIndex), u32>,
    /// Machines whose frames take up to so many milliseconds longer.
    slow: BTreeMap<MachineIndex, u64>,
    arrivals: Vec<(MachineIndex, Arrival)>,
}

impl Network {
    /// Without connections.
    pub fn new(seed: u64) -> Network {
        Network {
            rng: fastrand::Rng::with_seed(seed),
            connections: BTreeMap::new(),
            next_connection: 0,
            opened: BTreeMap::new(),
            dialing: BTreeMap::new(),
            cuts: BTreeMap::new(),
            slow: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    /// Lets nothing from the first machine reach the second.
    pub fn cut(&mut self, from: MachineIndex, to: MachineIndex) {
        *self.cuts.entry((from, to)).or_default() += 1;
    }

    /// Ends one cut; what other cuts hold back stays held back.
    pub fn join(&mut self, from: MachineIndex, to: MachineIndex) {
        let Some(count) = self.cuts.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.cuts.remove(&(from, to));
        }
    }

    /// Whether nothing from the first machine reaches the second.
    pub fn is_cut(&self, from: MachineIndex, to: MachineIndex) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// The machine at the other end of a connection, also of one that has ended.
    pub fn other_end(&self, machine: MachineIndex, connection: u64) -> Option<MachineIndex> {
        let (a, b) = *self.opened.get(&connection)?;
        Some(if a == machine { b } else { a })
    }

    /// Has what a machine sends take up to so many milliseconds longer; 0 ends that.
    pub fn set_slow(&mut self, machine: MachineIndex, most_ms: u64) {
        self.slow.insert(machine, most_ms);
    }

    /// Sends on the newest connection to a machine, or opens one.
    pub fn send(&mut self, from: MachineIndex, to: MachineIndex, frame: Frame, now: u64) {
        match self.newest(from, to) {
            Some(connection) => self.send_on(from, connection, frame, now),
            None => {
                let dialing = self.dialing.entry((from, to)).or_default();
                dialing.waiting.push_back((now, frame));
            }
        }
    }

    /// Sends on a connection, if it is still open at this end.
    pub fn send_on(&mut self, from: MachineIndex, connection: u64, frame: Frame, now: u64) {
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
    pub fn newest(&self, from: MachineIndex, to: MachineIndex) -> Option<u64> {
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
    pub fn process_ended(&mut self, machine: MachineIndex, powered: bool) {
        for (number, connection) in &mut self.connections {
            let [a, b] = &mut connection.ends;
            let (own, other) = if a.machine == machine { (a, b) } else { (b, a) };
            if own.machine != machine {
                continue;
            }
            own.open = false;
            own.outgoing.clear();
            own.unacknowledged_since = None;
            let cut = self.cuts.contains_key(&(machine, other.machine));
            if powered && !cut && other.open {
                other.open = false;
                other.outgoing.clear();
                let arrival = Arrival::Closed {
                    from: machine,
                    connection: *number,
                };
                self.arrivals.push((other.machine, arrival));
            }
        }
        self.dialing.retain(|(from, _), _| *from != machine);
    }

    /// Resets some of a machine's connections.
    pub fn reset_some(&mut self, machine: MachineIndex) {
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
                    let arrival = Arrival::Closed {
                        from: other,
                        connection: *number,
                    };
                    self.arrivals.push((end.machine, arrival));
                }
            }
        }
    }

    /// Lets time pass; what arrives where, in order.
    pub fn advance(&mut self, now: u64, machines: &[Presence]) -> Vec<(MachineIndex, Arrival)> {
        self.dial(now, machines);
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            self.carry(number, now, machines);
        }
        self.connections
            .retain(|_, connection| connection.ends.iter().any(|end| end.open));
        std::mem::take(&mut self.arrivals)
    }

    fn dial(&mut self, now: u64, machines: &[Presence]) {
        let pairs: Vec<(MachineIndex, MachineIndex)> = self.dialing.keys().copied().collect();
        for (from, to) in pairs {
            let Some(dialing) = self.dialing.get_mut(&(from, to)) else {
                continue;
            };
            dialing
                .waiting
                .retain(|(since, _)| now < since + WAITING_MOST_MS);
            if dialing.waiting.is_empty() {
                self.dialing.remove(&(from, to));
                continue;
            }
            if now < dialing.due {
                continue;
            }
            let cut = self.cuts.contains_key(&(from, to)) || self.cuts.contains_key(&(to, from));
            if cut || !machines[to].running {
                dialing.due = now + DIAL_AGAIN_MS;
                continue;
            }
            let waiting = std::mem::take(&mut dialing.waiting);
            self.dialing.remove(&(from, to));
            self.open(from, to, waiting, now, machines);
        }
    }

    fn open(
        &mut self,
        from: MachineIndex,
        to: MachineIndex,
        waiting: VecDeque<(u64, Frame)>,
        now: u64,
        machines: &[Presence],
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

    fn carry(&mut self, number: u64, now: u64, machines: &[Presence]) {
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
            let cut_there = self.cuts.contains_key(&(from.machine, to.machine));
            let cut_back = self.cuts.contains_key(&(to.machine, from.machine));
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
                    close(from, to.machine, number, &mut self.arrivals);
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
                        let arrival = Arrival::Frame {
                            from: from.machine,
                            connection: number,
                            frame,
                        };
                        self.arrivals.push((to.machine, arrival));
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
                close(from, to.machine, number, &mut self.arrivals);
            }
        }
    }
}

fn close(
    end: &mut End,
    other: MachineIndex,
    connection: u64,
    arrivals: &mut Vec<(MachineIndex, Arrival)>,
) {
    end.open = false;
    end.outgoing.clear();
    arrivals.push((
        end.machine,
        Arrival::Closed {
            from: other,
            connection,
        },
    ));
}
