//! Messages between processes, and the frames that carry them.

use super::{
    address, all_operations, all_replies, all_requests, configuration, resources, server, service,
    task, view, voter,
};
use lupinrack_cluster_api::agent::{AgentMessage, Assignment, Heartbeat, OwnerMessage};
use lupinrack_cluster_api::agreement::{AgreementMessage, ProposalNumber};
use lupinrack_cluster_api::chain::{ChainMessage, ReplicaReport, SnapshotIdentity};
use lupinrack_cluster_api::core_heartbeat::{CoreHeartbeat, HeartbeatStamp};
use lupinrack_cluster_api::frame::{Frame, Hello, Interest, Role};
use lupinrack_cluster_api::identity::{DiskId, FencingToken};
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::request::CallId;
use lupinrack_cluster_api::server::{FinishedTask, RunEnd, RunningTask, ServerFacts};
use lupinrack_cluster_api::time::Millis;

pub(crate) fn server_facts() -> ServerFacts {
    ServerFacts {
        id: server(),
        service: service(),
        version: "1.2".to_owned(),
        zone: "zone-a".to_owned(),
        capacity: resources(60),
        labels: vec!["ssd".to_owned(), "rack-1".to_owned()],
    }
}

pub(crate) fn running_task() -> RunningTask {
    RunningTask {
        task: task(61),
        attempt: 62,
        checkpoint: "half".to_owned(),
        percent: 63,
    }
}

pub(crate) fn finished_task(end: RunEnd) -> FinishedTask {
    FinishedTask {
        number: 64,
        task: task(65),
        attempt: 66,
        end,
        checkpoint: String::new(),
    }
}

pub(crate) fn heartbeat(remaining_ms: Option<u64>) -> Heartbeat {
    Heartbeat {
        server: server(),
        sequence: 67,
        draining: remaining_ms.is_some(),
        remaining_ms,
        running: vec![running_task()],
        finished: vec![
            finished_task(RunEnd::Done),
            finished_task(RunEnd::LeaseExpired),
        ],
        orders_seen: 68,
    }
}

pub(crate) fn assignment() -> Assignment {
    Assignment {
        task: task(69),
        attempt: 70,
        spec: "work".to_owned(),
        checkpoint: "half".to_owned(),
    }
}

pub(crate) fn owner_message() -> OwnerMessage {
    OwnerMessage {
        token: FencingToken(71),
        server: server(),
        number: 72,
        complete: true,
        assign: vec![assignment()],
        stop: vec![(task(73), 74), (task(75), 76)],
        observed: 77,
        lease_from: Millis(78),
        lease_ms: 79,
        heartbeat_after_ms: 80,
    }
}

pub(crate) fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber {
        term,
        incarnation: term + 100,
    }
}

/// Every message of the agreement on views, under a name.
pub(crate) fn all_agreement_messages() -> Vec<(&'static str, AgreementMessage)> {
    let (proposal_number, disk) = (proposal_number(81), DiskId(82));
    let higher = ProposalNumber {
        term: 83,
        incarnation: 84,
    };
    let lower = ProposalNumber {
        term: 85,
        incarnation: 86,
    };
    vec![
        ("prepare", AgreementMessage::Prepare { proposal_number }),
        (
            "promise",
            AgreementMessage::Prepared {
                proposal_number,
                disk,
                accepted_proposal: lower,
                accepted: view(87),
            },
        ),
        (
            "promise of a voter that accepted nothing",
            AgreementMessage::Prepared {
                proposal_number,
                disk,
                accepted_proposal: ProposalNumber::default(),
                accepted: Default::default(),
            },
        ),
        (
            "accept",
            AgreementMessage::Accept {
                proposal_number,
                view: view(88),
            },
        ),
        (
            "accepted",
            AgreementMessage::Accepted {
                proposal_number,
                disk,
            },
        ),
        (
            "rejected",
            AgreementMessage::Rejected {
                proposal_number,
                prepared: higher,
            },
        ),
        ("agreed", AgreementMessage::Agreed { view: view(89) }),
    ]
}

pub(crate) fn snapshot_identity() -> SnapshotIdentity {
    SnapshotIdentity {
        index: 90,
        chunks: 91,
        checksum: 92,
    }
}

