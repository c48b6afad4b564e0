//! A small deployment on loopback addresses: core processes, fronts, agents, and a server beside each agent.

use crate::http::{self, Answer, Call};
use crate::record::Record;
use crate::server::{self, Events, Facts};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The services and the number of servers of each.
pub const SERVICES: [(&str, usize); 2] = [("chakra", 3), ("dishari", 2)];
pub const CORES: usize = 3;
pub const FRONTS: usize = 2;
const HEARTBEAT_MS: u64 = 1500;
const HOLD_MAX_MS: u64 = 6000;
const STOP_MS: u64 = 900;
const MEMORY_MB: u64 = 256;

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    internal: u16,
    front: u16,
    ready: u16,
}

struct Process {
    name: String,
    ip: Ipv4Addr,
    child: Child,
}

pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    ports: Ports,
    net: (u8, u8),
    processes: Vec<Process>,
    pub record: Record,
    pub events: Events,
    servers_stop: Arc<AtomicBool>,
    /// The processes that were killed for their memory, and when each is to be started again.
    to_restart: Vec<(String, Instant)>,
    memory_kills: BTreeMap<String, u32>,
}

impl Cluster {
    /// Starts all processes and servers, and waits until the system takes a first configuration and all fronts are ready.
    pub fn start(root: &Path, record: Record, configuration: &str) -> Result<Cluster, String> {
        Cluster::start_shaped(root, record, configuration, &SERVICES, None)
    }

    /// Like [`Cluster::start`], with these services, and without a server beside the agent `held_back`.
    pub fn start_shaped(
        root: &Path,
        record: Record,
        configuration: &str,
        services: &[(&str, usize)],
        held_back: Option<usize>,
    ) -> Result<Cluster, String> {
        let id = std::process::id();
        let net = (20 + (id % 200) as u8, (id / 200 % 250) as u8);
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |now| now.as_nanos());
        let folder = std::env::temp_dir().join(format!("review-3-{id}-{nanos}"));
        fs::create_dir(&folder).map_err(|error| error.to_string())?;
        let mut cluster = Cluster {
            program: root.join("target/release/lupinrack"),
            folder,
            ports: free_ports(net)?,
            net,
            processes: Vec::new(),
            record,
            events: Events::default(),
            servers_stop: Arc::default(),
            to_restart: Vec::new(),
            memory_kills: BTreeMap::new(),
        };
        for number in 0..CORES {
            cluster.start_process("core", number, true)?;
        }
        for number in 0..FRONTS {
            cluster.start_process("front", number, true)?;
        }
        let mut number = 0;
        for (service, count) in services {
            for _ in 0..*count {
                cluster.start_process("agent", number, true)?;
                if held_back != Some(number) {
                    cluster.start_server(
                        number,
                        &facts(number, service, &format!("i-{service}-{number}")),
                    );
                }
                number += 1;
            }
        }
        cluster.bring(0, configuration)?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Starts a server beside an agent.
    pub fn start_server(&self, number: usize, facts: &Facts) {
        let (record, events) = (self.record.clone(), self.events.clone());
        server::start(
            facts.clone(),
            self.agent(number),
            record,
            events,
            self.servers_stop.clone(),
        );
    }

    /// The address at which an agent takes heartbeats.
    pub fn agent(&self, number: usize) -> SocketAddr {
        self.address("agent", number, self.ports.control)
    }

