//! The driver of SWIM membership: a UDP socket on the internal port, a timer, and the table of live members that the
//! process reads.
//!
//! The process works without membership. If the socket cannot be bound, or no member answers, the table contains at
//! most this process, and all subscriptions and calls go to the head of the chain.

use crate::clock::{draw, Clock};
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_membership::datagram::MAX_DATAGRAM_BYTES;
use lupinrack_cluster_membership::{Datagram, LiveMember, LiveTable, Outgoing, Swim, SwimSettings};
use lupinrack_cluster_transport::shared_value::SharedValue;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Limit on the delay of the timer under a flood of datagrams, in milliseconds.
const MAX_TIMER_DELAY_MS: u64 = 200;
/// Delay before the next read after the socket failed, in milliseconds.
const SOCKET_RETRY_MS: u64 = 100;

/// The handle by which the process uses its membership.
#[derive(Clone)]
pub struct Membership {
    table: Arc<SharedValue<LiveTable>>,
    seeds: Arc<SharedValue<Vec<PeerAddress>>>,
    seeds_replaced: Arc<Notify>,
    shutdown: Arc<Notify>,
}

impl Membership {
    /// Joins the membership through these seeds. Must be called within a Tokio runtime.
    pub fn start(
        own: LiveMember,
        seeds: Vec<PeerAddress>,
        settings: SwimSettings,
        clock: Clock,
    ) -> Membership {
        let membership = Membership {
            table: Arc::new(SharedValue::new(LiveTable::default())),
            seeds: Arc::new(SharedValue::new(seeds.clone())),
            seeds_replaced: Arc::new(Notify::new()),
            shutdown: Arc::new(Notify::new()),
        };
        match bind(own.address) {
            Ok(socket) => {
                let swim = Swim::new(own, seeds, settings, draw(), clock.now());
                let driver = Driver {
                    socket,
                    swim,
                    clock,
                    membership: membership.clone(),
                    published_version: 0,
                };
                tokio::spawn(driver.run());
            }
            Err(error) => {
                spdlog::warn!("no membership: the internal UDP port cannot be bound: {error}");
            }
        }
        membership
    }

    /// The members that SWIM considers alive.
    pub fn table(&self) -> Arc<LiveTable> {
        self.table.load()
    }

    /// Replaces the seeds through which other members are found.
    pub fn set_seeds(&self, seeds: Vec<PeerAddress>) {
        self.seeds.replace(Arc::new(seeds));
        self.seeds_replaced.notify_one();
    }

    /// Announces to other members that this process leaves, and ends its membership.
    pub fn shut_down(&self) {
        self.shutdown.notify_one();
    }
}

fn bind(address: PeerAddress) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address.0)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

struct Driver {
    socket: UdpSocket,
    swim: Swim,
    clock: Clock,
    membership: Membership,
    /// The version of the last published table.
    published_version: u64,
}

impl Driver {
    async fn run(mut self) {
        // One byte more than allowed, so that a datagram that is too long can be detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let shutdown = self.membership.shutdown.clone();
        let seeds_replaced = self.membership.seeds_replaced.clone();
        loop {
            self.publish();
            let timer_delay_ms = self.swim.next_wakeup().since(self.clock.now());
            tokio::select! {
                // Datagrams are read before the timer runs: one of them may be the answer whose timeout is due.
                biased;
                () = shutdown.notified() => return self.announce_departure(),
                () = seeds_replaced.notified() => {
                    self.swim.set_seeds(self.membership.seeds.load().to_vec());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                    Err(error) => self.on_failure(error).await,
                },
                () = tokio::time::sleep(Duration::from_millis(timer_delay_ms)) => self.on_timer(),
            }
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let SocketAddr::V4(from) = from else {
            return;
        };
        match Datagram::decode(bytes) {
            Ok(datagram) => {
                let outgoing = self
                    .swim
                    .receive(PeerAddress(from), datagram, self.clock.now());
                self.send_all(outgoing);
            }
            Err(error) => spdlog::debug!("malformed datagram from {from}: {error}"),
        }
        if self.clock.now().since(self.swim.next_wakeup()) >= MAX_TIMER_DELAY_MS {
            self.on_timer();
        }
    }

    fn on_timer(&mut self) {
        let outgoing = self.swim.tick(self.clock.now());
        self.send_all(outgoing);
    }

    async fn on_failure(&mut self, error: io::Error) {
        spdlog::debug!("cannot receive on the internal UDP port: {error}");
        tokio::time::sleep(Duration::from_millis(SOCKET_RETRY_MS)).await;
    }

    fn announce_departure(&mut self) {
        let outgoing = self.swim.leave();
        self.send_all(outgoing);
    }

    /// A datagram that cannot be sent at once is dropped. SWIM treats it like one that the network lost.
    fn send_all(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, datagram } in outgoing {
            if let Err(error) = self.socket.try_send_to(&datagram.encode(), to.0.into()) {
                spdlog::debug!("cannot send a datagram to {}: {error}", to.0);
            }
        }
    }

    fn publish(&mut self) {
        if self.published_version == self.swim.version() {
            return;
        }
        self.published_version = self.swim.version();
        let table = self.swim.live_table();
        spdlog::debug!("{} live members", table.members().len());
        self.membership.table.replace(Arc::new(table));
    }
}
