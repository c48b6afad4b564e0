//! The driver of the fleet's protocols: one UDP socket and one clock.
//!
//! It carries out what the state machines decide, passes quota shares to the request engine, answers the admin interface, and
//! delivers messages between each attached protocol and the same protocol at other fronts. It makes no decisions.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

mod protocols;
mod report;

pub use protocols::{Incoming, Outgoing, ProtocolHandle};
pub use report::{MemberReport, Report};

use lupinrack_fleet::{Endpoint, Output};
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::{Event, Source};
use lupinrack_graceful_shutdown::Phase;
use lupinrack_peer_transport::{Tag, MAX_DATAGRAM_BYTES};
use lupinrack_policy::QuotaShares;
use lupinrack_request_engine::EngineHandle;
use protocols::Protocols;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until};

/// Requests for a report that may wait.
const MAX_PENDING_REPORTS: usize = 32;
/// Outgoing messages of protocols that are handled in one turn of the loop.
const MAX_OUTGOING_PER_TURN: usize = 64;
/// Datagrams that are received in one turn of the loop.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// The wait between two attempts to bind the address, while an earlier process of this front still has it, and after an error of the
/// socket.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often the request engine is asked which volumes it served.
const SERVED_VOLUMES_INTERVAL_US: i64 = 250_000;

/// Why the driver cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("fleet: {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// The section has no member with this front's name.
    #[error("fleet: '{0}' is not among the members")]
    Name(String),
}

/// A handle to the driver, for the admin interface.
#[derive(Clone, Debug)]
pub struct FleetHandle(mpsc::Sender<oneshot::Sender<Report>>);

impl FleetHandle {
    /// What this front knows of its fleet; none if the driver has ended. Waits while the driver has no socket yet.
    pub async fn report(&self) -> Option<Report> {
        let (reply_to, report) = oneshot::channel();
        self.0.send(reply_to).await.ok()?;
        report.await.ok()
    }
}

/// The driver of one process.
pub struct Driver {
    section: Section,
    me: u16,
    engine: EngineHandle,
    listen: SocketAddr,
    peers: HashMap<SocketAddr, u16>,
    report_requests: mpsc::Receiver<oneshot::Sender<Report>>,
    /// Another process may act as this front as well. While it has the address, this process uses the reserve only.
    shared: bool,
    protocols: Protocols,
}

impl Driver {
    /// A driver for the fleet of this section, and a handle to it.
    pub fn new(
        section: Section,
        engine: EngineHandle,
        shared: bool,
    ) -> Result<(Driver, FleetHandle), StartError> {
        let me = section
            .own_index()
            .ok_or_else(|| StartError::Name(section.name.clone()))?;
        let own_address = section.member.get(usize::from(me)).map(|m| m.address);
        let listen = section
            .listen
            .or(own_address)
            .ok_or_else(|| StartError::Name(section.name.clone()))?;
        let peers = section
            .member
            .iter()
            .enumerate()
            .map(|(i, m)| (m.address, i as u16))
            .collect();
        let (request_report, report_requests) = mpsc::channel(MAX_PENDING_REPORTS);
        let protocols = Protocols::default();
        Ok((
            Driver {
                section,
                me,
                engine,
                listen,
                peers,
                report_requests,
                shared,
                protocols,
            },
            FleetHandle(request_report),
        ))
    }

    /// Attaches the protocol with this tag, which replaces an earlier one; must be called before [`Driver::run`].
    pub fn attach(&mut self, tag: Tag) -> ProtocolHandle {
        self.protocols.attach(tag)
    }

    /// Binds the front's address; none if another process of this front has it.
    ///
    /// Until the front has joined the fleet, the request engine may use nothing of shared limits, or the reserve if another process of
    /// this front may be running.
    pub async fn bind(&self) -> Result<Option<UdpSocket>, StartError> {
        let reserve = if self.shared {
            self.section.reserve
        } else {
            0.0
        };
        self.engine
            .set_quota_shares(QuotaShares {
                reserve,
                slow_start: reserve,
                ..QuotaShares::default()
            })
            .await;
        match UdpSocket::bind(self.listen).await {
            Ok(socket) => Ok(Some(socket)),
            Err(e) if self.shared && e.kind() == std::io::ErrorKind::AddrInUse => Ok(None),
            Err(e) => Err(StartError::Bind(self.listen, e)),
        }
    }

