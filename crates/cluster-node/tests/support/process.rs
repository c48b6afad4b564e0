//! Complete processes on loopback, in threads of the test.

use lupinrack_node_settings::SettingsFile;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The longest that `wait_until` waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses of one test: its own loopback network and ports that are free there.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    network: u8,
    internal: u16,
    control: u16,
    front: u16,
    readiness: u16,
}

/// The number of the scripted core process among a test's addresses.
pub const CORE: u8 = 1;
/// The number of the process under test.
pub const PROCESS: u8 = 2;

impl Addresses {
    /// Picks free ports. Tests that run in one process have to pass different networks.
    pub fn draw(network: u8) -> Addresses {
        let own = |number| ip(network, number);
        let listeners: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind((own(PROCESS), 0)).expect("a free port"))
            .collect();
        let ports: Vec<u16> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("an address").port())
            .collect();
        Addresses {
            network,
            internal: ports[0],
            control: ports[1],
            front: ports[2],
            readiness: ports[3],
        }
    }

    /// The address at which a process listens for other processes.
    pub fn internal(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.network, number), self.internal)
    }

    /// The address at which a process accepts control calls or heartbeats.
    pub fn control(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.network, number), self.control)
    }

    /// The address at which the process under test accepts clients' calls.
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.network, PROCESS), self.front)
    }

    /// The address of the readiness check of the process under test.
    pub fn readiness(&self) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.network, PROCESS), self.readiness)
    }

    /// The settings of the process under test: the lines that all machine classes share, then `further` ones.
    pub fn settings(&self, node: &str, serves: &str, further: &[String]) -> SettingsFile {
        let mut lines = vec![
            format!("node={node}"),
            format!("role={serves}"),
            format!("machine-class={serves}"),
            format!("serves={serves}"),
            format!("ip={}", ip(self.network, PROCESS)),
            "zone=north".to_owned(),
            "region=loopback".to_owned(),
            "zones.north=loopback".to_owned(),
            format!("port-range={0},{0}", self.internal),
            format!("seeds={}", self.control(CORE)),
            "heartbeat-ms=1000".to_owned(),
            "commands=heartbeat".to_owned(),
        ];
        lines.extend_from_slice(further);
        SettingsFile::parse(Path::new("local.conf"), &lines.join("\n")).expect("good settings")
    }

    /// Replaces the drawn addresses in a text by fixed names.
    pub fn masked(&self, text: &str) -> String {
        text.replace(&self.internal(CORE).to_string(), "CORE")
            .replace(&self.internal(PROCESS).to_string(), "PROCESS")
    }
}

fn ip(network: u8, number: u8) -> Ipv4Addr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    // The second octet is 64 to 127 and depends on the process id; other tests use lower ones.
    Ipv4Addr::new(127, 64 + high % 64, low, network * 10 + number)
}

/// Runs a process until the test is over.
pub fn spawn(settings: SettingsFile) {
    thread::spawn(move || lupinrack_cluster_node::run(settings));
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within `WAIT_TIMEOUT`.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
