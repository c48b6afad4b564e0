//! The status that a process reports to operators, as lines of a key and its value.

use lupinrack_cluster_api::identity::{DiskId, PeerAddress, QueueName, ServerId, ServiceName};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_state::ControlState;
use lupinrack_scheduler::ServiceSummary;
use std::fmt;

/// The path at which every process serves its status.
pub const STATUS_PATH: &str = "/lupinrack/status";

/// The status of a core process.
#[derive(Clone, Copy, Debug)]
pub struct CoreStatus<'a> {
    /// The name of its machine.
    pub node: &'a str,
    /// Its disk and address.
    pub me: &'a Voter,
    /// The newest known view.
    pub view: &'a View,
    /// The control state that is applied here.
    pub state: &'a ControlState,
    /// The index of the last applied log entry.
    pub applied: u64,
    /// The index of the last log entry that is known to be committed.
    pub committed: u64,
    /// Number of received replies that match none of its open calls: late, duplicate or unsolicited ones.
    pub unmatched_replies: u64,
    /// The services whose shards it owns.
    pub services: &'a [(ServiceName, ServiceSummary)],
}

impl fmt::Display for CoreStatus<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "node {}", self.node)?;
        writeln!(f, "class core")?;
        writeln!(f, "disk {:016x}", self.me.disk.0)?;
        write_view(f, self.view)?;
        match self.view.position(self.me.disk) {
            Some(position) => writeln!(f, "chain position {position}")?,
            None => writeln!(f, "chain position none")?,
        }
        writeln!(f, "applied {}", self.applied)?;
        writeln!(f, "committed {}", self.committed)?;
        writeln!(f, "configuration {}", self.state.configuration().version)?;
        writeln!(f, "jobs {}", self.state.jobs().len())?;
        writeln!(f, "unmatched answers {}", self.unmatched_replies)?;
        self.write_queues(f)?;
        self.write_owners(f)?;
        self.write_retired_services(f)?;
        self.services
            .iter()
            .try_for_each(|(service, summary)| write_service(f, service, summary))
    }
}

impl CoreStatus<'_> {
    fn write_queues(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for route in &self.state.configuration().routes {
            let QueueName(name) = &route.name;
            writeln!(
                f,
                "queue {name}: pending {}",
                self.state.pending(&route.name)
            )?;
        }
        Ok(())
    }

    /// Writes the services outside the configuration in which work remains.
    fn write_retired_services(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let configured = &self.state.configuration().services;
        for service in self.state.services_in_use() {
            if configured.iter().any(|known| known.name == *service) {
                continue;
            }
            let jobs = self.state.jobs();
            let (open, with_runs) = (jobs.open_jobs(service), jobs.jobs_with_runs(service));
            writeln!(
                f,
                "retired service {}: open jobs {}, jobs that may run there {}",
                service.0,
                open.count(),
                with_runs.count()
            )?;
        }
        Ok(())
    }

    fn write_owners(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (ServiceName(name), shard) in self.state.shards().iter() {
            writeln!(
                f,
                "owner of {name}: {}, token {}",
                address_text(self.view, shard.owner),
                shard.token.0
            )?;
        }
        Ok(())
    }
}

/// The status of a front.
#[derive(Clone, Copy, Debug)]
pub struct FrontStatus<'a> {
    /// The name of its machine.
    pub node: &'a str,
    /// Whether it is ready.
    pub ready: bool,
    /// The newest known view.
    pub view: &'a View,
    /// The version of its configuration; 0 if it has none.
    pub configuration: u64,
    /// Milliseconds since the head last confirmed the configuration; none if it never did.
    pub confirmed_ms_ago: Option<u64>,
    /// Number of received replies that match none of its open calls: late, duplicate or unsolicited ones.
    pub unmatched_replies: u64,
}

impl fmt::Display for FrontStatus<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "node {}", self.node)?;
        writeln!(f, "class front")?;
        writeln!(f, "ready {}", if self.ready { "yes" } else { "no" })?;
        write_view(f, self.view)?;
        writeln!(f, "configuration {}", self.configuration)?;
        match self.confirmed_ms_ago {
            Some(ago) => writeln!(f, "confirmed {ago} ms ago")?,
            None => writeln!(f, "confirmed never")?,
        }
        writeln!(f, "unmatched answers {}", self.unmatched_replies)
    }
}

/// The status of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentStatus<'a> {
    /// The name of its machine.
    pub node: &'a str,
    /// The newest known view.
    pub view: &'a View,
    /// Its server, once that has registered.
    pub server: Option<&'a ServerId>,
    /// The server's service.
    pub service: Option<&'a ServiceName>,
    /// The owner of the service's shard.
    pub owner: Option<PeerAddress>,
    /// Milliseconds since the last frame from the owner, or since the session with it began.
    pub owner_received_ms_ago: u64,
    /// The highest fencing token that it has seen.
    pub token: u64,
}

impl fmt::Display for AgentStatus<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "node {}", self.node)?;
        writeln!(f, "class agent")?;
        write_view(f, self.view)?;
        writeln!(
            f,
            "server {}",
            self.server.map_or("none", |server| server.0.as_str())
        )?;
        writeln!(
            f,
            "service {}",
            self.service.map_or("none", |service| service.0.as_str())
        )?;
        match self.owner {
            Some(PeerAddress(owner)) => {
                writeln!(
                    f,
                    "owner {owner}, heard {} ms ago",
                    self.owner_received_ms_ago
                )?;
            }
            None => writeln!(f, "owner none")?,
        }
        writeln!(f, "token {}", self.token)
    }
}

fn write_view(f: &mut fmt::Formatter<'_>, view: &View) -> fmt::Result {
    writeln!(f, "view {}", view.number)?;
    for voter in &view.voters {
        let PeerAddress(address) = voter.address;
        writeln!(
            f,
            "voter {address}, disk {:016x}, zone {}",
            voter.disk.0, voter.zone
        )?;
    }
    let chain: Vec<String> = view
        .chain
        .iter()
        .map(|disk| address_text(view, *disk))
        .collect();
    writeln!(
        f,
        "chain {}",
        if chain.is_empty() {
            "none".to_owned()
        } else {
            chain.join(" ")
        }
    )
}

/// The address of a disk's process, or the disk itself if it is not a voter.
fn address_text(view: &View, disk: DiskId) -> String {
    match view.address(disk) {
        Some(PeerAddress(address)) => address.to_string(),
        None => format!("disk {:016x}", disk.0),
    }
}

fn write_service(
    f: &mut fmt::Formatter<'_>,
    ServiceName(name): &ServiceName,
    summary: &ServiceSummary,
) -> fmt::Result {
    let servers = &summary.servers;
    let draining = servers.iter().filter(|server| server.draining).count();
    let running: usize = servers.iter().flat_map(|server| server.runs.values()).sum();
    let waiting: usize = summary.waiting.values().map(|waiting| waiting.tasks).sum();
    writeln!(
        f,
        "service {name}: servers {}, draining {draining}, running {running}, waiting {waiting}",
        servers.len()
    )
}
