//! The values whose encodings are kept.

mod control;
mod messages;

pub(crate) use control::*;
pub(crate) use messages::*;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{DiskId, JobId, PeerAddress, ServerId, ServiceName, TaskId};
use lupinrack_cluster_api::job::{JobState, Resources};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::view::{View, Voter};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Every state of a job.
pub(crate) const JOB_STATES: [JobState; 5] = [
    JobState::Queued,
    JobState::Running,
    JobState::Succeeded,
    JobState::Failed,
    JobState::Cancelled,
];

/// Every end of a run, under a name.
pub(crate) const RUN_ENDS: [(&str, RunEnd); 7] = [
    ("done", RunEnd::Done),
    ("failed", RunEnd::Failed),
    ("stopped", RunEnd::Stopped),
    ("lapsed", RunEnd::LeaseExpired),
    ("broken", RunEnd::Broken),
    ("alone", RunEnd::Alone),
    ("refused", RunEnd::Refused),
];

/// Every kind of error, under a name.
pub(crate) const ERROR_KINDS: [(&str, ErrorKind); 13] = [
    ("malformed", ErrorKind::Malformed),
    ("invalid configuration", ErrorKind::InvalidConfiguration),
    ("version conflict", ErrorKind::VersionConflict),
    ("unknown queue", ErrorKind::UnknownQueue),
    ("unknown job", ErrorKind::UnknownJob),
    ("not served", ErrorKind::NotServed),
    ("too large", ErrorKind::TooLarge),
    ("not taken", ErrorKind::NotTaken),
    ("overloaded", ErrorKind::Overloaded),
    ("in doubt", ErrorKind::InDoubt),
    ("fenced", ErrorKind::Fenced),
    ("shutting down", ErrorKind::ShuttingDown),
    ("too slow", ErrorKind::TooSlow),
];

pub(crate) fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 2, 3, number),
        7000 + u16::from(number),
    ))
}

pub(crate) fn task(number: u32) -> TaskId {
    TaskId {
        job: JobId(u64::from(number)),
        occurrence: number + 1,
        step: number + 2,
        index: number + 3,
    }
}

pub(crate) fn server() -> ServerId {
    ServerId("server-5".to_owned())
}

pub(crate) fn service() -> ServiceName {
    ServiceName("worker".to_owned())
}

pub(crate) fn resources(first: u64) -> Resources {
    Resources {
        cpu: first,
        memory_mb: first + 1,
        gpu: first + 2,
    }
}

pub(crate) fn voter(number: u8) -> Voter {
    Voter {
        disk: DiskId(u64::from(number)),
        address: address(number),
        zone: format!("zone-{number}"),
    }
}

pub(crate) fn view(number: u64) -> View {
    View {
        number,
        voters: vec![voter(1), voter(2), voter(3)],
        chain: vec![DiskId(3), DiskId(1)],
    }
}
