//! The driver of the fleet's machines: one UDP socket, one clock. It carries out what they decide, hands rights to the core, answers
//! the door, and is the way of each machine that is attached to the same machine at other fronts. No decision is made here.
#![warn(missing_docs)]
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub)]

mod machines;
mod report;

pub use machines::{Heard, Machine, Words};
pub use report::{Line, Report};

use lupinrack_fleet::{Hub, Out};
use lupinrack_fleet_membership::config::Section;
use lupinrack_fleet_membership::{Event, Source};
use lupinrack_graceful_shutdown::Phase;
use lupinrack_peer_transport::{Tag, LONGEST};
use lupinrack_policy::QuotaShares;
use lupinrack_request_engine::EngineHandle;
use machines::Machines;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, sleep_until};

/// Questions that may wait.
const ASKING_MOST: usize = 32;
/// What machines say that is taken in one turn.
const WORDS_MOST: usize = 64;
/// Datagrams taken in one turn.
const TURN_MOST: usize = 256;
/// The wait between two tries to get the address, while an earlier process of this front holds it.
const RETRY: Duration = Duration::from_millis(50);
/// How often the core is asked what it served.
const SERVED: i64 = 250_000;

/// Why there is no membership.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be had.
    #[error("fleet: {0}: {1}")]
    Bind(SocketAddr, std::io::Error),
    /// The section names no such member.
    #[error("fleet: '{0}' is not among the members")]
    Name(String),
}

/// The way to the driver, for the door.
#[derive(Clone, Debug)]
pub struct Fleet(mpsc::Sender<oneshot::Sender<Report>>);

impl Fleet {
    /// What this front knows of its fleet; none where it has no place in it yet.
    pub async fn report(&self) -> Option<Report> {
        let (tell, told) = oneshot::channel();
        self.0.send(tell).await.ok()?;
        told.await.ok()
    }
}

/// The driver of one process.
pub struct Driver {
    section: Section,
    me: u16,
    core: EngineHandle,
    listen: SocketAddr,
    peers: HashMap<SocketAddr, u16>,
    asked: mpsc::Receiver<oneshot::Sender<Report>>,
    /// Another process may be this front too: then this one has the reserve while the other holds the address.
    shared: bool,
    machines: Machines,
}

impl Driver {
    /// A driver as the section wants it.
    pub fn new(
        section: Section,
        core: EngineHandle,
        shared: bool,
    ) -> Result<(Driver, Fleet), StartError> {
        let me = section
            .own_index()
            .ok_or_else(|| StartError::Name(section.name.clone()))?;
        let own = section.member.get(usize::from(me)).map(|m| m.address);
        let listen = section
            .listen
            .or(own)
            .ok_or_else(|| StartError::Name(section.name.clone()))?;
        let peers = section
            .member
            .iter()
            .enumerate()
            .map(|(i, m)| (m.address, i as u16))
            .collect();
        let (ask, asked) = mpsc::channel(ASKING_MOST);
        let machines = Machines::default();
        Ok((
            Driver {
                section,
                me,
                core,
                listen,
                peers,
                asked,
                shared,
                machines,
            },
            Fleet(ask),
        ))
    }

    /// The way of a machine to the same machine at other fronts, one for each tag; to be asked for before the driver runs.
    pub fn attach(&mut self, tag: Tag) -> Machine {
        self.machines.attach(tag)
    }