    fn address(&self, kind: &str, number: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(kind, number), port))
    }

    fn ip(&self, kind: &str, number: usize) -> Ipv4Addr {
        let base = match kind {
            "core" => 11,
            "front" => 31,
            _ => 51,
        };
        Ipv4Addr::new(127, self.net.0, self.net.1, base + number as u8)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        self.address("front", number, self.ports.front)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.address("core", number, self.ports.control)
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_process(
        &mut self,
        kind: &str,
        number: usize,
        bootstrap: bool,
    ) -> Result<(), String> {
        let name = format!("{kind}-{number}");
        let ip = self.ip(kind, number);
        if kind == "core" {
            fs::create_dir_all(self.folder.join(format!("{name}.data")))
                .map_err(|error| error.to_string())?;
        }
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings(kind, &name, ip, bootstrap))
            .map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let other = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .arg("node")
            .env("LUPINRACK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))?;
        self.record.line(&format!("process {name} starts at {ip}"));
        self.processes.push(Process { name, ip, child });
        Ok(())
    }

    fn settings(&self, kind: &str, name: &str, ip: Ipv4Addr, bootstrap: bool) -> String {
        let Ports {
            control,
            internal,
            front,
            ready,
        } = self.ports;
        let (class, serves) = match kind {
            "core" => ("core", "control_plane"),
            "front" => ("frontend", "frontend"),
            _ => ("side", "side"),
        };
        let seeds: Vec<String> = (0..CORES)
            .map(|number| self.control(number).to_string())
            .collect();
        let mut lines = vec![
            format!("node={name}"),
            format!("role={kind}"),
            format!("machine-class={class}"),
            format!("serves={serves}"),
            format!("ip={ip}"),
            "zone=salt-lake\nregion=bengal\nzones.salt-lake=bengal".to_owned(),
            format!("port-range={internal},{internal}"),
            format!("seeds={}", seeds.join(",")),
            format!("bootstrap={bootstrap}"),
            format!("counts-for-quorum={}", kind == "core"),
            format!("limits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb={MEMORY_MB}\nlimits.max-fds=4096"),
            "limits.link-mbps=1000.0\nlimits.disk-mb=128\ndiscovery=local\nentry=vip".to_owned(),
            format!("heartbeat-ms={HEARTBEAT_MS}"),
            "contracts=base,drain,config,cost,recover,sched".to_owned(),
            "fault-tolerance.machines=1\nfault-tolerance.zones=0\nfault-tolerance.regions=0".to_owned(),
            "bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000".to_owned(),
            "bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=6\nbounds.loss-slack-ms=200".to_owned(),
            "bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.max-skew-ms=5000".to_owned(),
            format!("bounds.recovery-s=12\nbounds.hold-max-ms={HOLD_MAX_MS}\nbounds.stop_ms={STOP_MS}"),
            "bounds.gang_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250".to_owned(),
            "bounds.finish_s=14\nbounds.status_s=120\nbounds.far_x=1.5\nbounds.save_s=2".to_owned(),
            "bounds.restore_ms=600\ncommands=heartbeat".to_owned(),
        ];
        match kind {
            "front" => {
                lines.push(format!("bind-addresses.front={ip}:{front}"));
                lines.push(format!("bind-addresses.readiness={ip}:{ready}"));
            }
            _ => lines.push(format!("bind-addresses.control={ip}:{control}")),
        }
        if kind == "core" {
            lines.push(format!(
                "data-dir={}",
                self.folder.join(format!("{name}.data")).display()
            ));
        }
        lines.join("\n") + "\n"
    }

    /// Sends a signal to a process that this test started.
    pub fn signal(&self, name: &str, signal: i32) {
        if let Some(process) = self.processes.iter().find(|process| process.name == name) {
            self.record.line(&format!("signal {signal} to {name}"));
            // SAFETY: the call has no memory effects, and the process is a child that was not waited for.
            unsafe { kill(process.child.id() as i32, signal) };
        }
    }

    /// Kills the processes that use more than their `memory-mb`, and starts them again after half a second.
    pub fn enforce_memory(&mut self) -> Result<(), String> {
        let over: Vec<(String, u64)> = self
            .processes
            .iter()
            .map(|process| (process.name.clone(), memory_mb(process.child.id())))
            .filter(|(_, megabytes)| *megabytes > MEMORY_MB)
            .collect();
        for (name, megabytes) in over {
            self.record
                .line(&format!("{name} uses {megabytes} MB of {MEMORY_MB}"));
            self.kill_process(&name, SIGKILL);
            *self.memory_kills.entry(name.clone()).or_default() += 1;
            self.to_restart
                .push((name, Instant::now() + Duration::from_millis(500)));
        }
        let due: Vec<String> = self
            .to_restart
            .iter()
            .filter(|(_, at)| *at <= Instant::now())
            .map(|(name, _)| name.clone())
            .collect();
        self.to_restart.retain(|(name, _)| !due.contains(name));
        for name in due {
            let (kind, number) = name.split_once('-').unwrap_or((&name, "0"));
            let (kind, number) = (kind.to_owned(), number.parse().unwrap_or(0));
            self.start_process(&kind, number, false)?;
        }
        Ok(())
    }

    /// How often each process was killed for its memory.
    pub fn memory_kills(&self) -> Vec<(String, u32)> {
        self.memory_kills
            .iter()
            .map(|(name, count)| (name.clone(), *count))
            .collect()
    }

    /// Ends a process that this test started with this signal.
    pub fn kill_process(&mut self, name: &str, signal: i32) {
        self.signal(name, signal);
        if let Some(at) = self
            .processes
            .iter()
            .position(|process| process.name == name)
        {
            let mut process = self.processes.remove(at);
            std::thread::spawn(move || {
                let until = Instant::now() + Duration::from_secs(6);
                while Instant::now() < until && !matches!(process.child.try_wait(), Ok(Some(_))) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = process.child.kill();
                let _ = process.child.wait();
            });
        }
    }

    /// Brings a whole configuration on top of the version `base`, and sends it until it is taken.
    pub fn bring(&self, base: u64, body: &str) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        let headers = format!("If-Match: {base}\r\n");
        for attempt in 0.. {
            let call = Call {
                method: "PUT",
                path: "/lupinrack/config",
                host: "control",
                headers: headers.clone(),
                body,
            };
            let answer = http::call(
                self.control(attempt % CORES),
                &call,
                Duration::from_millis(1500),
            );
            if answer.as_ref().is_none_or(|answer| answer.status != 200) {
                self.record.line(&format!(
                    "operator: configuration on {base} at core-{}: {answer:?}",
                    attempt % CORES
                ));
            }
            match answer {
                Some(answer) if answer.status == 200 => {
                    self.record
                        .line(&format!("operator: configuration on {base}: 200"));
                    return Ok(());
                }
                Some(answer) if answer.status == 400 => {
                    return Err(format!("configuration refused: {}", answer.body))
                }
                _ if Instant::now() > deadline => {
                    return Err("the configuration was not taken".to_owned())
                }
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        unreachable!()
    }

    fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        for number in 0..FRONTS {
            let ready = self.address("front", number, self.ports.ready);
            let call = Call {
                method: "GET",
                path: "/lupinrack/ready",
                host: "ready",
                headers: String::new(),
                body: "",
            };
            while http::call(ready, &call, Duration::from_millis(500))
                .is_none_or(|answer| answer.status != 200)
            {
                if Instant::now() > deadline {
                    return Err(format!("front-{number} isn't ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// A client's call at a front, recorded with its answer.
    pub fn client(
        &self,
        who: &str,
        front: usize,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        let headers = "Lupinrack-Deadline-Remaining: 3000\r\n".to_owned();
        let call = Call {
            method,
            path,
            host,
            headers,
            body,
        };
        let answer = http::call(self.front(front), &call, Duration::from_millis(3000));
        let shown = match &answer {
            Some(answer) => format!("{} {}", answer.status, answer.body),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!(
            "{who}: front-{front} {method} Host: {host} {path} {body} -> {shown}"
        ));
        answer
    }

    /// The starts of the tasks of a job so far.
    pub fn starts_of(&self, job: &str) -> Vec<server::Event> {
        let prefix = format!("{job}.");
        let events = self
            .events
            .lock()
            .map(|events| events.clone())
            .unwrap_or_default();
        events
            .into_iter()
            .filter(|event| event.end.is_none() && event.task.starts_with(&prefix))
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.servers_stop.store(true, Ordering::Relaxed);
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
            self.record
                .line(&format!("process {} at {} ended", process.name, process.ip));
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Four ports that are free on every address of the deployment. They lie below those that outgoing connections get.
fn free_ports(net: (u8, u8)) -> Result<Ports, String> {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.subsec_nanos());
    let first = (nanos ^ std::process::id().wrapping_mul(7919)) % 18_000;
    let mut found = Vec::new();
    for step in 0..500 {
        let port = 12_000 + ((first + step * 37) % 18_000) as u16;
        let is_free = (11..70u8)
            .all(|host| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, host), port)).is_ok());
        if is_free && !found.contains(&port) {
            found.push(port);
        }
        if let [control, internal, front, ready] = found[..] {
            return Ok(Ports {
                control,
                internal,
                front,
                ready,
            });
        }
    }
    Err("no free ports".to_owned())
}

/// The memory that a process of this test uses, in megabytes.
fn memory_mb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0 kB");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    kilobytes * 1024 / 1_000_000
}

/// What the server beside an agent says of itself.
pub fn facts(number: usize, service: &str, id: &str) -> Facts {
    Facts {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "salt-lake".to_owned(),
        labels: vec!["a".to_owned(), format!("r-{}", number / 2)],
        cpu: 16_000,
        mem_mb: 32_768,
        gpu: 0,
        hold_max_ms: HOLD_MAX_MS,
        heartbeat_ms: HEARTBEAT_MS,
        stop_ms: STOP_MS,
        retry_ms: 200,
    }
}
