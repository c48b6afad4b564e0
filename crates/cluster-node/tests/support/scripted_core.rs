//! A core process that is the head of the chain and the owner of all shards, and answers as the test says.

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

/// The disk of the scripted core process.
const DISK: DiskId = DiskId(0x0101_0101_0101_0101);

/// What is answered to the next calls, and which calls came.
#[derive(Debug, Default)]
pub struct Script {
    replies: Mutex<VecDeque<Reply>>,
    asked: Mutex<Vec<String>>,
}

impl Script {
    /// Has a call answered so that comes after those that have an answer already.
    pub fn then(&self, reply: Reply) {
        self.replies.lock().expect("no panic").push_back(reply);
    }

    /// Notes a call, and takes its answer off the script; none where it is to be left without one.
    pub fn take(&self, request: &Request) -> Option<Reply> {
        self.asked.lock().expect("no panic").push(hex(request));
        self.replies.lock().expect("no panic").pop_front()
    }

    /// The calls that came since the last time.
    pub fn take_asked(&self) -> Vec<String> {
        std::mem::take(&mut self.asked.lock().expect("no panic"))
    }

    /// Drops answers that no call came for.
    pub fn clear(&self) {
        self.replies.lock().expect("no panic").clear();
    }
}

/// The encoded form of a value, in lower-case hexadecimal digits.
fn hex(value: &impl borsh::BorshSerialize) -> String {
    let bytes = borsh::to_vec(value).expect("it can be encoded");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What the owner tells the agent of a server in answer to each attach.
#[derive(Clone, Debug)]
pub struct Orders {
    /// The owner's token.
    pub token: FencingToken,
    /// What should run.
    pub assign: Vec<Assignment>,
    /// What should not.
    pub stop: Vec<(TaskId, Attempt)>,
    /// Ends up to this number are kept.
    pub observed: u64,
    /// How long the server may hold what runs, in milliseconds.
    pub lease_ms: u64,
    /// How long it should wait before it beats again, in milliseconds.
    pub heartbeat_after_ms: u64,
}

/// What the scripted core process knows.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// The number of its view.
    pub view_number: u64,
    /// The configuration that it tells subscribers.
    pub configuration: Configuration,
    /// What it tells agents; nothing where there is none.
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
    while let Some(event) = events.recv().await {
        let PeerEvent::Frame {
            connection, frame, ..
        } = event
        else {
            continue;
        };
        for answer in answers(frame, &knowledge, &view, &script) {
            peers.send_on(connection, answer);
        }
    }
}

fn answers(frame: Frame, knowledge: &Knowledge, view: &View, script: &Script) -> Vec<Frame> {
    match frame {
        Frame::Subscribe {
            interest,
            requested_at,
        } => {
            let mut frames = vec![Frame::ViewUpdate(view.clone())];
            if let Interest::Configuration { have } = interest {
                frames.push(news(have, requested_at, &knowledge.configuration));
            }
            frames
        }
        Frame::Request { id, request, .. } => script
            .take(&request)
            .map(|reply| Frame::Reply { id, reply })
            .into_iter()
            .collect(),
        Frame::Agent(AgentMessage::Attach { facts, sent_at, .. }) => {
            let orders = knowledge.orders.clone();
            orders
                .map(|orders| Frame::Owner(first_message(orders, facts.id, sent_at)))
                .into_iter()
                .collect()
        }
        _ => Vec::new(),
    }
}

fn news(have: u64, requested_at: Millis, configuration: &Configuration) -> Frame {
    let version = configuration.version;
    let configuration = (have != version).then(|| configuration.clone());
    Frame::ConfigurationUpdate {
        requested_at,
        age_ms: 0,
        version,
        configuration,
    }
}

fn first_message(orders: Orders, server: ServerId, attached_at: Millis) -> OwnerMessage {
    let Orders {
        token,
        assign,
        stop,
        observed,
        lease_ms,
        heartbeat_after_ms,
    } = orders;
    OwnerMessage {
        token,
        server,
        number: 1,
        complete: true,
        assign,
        stop,
        observed,
        lease_from: attached_at,
        lease_ms,
        heartbeat_after_ms,
    }
}
