//! The processes of a small deployment, started with the command of the deploy file on loopback addresses.

use crate::http::{self, Answer};
use crate::record::Record;
use std::fs;
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    Core,
    Front,
    Side,
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

/// All machines of a case. All processes are ended when it is dropped.
pub struct Cluster {
    root: PathBuf,
    folder: PathBuf,
    ports: Ports,
    subnet: [u8; 2],
    pub machines: Vec<Machine>,
    pub record: Record,
}

#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    front: u16,
    readiness: u16,
    first: u16,
}

const ZONES: [&str; 3] = ["salt-lake", "howrah", "jadavpur"];

impl Cluster {
    /// Starts cores, fronts and agents.
    pub fn start(
        root: &Path,
        folder: &Path,
        counts: [usize; 3],
        record: &Record,
    ) -> Result<Cluster> {
        let number = std::process::id();
        let subnet = [100 + (number % 100) as u8, 1 + (number / 100 % 200) as u8];
        let mut cluster = Cluster {
            root: root.to_owned(),
            folder: folder.to_owned(),
            ports: free_ports(subnet)?,
            subnet,
            machines: Vec::new(),
            record: record.clone(),
        };
        for (class, count) in [Class::Core, Class::Front, Class::Side]
            .into_iter()
            .zip(counts)
        {
            for index in 0..count {
                cluster.add(class, index);
            }
        }
        for index in 0..cluster.machines.len() {
            cluster.spawn(index, true)?;
        }
        Ok(cluster)
    }

    fn add(&mut self, class: Class, index: usize) {
        let (offset, word) = match class {
            Class::Core => (10, "core"),
            Class::Front => (40, "frontend"),
            Class::Side => (70, "side"),
        };
        let [second, third] = self.subnet;
        self.machines.push(Machine {
            name: format!("{word}-{}", index + 1),
            class,
            ip: Ipv4Addr::new(127, second, third, offset + index as u8),
            child: None,
        });
    }

    /// The position of a machine by its class and number.
    pub fn find(&self, class: Class, number: usize) -> usize {
        let mut of_class = (0..self.machines.len()).filter(|at| self.machines[*at].class == class);
        of_class.nth(number).expect("there is such a machine")
    }

