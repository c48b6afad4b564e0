//! A core process that is the head of the chain and the owner of all shards, and answers as scripted by the test.

use super::process::{Addresses, CORE};
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, OwnerMessage};
use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::{Frame, Hello, Interest, Role};
use lupinrack_cluster_api::identity::{
    Attempt, DiskId, FencingToken, PeerAddress, ServerId, TaskId,
};
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_transport::peers::{PeerEvent, PeerSettings, Peers};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The disk of the scripted core process.
const DISK: DiskId = DiskId(0x0101_0101_0101_0101);

/// The interval of the owner's lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// The answers to the next calls, and the calls that were received.
#[derive(Debug, Default)]
pub struct Script {
    replies: Mutex<VecDeque<Reply>>,
    asked: Mutex<Vec<String>>,
}

impl Script {
    /// Appends an answer to the script.
    pub fn then(&self, reply: Reply) {
        self.replies.lock().expect("no panic").push_back(reply);
    }

    /// Records a call and takes its answer off the script; `None` leaves the call without an answer.
    pub fn take(&self, request: &Request) -> Option<Reply> {
        self.asked.lock().expect("no panic").push(hex(request));
        self.replies.lock().expect("no panic").pop_front()
    }

    /// Takes the calls that were recorded since the last time.
    pub fn take_asked(&self) -> Vec<String> {
        std::mem::take(&mut self.asked.lock().expect("no panic"))
    }

    /// Drops the answers that are left in the script.
    pub fn clear(&self) {
        self.replies.lock().expect("no panic").clear();
    }
}

/// The encoded form of a value, in lower-case hexadecimal digits.
fn hex(value: &impl borsh::BorshSerialize) -> String {
    let bytes = borsh::to_vec(value).expect("the value can be encoded");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The owner's answer to each attach of an agent.
#[derive(Clone, Debug)]
pub struct Orders {
    /// The owner's token.
    pub token: FencingToken,
    /// Tasks to run.
    pub assign: Vec<Assignment>,
    /// Attempts to stop.
    pub stop: Vec<(TaskId, Attempt)>,
    /// Ends up to this number are recorded.
    pub observed: u64,
    /// The lease of the tasks on the server, in milliseconds.
    pub lease_ms: u64,
    /// How long the agent waits before its next heartbeat, in milliseconds.
    pub heartbeat_after_ms: u64,
}

/// The state of the scripted core process.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// The number of its view.
    pub view_number: u64,
    /// The configuration that it sends to subscribers.
    pub configuration: Configuration,
    /// The answer to agents; `None` leaves them without one.
    pub orders: Option<Orders>,
}

/// Starts the scripted core process.
pub fn start(addresses: Addresses, knowledge: Knowledge, script: Arc<Script>) {
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("a runtime")
            .block_on(serve(addresses, knowledge, script));
    });
}

async fn serve(addresses: Addresses, knowledge: Knowledge, script: Arc<Script>) {
    let address = PeerAddress(addresses.internal(CORE));
    let zone = "north".to_owned();
    let hello = Hello {
        address,
        role: Role::Core,
        zone: zone.clone(),
        incarnation: 1,
        disk: Some(DISK),
    };
    let started = Peers::start(address.0, hello, PeerSettings::default());
    let (peers, mut events) = started.expect("the internal address is free");
    let voter = Voter {
        disk: DISK,
        address,
        zone,
    };
    let view = View {
        number: knowledge.view_number,
        voters: vec![voter],
        chain: vec![DISK],
    };
    let mut owner = knowledge.orders.clone().map(Owner::new);
    let mut renewal = tokio::time::interval(RENEWAL_INTERVAL);
    loop {
        tokio::select! {
            Some(event) = events.recv() => {
                let PeerEvent::Frame { connection, frame, .. } = event else { continue };
                for answer in answers(connection, frame, &knowledge, &view, &script, owner.as_mut()) {
                    peers.send_on(connection, answer);
                }
            }
            _ = renewal.tick() => {
                if let Some((connection, message)) = owner.as_mut().and_then(Owner::renew) {
                    peers.send_on(connection, Frame::Owner(message));
                }
            }
        }
    }
}

fn answers(
    connection: u64,
    frame: Frame,
    knowledge: &Knowledge,
    view: &View,
    script: &Script,
    owner: Option<&mut Owner>,
) -> Vec<Frame> {
    match frame {
        Frame::Subscribe {
            interest,
            requested_at,
        } => {
            let mut frames = vec![Frame::ViewUpdate(view.clone())];
            if let Interest::Configuration { have } = interest {
                frames.push(update(have, requested_at, &knowledge.configuration));
            }
            frames
        }
        Frame::Request { id, request, .. } => script
            .take(&request)
            .map(|reply| Frame::Reply { id, reply })
            .into_iter()
            .collect(),
        Frame::Agent(AgentMessage::Attach { facts, sent_at, .. }) => owner
            .map(|owner| Frame::Owner(owner.attach(connection, facts.id, sent_at)))
            .into_iter()
            .collect(),
        _ => Vec::new(),
    }
}

fn update(have: u64, requested_at: Millis, configuration: &Configuration) -> Frame {
    let version = configuration.version;
    let configuration = (have != version).then(|| configuration.clone());
    Frame::ConfigurationUpdate {
        requested_at,
        age_ms: 0,
        version,
        configuration,
    }
}

/// The owner's side of the latest session with an agent.
struct Owner {
    orders: Orders,
    session: Option<OwnerSession>,
}

struct OwnerSession {
    connection: u64,
    server: ServerId,
    attached_at: Millis,
    last_number: u64,
}

impl Owner {
    fn new(orders: Orders) -> Owner {
        Owner {
            orders,
            session: None,
        }
    }

    /// Starts a session and returns the owner's first message.
    fn attach(&mut self, connection: u64, server: ServerId, attached_at: Millis) -> OwnerMessage {
        let session = OwnerSession {
            connection,
            server,
            attached_at,
            last_number: 1,
        };
        let Orders { assign, stop, .. } = self.orders.clone();
        let message = OwnerMessage {
            complete: true,
            assign,
            stop,
            ..session.message(&self.orders)
        };
        self.session = Some(session);
        message
    }

    /// A message that only renews the lease, and its connection. Without messages an agent regards its owner as gone.
    fn renew(&mut self) -> Option<(u64, OwnerMessage)> {
        let session = self.session.as_mut()?;
        session.last_number += 1;
        Some((session.connection, session.message(&self.orders)))
    }
}

impl OwnerSession {
    fn message(&self, orders: &Orders) -> OwnerMessage {
        OwnerMessage {
            token: orders.token,
            server: self.server.clone(),
            number: self.last_number,
            complete: false,
            assign: Vec::new(),
            stop: Vec::new(),
            observed: orders.observed,
            lease_from: self.attached_at,
            lease_ms: orders.lease_ms,
            heartbeat_after_ms: orders.heartbeat_after_ms,
        }
    }
}