/// Every message of the replication chain, under a name.
pub(crate) fn all_chain_messages() -> Vec<(&'static str, ChainMessage)> {
    let (view_number, snapshot) = (93, snapshot_identity());
    let numbered = |(index, (_, operation))| LogEntry { index, operation };
    let entries = (94..).zip(all_operations()).map(numbered).collect();
    vec![
        (
            "append",
            ChainMessage::Append {
                view: view_number,
                previous: 95,
                entries,
                committed: 96,
                barrier: 97,
            },
        ),
        (
            "append of no entries",
            ChainMessage::Append {
                view: view_number,
                previous: 98,
                entries: Vec::new(),
                committed: 99,
                barrier: 100,
            },
        ),
        (
            "acknowledge",
            ChainMessage::Acknowledge {
                view: view_number,
                synced: 101,
                barrier: 102,
            },
        ),
        (
            "resend",
            ChainMessage::Resend {
                view: view_number,
                have: 103,
            },
        ),
        (
            "snapshot",
            ChainMessage::Snapshot {
                view: view_number,
                snapshot,
                chunk: 104,
                bytes: vec![1, 2, 3],
            },
        ),
        (
            "snapshot received",
            ChainMessage::SnapshotReceived {
                view: view_number,
                snapshot,
                chunks: 105,
            },
        ),
        (
            "join",
            ChainMessage::Join {
                view: view_number,
                disk: DiskId(106),
                have: Some(107),
            },
        ),
        (
            "join without a log",
            ChainMessage::Join {
                view: view_number,
                disk: DiskId(108),
                have: None,
            },
        ),
        ("outdated", ChainMessage::Outdated { view: view(109) }),
    ]
}

pub(crate) fn hello(role: Role, disk: Option<DiskId>) -> Hello {
    Hello {
        address: address(110),
        role,
        zone: "zone-b".to_owned(),
        incarnation: 111,
        disk,
    }
}

/// Every kind of frame, under a name; frames that carry calls or operations with each of those.
pub(crate) fn all_frames() -> Vec<(String, Frame)> {
    let mut frames = vec![
        (
            "hello".to_owned(),
            Frame::Hello(hello(Role::Core, Some(DiskId(112)))),
        ),
        (
            "hello without a disk".to_owned(),
            Frame::Hello(hello(Role::Frontend, None)),
        ),
    ];
    let id = CallId {
        incarnation: 113,
        number: 114,
    };
    frames.extend(all_requests().into_iter().map(|(name, request)| {
        (
            format!("request {name}"),
            Frame::Request {
                id,
                remaining_ms: 115,
                request,
            },
        )
    }));
    let replies = all_replies().into_iter();
    frames
        .extend(replies.map(|(name, reply)| (format!("reply {name}"), Frame::Reply { id, reply })));
    frames.extend(heartbeats());
    let agreement = all_agreement_messages().into_iter();
    frames.extend(
        agreement.map(|(name, message)| (format!("agreement {name}"), Frame::Agreement(message))),
    );
    let chain = all_chain_messages().into_iter();
    frames.extend(chain.map(|(name, message)| (format!("chain {name}"), Frame::Chain(message))));
    let operations = all_operations().into_iter();
    frames.extend(
        operations.map(|(name, operation)| (format!("submit {name}"), Frame::Submit(operation))),
    );
    frames.push((
        "agent".to_owned(),
        Frame::Agent(AgentMessage::Deregister { server: server() }),
    ));
    frames.push(("owner".to_owned(), Frame::Owner(owner_message())));
    frames.push(("news of a view".to_owned(), Frame::ViewUpdate(view(116))));
    frames.extend(subscriptions());
    frames
}

/// Heartbeats between core processes, each with one of its flags set.
fn heartbeats() -> Vec<(String, Frame)> {
    let heartbeat = |disk_healthy, draining, replica| {
        Frame::Heartbeat(CoreHeartbeat {
            voter: voter(117),
            view: view(118),
            disk_healthy,
            draining,
            replica,
            applied: 124,
            sent_at: Millis(119),
            acknowledges: draining.then_some(HeartbeatStamp {
                incarnation: 120,
                sent_at: Millis(121),
            }),
            linked: vec![DiskId(122), DiskId(123)],
        })
    };
    let caught_up = ReplicaReport {
        caught_up: true,
        ..ReplicaReport::default()
    };
    let complete = ReplicaReport {
        complete: true,
        ..ReplicaReport::default()
    };
    let needs_view = ReplicaReport {
        needs_view: true,
        ..ReplicaReport::default()
    };
    vec![
        (
            "heartbeat of a healthy disk".to_owned(),
            heartbeat(true, false, caught_up),
        ),
        (
            "heartbeat of one that leaves".to_owned(),
            heartbeat(false, true, complete),
        ),
        (
            "heartbeat of one that needs a view".to_owned(),
            heartbeat(false, false, needs_view),
        ),
    ]
}

/// Subscriptions, and the messages to subscribers.
fn subscriptions() -> Vec<(String, Frame)> {
    let requested_at = Millis(119);
    let news = |configuration| Frame::ConfigurationUpdate {
        requested_at,
        age_ms: 120,
        version: 121,
        configuration,
    };
    vec![
        (
            "subscription to views".to_owned(),
            Frame::Subscribe {
                interest: Interest::Views,
                requested_at,
            },
        ),
        (
            "subscription to configurations".to_owned(),
            Frame::Subscribe {
                interest: Interest::Configuration { have: 122 },
                requested_at,
            },
        ),
        (
            "news of a configuration".to_owned(),
            news(Some(configuration())),
        ),
        ("news of no new configuration".to_owned(), news(None)),
    ]
}