    /// Where operators reach a core machine, or a server its agent.
    pub fn control(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.ports.control)
    }

    /// Where clients reach a front.
    pub fn front(&self, at: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[at].ip, self.ports.front)
    }

    fn settings(&self, at: usize, bootstrap: bool) -> String {
        let machine = &self.machines[at];
        let Ports {
            control,
            front,
            readiness,
            first,
        } = self.ports;
        let ip = machine.ip;
        let zone = ZONES[at % ZONES.len()];
        let seeds: Vec<String> = self
            .machines
            .iter()
            .filter(|other| other.class == Class::Core)
            .take(3)
            .map(|other| format!("{}:{control}", other.ip))
            .collect();
        let (class, serves, addresses, more) = match machine.class {
            Class::Core => ("core", "control_plane", format!("bind-addresses.control={ip}:{control}"),
                format!("data-dir={}/disk-{}\ncounts-for-quorum=true\nlimits.cpu-share=0.5\nlimits.memory-mb=256\nlimits.disk-mb=128",
                    self.folder.display(), machine.name)),
            Class::Front => ("frontend", "frontend",
                format!("bind-addresses.front={ip}:{front}\nbind-addresses.readiness={ip}:{readiness}"),
                "counts-for-quorum=false\nlimits.cpu-share=0.25\nlimits.memory-mb=260\nlimits.disk-mb=0".to_owned()),
            Class::Side => ("side", "side", format!("bind-addresses.control={ip}:{control}"),
                "counts-for-quorum=false\nlimits.cpu-share=0.15\nlimits.memory-mb=128\nlimits.disk-mb=0".to_owned()),
        };
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("zones.{zone}=bengal"))
            .collect();
        format!(
            "node={}\nrole={class}\nmachine-class={class}\nserves={serves}\nip={ip}\nzone={zone}\nregion=bengal\n{}\n{addresses}\n\
             port-range={first},{}\nseeds={}\nbootstrap={bootstrap}\n{more}\nlimits.cores=1\nlimits.max-fds=4096\n\
             limits.link-mbps=1000.0\ndiscovery=local\nentry=vip\nheartbeat-ms=1500\ncontracts=base,drain,config,cost,recover,sched\n\
             fault-tolerance.machines=1\nfault-tolerance.zones=0\nfault-tolerance.regions=0\nbounds.seed-lag-s=3\n\
             bounds.reuse-after-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\n\
             bounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.max-skew-ms=5000\nbounds.recovery-s=12\nbounds.hold-max-ms=6000\nbounds.stop_ms=900\nbounds.gang_ms=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.far_x=1.5\nbounds.save_s=2\nbounds.restore_ms=600\ncommands=heartbeat\n",
            machine.name, zones.join("\n"), first + 15, seeds.join(","),
        )
    }

    /// Starts the process of a machine.
    pub fn spawn(&mut self, at: usize, bootstrap: bool) -> Result<()> {
        let name = self.machines[at].name.clone();
        fs::create_dir_all(self.folder.join(format!("disk-{name}")))?;
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings(at, bootstrap))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(self.root.join("target/release/lupinrack"))
            .arg("node")
            .current_dir(&self.root)
            .env("LUPINRACK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("process {name} starts"));
        self.machines[at].child = Some(child);
        self.list_processes();
        Ok(())
    }

    /// Lists the processes that run in a file, so that `run.sh` can end them whatever becomes of this program.
    fn list_processes(&self) {
        let numbers = self
            .machines
            .iter()
            .filter_map(|machine| Some(machine.child.as_ref()?.id().to_string()));
        let _ = fs::write(
            self.folder.join("processes"),
            numbers.collect::<Vec<_>>().join("\n") + "\n",
        );
    }

    /// Sends a process a signal.
    pub fn signal(&self, at: usize, signal: &str) {
        let machine = &self.machines[at];
        if let Some(child) = &machine.child {
            self.record
                .note(format!("process {} gets SIG{signal}", machine.name));
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, at: usize) {
        self.signal(at, "KILL");
        if let Some(mut child) = self.machines[at].child.take() {
            let _ = child.wait();
        }
        self.list_processes();
    }

    /// Sends the first configuration until it is taken.
    pub fn configure(&self, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let mut tries = 0;
        while Instant::now() < until {
            let to = self.control(self.find(Class::Core, tries % 3));
            tries += 1;
            let call = http::request(
                "PUT",
                "/lupinrack/config",
                &to.to_string(),
                "If-Match: 0\r\n",
                body,
            );
            if let Ok(Answer { status, .. }) = http::call(to, &call, Duration::from_secs(1)) {
                self.record
                    .note(format!("operator: configuration sent, answer {status}"));
                if status == 200 {
                    return true;
                }
            }
            sleep(Duration::from_millis(200));
        }
        false
    }

    /// Makes a client's call at a front and records it. `None` stands for no answer.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
    ) -> Option<Answer> {
        let to = self.front(front);
        let call = http::request(
            method,
            path,
            host,
            "Lupinrack-Deadline-Remaining: 3000\r\n",
            body,
        );
        let answer = http::call(to, &call, Duration::from_secs(3)).ok();
        let said = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!("{} {}", answer.status, answer.body)
        });
        self.record.note(format!(
            "client: {method} {path} at {}: {said}",
            self.machines[front].name
        ));
        answer
    }

    /// Repeats a call until it is answered with this status.
    pub fn until(&self, status: u16, seconds: u64, call: impl Fn() -> Option<Answer>) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if call().is_some_and(|answer| answer.status == status) {
                return true;
            }
            sleep(Duration::from_millis(250));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.list_processes();
    }
}

/// Ports that are free at an address of the subnet.
fn free_ports(subnet: [u8; 2]) -> Result<Ports> {
    let ip = Ipv4Addr::new(127, subnet[0], subnet[1], 10);
    let free = || -> Result<u16> { Ok(TcpListener::bind((ip, 0))?.local_addr()?.port()) };
    let first = 20_000 + (std::process::id() % 1_000) as u16 * 16;
    Ok(Ports {
        control: free()?,
        front: free()?,
        readiness: free()?,
        first,
    })
}