    /// Runs until the request engine ends.
    pub async fn run(mut self, socket: Option<UdpSocket>, mut phase: watch::Receiver<Phase>) {
        let socket = match socket {
            Some(socket) => socket,
            None => loop {
                sleep(SOCKET_RETRY_DELAY).await;
                if let Ok(socket) = UdpSocket::bind(self.listen).await {
                    break socket;
                }
            },
        };
        let mut process_incarnation = new_process_incarnation();
        loop {
            let Some(known) = self
                .run_incarnation(&socket, process_incarnation, &mut phase)
                .await
            else {
                return;
            };
            // The wall clock stepped back, so the next number is taken from the one that other fronts know.
            process_incarnation = process_incarnation.max(known).saturating_add(1);
            tracing::warn!(
                life = process_incarnation,
                "fleet: other fronts know a newer process incarnation of this name; restarting above it"
            );
        }
    }

    /// Runs one process incarnation, until the request engine ends (none) or other fronts know a newer one (its number).
    async fn run_incarnation(
        &mut self,
        socket: &UdpSocket,
        process_incarnation: u64,
        phase: &mut watch::Receiver<Phase>,
    ) -> Option<u64> {
        let clock = self.engine.clock;
        let mut endpoint = Endpoint::new(
            &self.section,
            self.me,
            process_incarnation,
            fastrand::u64(..),
            clock.now(),
        );
        self.protocols.on_own_restart();
        let tick_interval = endpoint.tick_interval();
        let (mut next_tick_at, mut take_served_at) = (clock.now(), 0);
        let mut applied_shares: Option<QuotaShares> = None;
        let mut out = Vec::new();
        // One byte more than allowed: a longer datagram is recognized by its length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        tracing::info!(life = process_incarnation, listen = %socket.local_addr().unwrap_or(self.listen), fronts = self.section.member.len(), "fleet: begins");
        loop {
            tokio::select! {
                biased;
                () = sleep_until(clock.instant(next_tick_at)) => {}
                ready = socket.readable() => if ready.is_err() { sleep(SOCKET_RETRY_DELAY).await },
                Some(reply_to) = self.report_requests.recv() => {
                    let now = clock.now();
                    let _ = reply_to.send(Report::new(&self.section, now, &endpoint.status(now), &endpoint.quota_shares(now)));
                    continue;
                }
                outgoing = self.protocols.next_outgoing() => self.protocols.send(clock.now(), outgoing, &mut endpoint, &mut out),
            }
            let mut answer_addresses = Vec::new();
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                // The system also reports here that an earlier datagram to an absent peer was refused; the socket stays usable.
                let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                    break;
                };
                let source = self
                    .peers
                    .get(&from)
                    .map_or(Source::Unknown, |i| Source::Peer(*i));
                let out_before = out.len();
                endpoint.receive(clock.now(), source, &buffer[..length], &mut out);
                let answers = out
                    .iter()
                    .skip(out_before)
                    .filter(|output| matches!(output, Output::Answer(_)))
                    .count();
                answer_addresses.extend(std::iter::repeat_n(from, answers));
            }
            self.protocols.update_stream_pauses(&mut endpoint);
            for _ in 0..MAX_OUTGOING_PER_TURN {
                let Some(outgoing) = self.protocols.try_next_outgoing() else {
                    break;
                };
                self.protocols
                    .send(clock.now(), outgoing, &mut endpoint, &mut out);
            }
            let now = clock.now();
            if now >= next_tick_at {
                next_tick_at = now + tick_interval;
                if *phase.borrow() >= Phase::Draining {
                    endpoint.leave(now, &mut out);
                }
                if now >= take_served_at {
                    take_served_at = now + SERVED_VOLUMES_INTERVAL_US;
                    for served in self.engine.take_served_volumes().await? {
                        endpoint.record_served(now, served.volume, served.hosts);
                    }
                }
                endpoint.tick(clock.now(), &mut out);
            }
            // Before any datagram is sent: other fronts may use what this front reports that it no longer uses.
            let quota_shares = endpoint.quota_shares(clock.now());
            if applied_shares.as_ref() != Some(&quota_shares) {
                log_quota_shares(&quota_shares, clock.now());
                self.engine.set_quota_shares(quota_shares.clone()).await;
                applied_shares = Some(quota_shares);
            }
            self.protocols
                .publish_fleet_state(|| endpoint.fleet_state(clock.now()));
            let mut answer_addresses = answer_addresses.into_iter();
            for output in out.drain(..) {
                // Send errors are ignored: the protocols tolerate lost datagrams.
                match output {
                    Output::Send(to, bytes) => {
                        if let Some(peer) = self.section.member.get(usize::from(to)) {
                            let _ = socket.try_send_to(&bytes, peer.address);
                        }
                    }
                    Output::Answer(bytes) => {
                        if let Some(to) = answer_addresses.next() {
                            let _ = socket.try_send_to(&bytes, to);
                        }
                    }
                    Output::Event(Event::Superseded(known)) => return Some(known),
                    Output::Event(event) => self.log_event(&event),
                    Output::Message(..) | Output::StreamEnded(..) | Output::Restarted(_) => {
                        self.protocols.deliver(output)
                    }
                }
            }
        }
    }

    fn log_event(&self, event: &Event) {
        let name = |front: u16| {
            self.section
                .member
                .get(usize::from(front))
                .map_or("?", |m| m.name.as_str())
        };
        match event {
            Event::Member(change) => tracing::info!(
                front = name(change.front),
                from = change.from.as_str(),
                to = change.to.as_str(),
                by = name(change.reported_by),
                reborn = change.restarted,
                unix_us = unix_us(),
                "fleet: member"
            ),
            Event::View(view) => {
                let members: Vec<&str> = view.members.iter().map(name).collect();
                tracing::info!(view = %view.number, prev = %view.previous, members = members.join(" "), unix_us = unix_us(), "fleet: view");
            }
            Event::Participation(from, to) => {
                tracing::info!(
                    from = from.as_str(),
                    to = to.as_str(),
                    unix_us = unix_us(),
                    "fleet: participation changed"
                );
            }
            Event::Leads(true) => tracing::info!("fleet: this front leads"),
            Event::Leads(false) => tracing::info!("fleet: this front no longer leads"),
            Event::Paused(gap) => {
                tracing::warn!(ms = gap / 1000, "fleet: this process was suspended")
            }
            Event::DuplicateName(front, process_incarnation) => {
                tracing::error!(
                    front = name(*front),
                    life = process_incarnation,
                    "fleet: another process uses this name"
                );
            }
            Event::RosterMismatch(front) => {
                tracing::error!(
                    front = name(*front),
                    "fleet: this front is configured with other members, lease, drift or reserve"
                )
            }
            Event::Superseded(_) => {}
        }
    }
}

/// Logs at debug level what the request engine may use from now on. The wall clock is read only for logs and new incarnations.
fn log_quota_shares(shares: &QuotaShares, now: i64) {
    if tracing::enabled!(tracing::Level::DEBUG) {
        let now_unix_us = unix_us();
        let factors: Vec<String> = shares
            .volume_factors
            .iter()
            .map(|(v, f)| format!("{:x}:{f}", v.0))
            .collect();
        let until_unix_us = if shares.valid_until > now {
            now_unix_us.saturating_add_signed(shares.valid_until - now)
        } else {
            0
        };
        tracing::debug!(
            unix_us = now_unix_us,
            until_unix_us = until_unix_us,
            reserve = shares.reserve,
            cold = shares.slow_start,
            factors = factors.join(" "),
            rest = shares.default_volume_factor,
            "fleet: rights"
        );
    }
}

fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// The number of a new process incarnation: the wall clock's milliseconds, and a random number against two starts within one of them.
fn new_process_incarnation() -> u64 {
    (unix_us() / 1000) << 16 | fastrand::u64(1..1 << 16)
}
