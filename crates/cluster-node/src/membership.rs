//! The driver of SWIM membership: a UDP socket at the internal port, its timer, and the table of live members that the
//! process reads.
//!
//! The process works without it: where the socket cannot be bound, or nobody answers, the table holds this process at
//! most, and everything goes to the head of the chain as if there were no membership.

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

/// However many datagrams come, the timer is not kept waiting for longer than this, in milliseconds.
const MAX_TIMER_DELAY_MS: u64 = 200;
/// The delay before the next read after the socket failed, in milliseconds.
const SOCKET_RETRY_MS: u64 = 100;

/// Membership of this process, as its other parts see it.
#[derive(Clone)]
pub struct Membership {
    table: Arc<SharedValue<LiveTable>>,
    seeds: Arc<SharedValue<Vec<PeerAddress>>>,
    seeds_replaced: Arc<Notify>,
    shutdown: Arc<Notify>,
}

impl Membership {
    /// Begins to take part, from these seeds on. To be called within a runtime.
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
                    published: 0,
                };
                tokio::spawn(driver.run());
            }
            Err(error) => {
                spdlog::warn!("no membership: the internal UDP port cannot be bound: {error}");
            }
        }
        membership
    }

    /// The members that are believed to be alive.
    pub fn table(&self) -> Arc<LiveTable> {
        self.table.load()
    }

    /// Replaces the seeds by which the others are looked for.
    pub fn set_seeds(&self, seeds: Vec<PeerAddress>) {
        self.seeds.replace(Arc::new(seeds));
        self.seeds_replaced.notify_one();
    }

    /// Announces to other members that this process leaves, and ends the part that it takes.
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
    /// The version of the table that was published last.
    published: u64,
}

impl Driver {
    async fn run(mut self) {
        // One byte more than allowed, so that a datagram that is too long shows.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let shutdown = self.membership.shutdown.clone();
        let seeds_replaced = self.membership.seeds_replaced.clone();
        loop {
            self.publish();
            let pause = self.swim.next_wakeup().since(self.clock.now());
            tokio::select! {
                // What was received before the timer fired may be what the timer would miss.
                biased;
                () = shutdown.notified() => return self.farewell(),
                () = seeds_replaced.notified() => {
                    self.swim.set_seeds(self.membership.seeds.load().to_vec());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.on_datagram(from, &buffer[..length]),
                    Err(error) => self.on_failure(error).await,
                },
                () = tokio::time::sleep(Duration::from_millis(pause)) => self.on_timer(),
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
            Err(error) => spdlog::debug!("from {from}: {error}"),
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
        spdlog::debug!("the internal UDP port: {error}");
        tokio::time::sleep(Duration::from_millis(SOCKET_RETRY_MS)).await;
    }

    fn farewell(&mut self) {
        let outgoing = self.swim.leave();
        self.send_all(outgoing);
    }

    /// A datagram that cannot be sent at once is lost, like one that gets lost on its way.
    fn send_all(&self, outgoing: Vec<Outgoing>) {
        for Outgoing { to, datagram } in outgoing {
            if let Err(error) = self.socket.try_send_to(&datagram.encode(), to.0.into()) {
                spdlog::debug!("to {}: {error}", to.0);
            }
        }
    }

    fn publish(&mut self) {
        if self.published == self.swim.version() {
            return;
        }
        self.published = self.swim.version();
        let table = self.swim.live_table();
        spdlog::debug!("{} live members", table.members().len());
        self.membership.table.replace(Arc::new(table));
    }
}
