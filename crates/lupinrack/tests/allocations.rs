//! What a fleet costs in allocations: the same requests through a front with the section `[fleet]` on and off, in pairs. Its test
//! stands alone in its process, since the whole of it is counted.

use allocation_counter::measure;
use lupinrack::net::config::Config;
use lupinrack::net::shutdown::Phase;
use lupinrack::serve::{self, Plan};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_operator_config::OperatorConfig;
use mock_servers::discovery::{Discovery, Entry};
use mock_servers::load::{ClientRequest, Clients, RequestOutcome};
use mock_servers::node::{Node, NodeConfig};
use mock_servers::settings::configuration;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tokio::sync::watch;

const WARM: u64 = 200;
const COUNTED: u64 = 500;

/// Ports that are free now.
fn free(n: usize) -> Vec<SocketAddr> {
    let held: Vec<UdpSocket> = (0..n)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    held.iter().map(|s| s.local_addr().unwrap()).collect()
}

fn section(name: usize, addresses: &[SocketAddr]) -> Section {
    let member = addresses.iter().enumerate();
    let member = member
        .map(|(i, address)| Peer {
            name: format!("n{i}"),
            address: *address,
        })
        .collect();
    Section {
        enabled: true,
        name: format!("n{name}"),
        member,
        lease_ms: 600,
        ..Section::default()
    }
}

/// Allocations a request, of all that this process holds: client, node, discovery and three fronts, of which one is asked.
fn a_request(fleet: bool) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (phase, seen) = watch::channel(Phase::Ready);
    let (clients, fronts, held) = runtime.block_on(async {
        let node = Node::start(
            NodeConfig {
                mean_work: Duration::from_micros(200),
                ..NodeConfig::default()
            },
            Default::default(),
        );
        let node = node.await.unwrap();
        let entry = Entry {
            name: "s-0".into(),
            address: node.address,
            shard: 0,
            lifecycle: "SERVING",
            started: 0,
        };
        let discovery = Discovery::start(vec![entry]).await.unwrap();
        let (at, address) = watch::channel(discovery.address);
        let (addresses, mut fronts) = (free(3), Vec::new());
        for i in 0..3 {
            let fleet = fleet.then(|| section(i, &addresses));
            let config = configuration(&format!("n{i}"), discovery.address, 7, 3).to_string();
            let operator = OperatorConfig {
                fleet,
                ..OperatorConfig::default()
            };
            let plan = Plan::new(Config::parse(&config).unwrap(), operator).unwrap();
            fronts.push(
                serve::start(plan, seen.clone(), address.clone())
                    .await
                    .unwrap(),
            );
        }
        (Clients::default(), fronts, (node, discovery, at))
    });
    let at = fronts[0].listen;
    let ask = |number: u64| ClientRequest {
        id: format!("{number:016x}"),
        class: "read",
        writes: false,
        plan: "priority",
        volume: 1,
        key: number,
        units: 1,
        shard: 0,
        hosts: 3,
        deadline: Duration::from_secs(2),
    };
    let asks = |from: u64, to: u64| {
        runtime.block_on(async {
            for number in from..to {
                assert_eq!(
                    clients.send(at, &ask(number)).await.0,
                    RequestOutcome::Served
                );
            }
        });
    };
    // The fleet comes up meanwhile, and buffers get their sizes.
    runtime.block_on(async { tokio::time::sleep(Duration::from_secs(3)).await });
    asks(1, WARM);
    let counted = measure(|| asks(WARM, WARM + COUNTED)).count_total;
    phase.send_replace(Phase::Closing);
    drop((fronts, held));
    counted as f64 / COUNTED as f64
}

#[test]
fn a_fleet_adds_few_allocations_to_a_request() {
    let pairs: Vec<(f64, f64)> = (0..2)
        .map(|_| (a_request(false), a_request(true)))
        .collect();
    println!("allocations a request, off and on: {pairs:.1?}");
    for (off, on) in pairs {
        // What is told round the fleet meanwhile is counted too, so that a slow machine counts more of it.
        assert!(on < off * 1.5, "{off:.1} off, {on:.1} on");
    }
}