    /// Takes the front's place in its fleet. Until then it may use nothing that is shared, or the reserve where another process
    /// of this front is at work.
    pub async fn begin(&self) -> Result<Option<UdpSocket>, StartError> {
        let reserve = if self.shared {
            self.section.reserve
        } else {
            0.0
        };
        self.core
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

    /// Runs until the process ends.
    pub async fn run(mut self, socket: Option<UdpSocket>, mut phase: watch::Receiver<Phase>) {
        let socket = match socket {
            Some(socket) => socket,
            None => loop {
                sleep(RETRY).await;
                if let Ok(socket) = UdpSocket::bind(self.listen).await {
                    break socket;
                }
            },
        };
        let mut life = fresh();
        loop {
            let Some(above) = self.live(&socket, life, &mut phase).await else {
                return;
            };
            // The wall clock stepped back: lives are numbered on from what others know.
            life = life.max(above).saturating_add(1);
            tracing::warn!(
                life,
                "fleet: others know a later life of this name; begins anew above it"
            );
        }
    }

    /// One life; it ends with the core, or where others know a later one.
    async fn live(
        &mut self,
        socket: &UdpSocket,
        life: u64,
        phase: &mut watch::Receiver<Phase>,
    ) -> Option<u64> {
        let clock = self.core.clock;
        let mut front = Hub::new(&self.section, self.me, life, fastrand::u64(..), clock.now());
        self.machines.renew();
        let step = front.step();
        let (mut next, mut ask) = (clock.now(), 0);
        let mut told: Option<QuotaShares> = None;
        let mut out = Vec::new();
        // One byte more than allowed: a longer datagram shows by its length.
        let mut buffer = [0; LONGEST + 1];
        tracing::info!(life, listen = %socket.local_addr().unwrap_or(self.listen), fronts = self.section.member.len(), "fleet: begins");
        loop {
            tokio::select! {
                biased;
                () = sleep_until(clock.instant(next)) => {}
                ready = socket.readable() => if ready.is_err() { sleep(RETRY).await },
                Some(tell) = self.asked.recv() => {
                    let now = clock.now();
                    let _ = tell.send(Report::new(&self.section, now, &front.told(now), &front.rights(now)));
                    continue;
                }
                words = self.machines.words() => self.machines.say(clock.now(), words, &mut front, &mut out),
            }
            let mut strangers = Vec::new();
            for _ in 0..TURN_MOST {
                // A peer that is away answers with an error of the system's; it says nothing of this socket.
                let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                    break;
                };
                let source = self
                    .peers
                    .get(&from)
                    .map_or(Source::Unknown, |i| Source::Peer(*i));
                let at = out.len();
                front.datagram(clock.now(), source, &buffer[..length], &mut out);
                let answers = out
                    .iter()
                    .skip(at)
                    .filter(|o| matches!(o, Out::Answer(_)))
                    .count();
                strangers.extend(std::iter::repeat_n(from, answers));
            }
            self.machines.listen(&mut front);
            for _ in 0..WORDS_MOST {
                let Some(words) = self.machines.word() else {
                    break;
                };
                self.machines.say(clock.now(), words, &mut front, &mut out);
            }
            let now = clock.now();
            if now >= next {
                next = now + step;
                if *phase.borrow() >= Phase::Draining {
                    front.leave(now, &mut out);
                }
                if now >= ask {
                    ask = now + SERVED;
                    for served in self.core.take_served_volumes().await? {
                        front.serves(now, served.volume, served.hosts);
                    }
                }
                front.tick(clock.now(), &mut out);
            }
            // Before anything is answered: others rest on what this front no longer uses.
            let rights = front.rights(clock.now());
            if told.as_ref() != Some(&rights) {
                note(&rights, clock.now());
                self.core.set_quota_shares(rights.clone()).await;
                told = Some(rights);
            }
            self.machines.stands(|| front.standing(clock.now()));
            let mut strangers = strangers.into_iter();
            for o in out.drain(..) {
                // A datagram that cannot be sent is one that was lost.
                match o {
                    Out::Send(to, bytes) => {
                        if let Some(peer) = self.section.member.get(usize::from(to)) {
                            let _ = socket.try_send_to(&bytes, peer.address);
                        }
                    }
                    Out::Answer(bytes) => {
                        if let Some(to) = strangers.next() {
                            let _ = socket.try_send_to(&bytes, to);
                        }
                    }
                    Out::Event(Event::Superseded(above)) => return Some(above),
                    Out::Event(event) => self.tell(&event),
                    Out::Said(..) | Out::Ended(..) | Out::Reborn(_) => self.machines.hear(o),
                }
            }
        }
    }

    fn tell(&self, event: &Event) {
        let name = |i: u16| {
            self.section
                .member
                .get(usize::from(i))
                .map_or("?", |m| m.name.as_str())
        };
        match event {
            Event::Member(c) => tracing::info!(
                front = name(c.front),
                from = c.from.as_str(),
                to = c.to.as_str(),
                by = name(c.reported_by),
                reborn = c.restarted,
                unix_us = unix_us(),
                "fleet: member"
            ),
            Event::View(v) => {
                let members: Vec<&str> = v.members.iter().map(name).collect();
                tracing::info!(view = %v.number, prev = %v.previous, members = members.join(" "), unix_us = unix_us(), "fleet: view");
            }
            Event::Participation(from, to) => {
                tracing::info!(
                    from = from.as_str(),
                    to = to.as_str(),
                    unix_us = unix_us(),
                    "fleet: stance"
                );
            }
            Event::Leads(true) => tracing::info!("fleet: stands for leader"),
            Event::Leads(false) => tracing::info!("fleet: leads no longer"),
            Event::Paused(gap) => {
                tracing::warn!(ms = gap / 1000, "fleet: this process did not run")
            }
            Event::DuplicateName(of, life) => {
                tracing::error!(
                    front = name(*of),
                    life,
                    "fleet: another life uses this name from elsewhere"
                );
            }
            Event::RosterMismatch(of) => {
                tracing::error!(
                    front = name(*of),
                    "fleet: its members, lease, drift or reserve differ"
                )
            }
            Event::Superseded(_) => {}
        }
    }
}

/// What may be used from now on, in a line for whoever follows closely; the wall clock is read for nothing else.
fn note(rights: &QuotaShares, now: i64) {
    if tracing::enabled!(tracing::Level::DEBUG) {
        let unix = unix_us();
        let factors: Vec<String> = rights
            .volume_factors
            .iter()
            .map(|(v, f)| format!("{:x}:{f}", v.0))
            .collect();
        let until = if rights.valid_until > now {
            unix.saturating_add_signed(rights.valid_until - now)
        } else {
            0
        };
        tracing::debug!(
            unix_us = unix,
            until_unix_us = until,
            reserve = rights.reserve,
            cold = rights.slow_start,
            factors = factors.join(" "),
            rest = rights.default_volume_factor,
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

/// A number for a new life: the wall clock's milliseconds, and some chance against two within one.
fn fresh() -> u64 {
    (unix_us() / 1000) << 16 | fastrand::u64(1..1 << 16)
}
