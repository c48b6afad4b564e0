//! The processes of the cluster, and calls to them.

use crate::options::Options;
use crate::workload::{Queue, Service};
use bytes::Bytes;
use http::{header, Method, Request, StatusCode};
use lupinrack_cluster_local::{ChildProcess, ClusterShape, Member, Ports, Role, StartKind};
use lupinrack_cluster_transport::http_client;
use std::fs;
use std::net::SocketAddrV4;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const HOST: &str = "local.example";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(60);

/// The processes of the cluster. They end when it is dropped.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    shape: ClusterShape,
    ports: Ports,
    children: Vec<ChildProcess>,
}

/// Sends a call; `None` if no response comes in time.
pub async fn send(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: &str,
    if_match: Option<u64>,
) -> Option<(StatusCode, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, HOST)
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(version) = if_match {
        request = request.header(header::IF_MATCH, version);
    }
    let request = request.body(Bytes::from(body.to_owned())).ok()?;
    let response = http_client::call(address, request, CALL_TIMEOUT)
        .await
        .ok()?;
    Some((response.status(), response.into_body()))
}

impl Processes {
    /// Prepares the folder.
    pub fn new(options: &Options, shape: ClusterShape, ports: Ports) -> Result<Processes, String> {
        let folder = options.folder.clone();
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let program = if options.processors.is_empty() {
            options.program.clone()
        } else {
            write_pinned_program(options).map_err(|error| error.to_string())?
        };
        Ok(Processes {
            program,
            folder,
            shape,
            ports,
            children: Vec::new(),
        })
    }

    pub fn front_addresses(&self) -> Vec<SocketAddrV4> {
        Member::with_role(Role::Front, &self.shape)
            .map(|front| self.ports.front_address(front))
            .collect()
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        let members: Vec<Member> = Member::all(&self.shape).collect();
        self.start(members, StartKind::Bootstrap)
    }

    /// Kills all processes; disks remain.
    pub fn kill_all(&mut self) {
        self.children.clear();
    }

    pub fn restart_all_but_agents(&mut self) -> Result<(), String> {
        let members = Member::all(&self.shape).filter(|member| member.role != Role::Agent);
        self.start(members.collect(), StartKind::Restart)
    }

    pub fn restart_agent(&mut self, index: usize) -> Result<(), String> {
        let agent = Member {
            role: Role::Agent,
            number: index as u16 + 1,
        };
        self.start(vec![agent], StartKind::Restart)
    }

    /// Sends the configuration until a core process accepts it.
    pub async fn configure(&self) -> Result<(), String> {
        let deadline = Instant::now() + CONFIGURATION_TIMEOUT;
        let body = configuration();
        while Instant::now() < deadline {
            for core in Member::with_role(Role::Core, &self.shape) {
                let address = self.ports.control_address(core);
                let path = "/lupinrack/config";
                let response = send(address, Method::PUT, path, &body, Some(0)).await;
                if response.is_some_and(|(status, _)| status.is_success()) {
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(200)).await;
        }
        Err("no core process accepts the configuration".to_owned())
    }

    /// The processes that have exited by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let children = self.children.iter_mut();
        children
            .filter_map(|child| child.check_running().err())
            .map(|error| error.to_string())
            .collect()
    }

    fn start(&mut self, members: Vec<Member>, start: StartKind) -> Result<(), String> {
        for member in members {
            let child = ChildProcess::start(
                &self.program,
                &self.shape,
                member,
                self.ports,
                &self.folder,
                start,
            );
            self.children
                .push(child.map_err(|error| error.to_string())?);
        }
        Ok(())
    }
}

/// A script that starts the program on the chosen processors.
fn write_pinned_program(options: &Options) -> std::io::Result<PathBuf> {
    let path = options.folder.join("program.sh");
    let program = fs::canonicalize(&options.program)?;
    let text = format!(
        "#!/bin/sh\nexec taskset -c {} {} \"$@\"\n",
        options.processors,
        program.display()
    );
    fs::write(&path, text)?;
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755))?;
    Ok(path)
}

fn configuration() -> String {
    let routes: Vec<serde_json::Value> = Queue::ALL
        .iter()
        .map(|queue| {
            serde_json::json!({
                "name": queue.name(), "host": HOST, "path-prefix": format!("/{}/", queue.name()),
                "type": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 1500,
                "priority": queue.priority(), "service": queue.service().as_str(),
                "max-retries": 3, "extension": 2.2
            })
        })
        .collect();
    let services: Vec<serde_json::Value> = [Service::Roster, Service::Routing]
        .iter()
        .map(|service| {
            serde_json::json!({
                "name": service.as_str(), "health-check": "/health", "max-connections": 64,
                "protocol": "h1", "tls": false, "guards": false
            })
        })
        .collect();
    serde_json::json!({
        "version": 1, "routes": routes, "services": services,
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 262_144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000
        }
    })
    .to_string()
}
