//! Allocations that the fleet adds per request: the same requests through a front with the section `[fleet]` on and off, in
//! pairs. This is the only test of its process, because all allocations of the process are counted.

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

const WARM_UP_REQUESTS: u64 = 200;
const COUNTED_REQUESTS: u64 = 500;

/// Addresses with ports that are free at the time of the call.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..count)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect()
}

fn section(name: usize, addresses: &[SocketAddr]) -> Section {
    let indexed = addresses.iter().enumerate();
    let members = indexed
        .map(|(i, address)| Peer {
            name: format!("n{i}"),
            address: *address,
        })
        .collect();
    Section {
        enabled: true,
        name: format!("n{name}"),
        member: members,
        lease_ms: 600,
        ..Section::default()
    }
}

/// Allocations per request of the whole process: client, node, discovery service and three fronts, one of which serves.
fn allocations_per_request(fleet: bool) -> f64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (phase, phase_receiver) = watch::channel(Phase::Ready);
    let (clients, fronts, servers) = runtime.block_on(async {
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
        let (address_sender, address) = watch::channel(discovery.address);
        let (addresses, mut fronts) = (free_addresses(3), Vec::new());
        for i in 0..3 {
            let fleet = fleet.then(|| section(i, &addresses));
            let config = configuration(&format!("n{i}"), discovery.address, 7, 3).to_string();
            let operator = OperatorConfig {
                fleet,
                ..OperatorConfig::default()
            };
            let plan = Plan::new(Config::parse(&config).unwrap(), operator).unwrap();
            fronts.push(
                serve::start(plan, phase_receiver.clone(), address.clone())
                    .await
                    .unwrap(),
            );
        }
        (
            Clients::default(),
            fronts,
            (node, discovery, address_sender),
        )
    });
    let front_address = fronts[0].listen;
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
    let send_requests = |from: u64, to: u64| {
        runtime.block_on(async {
            for number in from..to {
                assert_eq!(
                    clients.send(front_address, &ask(number)).await.0,
                    RequestOutcome::Served
                );
            }
        });
    };
    // Meanwhile the fleet forms a view, and buffers reach their sizes.
    runtime.block_on(async { tokio::time::sleep(Duration::from_secs(3)).await });
    send_requests(1, WARM_UP_REQUESTS);
    let allocations =
        measure(|| send_requests(WARM_UP_REQUESTS, WARM_UP_REQUESTS + COUNTED_REQUESTS))
            .count_total;
    phase.send_replace(Phase::Draining);
    drop((fronts, servers));
    allocations as f64 / COUNTED_REQUESTS as f64
}

#[test]
fn a_fleet_adds_few_allocations_to_a_request() {
    let pairs: Vec<(f64, f64)> = (0..2)
        .map(|_| {
            (
                allocations_per_request(false),
                allocations_per_request(true),
            )
        })
        .collect();
    println!("allocations a request, off and on: {pairs:.1?}");
    for (off, on) in pairs {
        // The fleet's messages in that time are counted too, so the count is higher on a slow machine.
        assert!(on < off * 1.5, "{off:.1} off, {on:.1} on");
    }
}
