//! Advances connections in time: opens those that are due, delivers frames, and closes connections without
//! acknowledgements.

use super::{Connection, Delivery, DirectedLink, End, Endpoint, MachineIndex, Network};
use lupinrack_cluster_api::frame::Frame;
use std::collections::VecDeque;

/// Time without an acknowledgement after which the sender closes the connection, in milliseconds.
const USER_TIMEOUT_MS: u64 = 1_500;
/// Longest time that a frame waits for a connection, in milliseconds.
const MAX_CONNECT_WAIT_MS: u64 = 1_000;
/// Interval between two attempts to open a connection, in milliseconds.
const CONNECT_RETRY_MS: u64 = 250;

impl Network {
    /// Advances the network to `now` and returns what arrives at each machine, in order.
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
        let links: Vec<DirectedLink> = self.pending_connects.keys().copied().collect();
        for link in links {
            let Some(pending_connects) = self.pending_connects.get_mut(&link) else {
                continue;
            };
            pending_connects
                .waiting
                .retain(|(since, _)| now < since + MAX_CONNECT_WAIT_MS);
            if pending_connects.waiting.is_empty() {
                self.pending_connects.remove(&link);
                continue;
            }
            if now < pending_connects.due {
                continue;
            }
            let is_blocked = self.partitions.contains_key(&link)
                || self.partitions.contains_key(&link.reversed());
            if is_blocked || !machines[link.to].running {
                pending_connects.due = now + CONNECT_RETRY_MS;
                continue;
            }
            let waiting = std::mem::take(&mut pending_connects.waiting);
            self.pending_connects.remove(&link);
            self.open(link, waiting, now, machines);
        }
    }

    fn open(
        &mut self,
        link: DirectedLink,
        waiting: VecDeque<(u64, Frame)>,
        now: u64,
        machines: &[Endpoint],
    ) {
        let DirectedLink { from, to } = link;
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
        self.opened.insert(number, link);
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
            let link = DirectedLink {
                from: from.machine,
                to: to.machine,
            };
            let is_blocked_there = self.partitions.contains_key(&link);
            let is_blocked_back = self.partitions.contains_key(&link.reversed());
            let due = from
                .outgoing
                .front()
                .is_some_and(|(arrives, _)| *arrives <= now);
            let dark = !machines[to.machine].powered;
            if due && (is_blocked_there || dark) {
                from.unacknowledged_since.get_or_insert(now);
            } else if due && !to.open {
                // The process has ended, so nothing listens there: the connection is reset.
                if is_blocked_back {
                    from.unacknowledged_since.get_or_insert(now);
                } else {
                    close(from, to.machine, number, &mut self.deliveries);
                    continue;
                }
            } else if due {
                if is_blocked_back {
                    from.unacknowledged_since.get_or_insert(now);
                }
                deliver_due(from, to.machine, number, now, &mut self.deliveries);
            }
            if !is_blocked_there && !is_blocked_back && !dark {
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

/// Delivers the frames from one end that are due, in the order in which they were sent.
fn deliver_due(
    end: &mut End,
    receiver: MachineIndex,
    connection: u64,
    now: u64,
    deliveries: &mut Vec<(MachineIndex, Delivery)>,
) {
    while end
        .outgoing
        .front()
        .is_some_and(|(arrives, _)| *arrives <= now)
    {
        if let Some((_, frame)) = end.outgoing.pop_front() {
            let delivery = Delivery::Frame {
                from: end.machine,
                connection,
                frame,
            };
            deliveries.push((receiver, delivery));
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
