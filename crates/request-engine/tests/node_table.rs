//! The node table drops removed nodes, both their names and their numbers.

#[allow(
    dead_code,
    reason = "the table is private to the engine, and uses only a part of its clock"
)]
#[path = "../src/clock.rs"]
mod clock;
#[allow(dead_code, reason = "the table is private to the engine")]
#[path = "../src/node_table.rs"]
mod node_table;

use lupinrack_policy::{NodeId, NodeListKind, NodeState, Shard, Zone};
use node_table::{NodeListing, NodeTable};
use std::net::SocketAddr;

fn listing(name: String, state: NodeState) -> NodeListing {
    NodeListing {
        name,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        state,
        zone: Zone(0),
        shard: Shard(0),
        started: None,
        weight: 1.0,
    }
}

/// Whether the table has the node. The lookups by name and by number must agree.
fn is_known(nodes: &NodeTable, second: u32) -> bool {
    let by_name = nodes.id(&format!("s-{second}")).is_some();
    let by_number = nodes.target(NodeId(second)).is_some();
    assert_eq!(by_name, by_number, "name and number of node {second}");
    by_name
}

#[test]
fn removed_nodes_are_dropped_while_nodes_are_replaced_for_hours() {
    let mut nodes = NodeTable::new(1_000_000);
    let mut last = None;
    // Every node has a new number and none returns, so only the nodes known before and the new one can be in the table.
    let mut known: Vec<u32> = Vec::new();
    for second in 0..10_000 {
        let now = 1_000_000 * i64::from(second);
        let mut list = vec![listing(format!("s-{second}"), NodeState::Ready)];
        if second > 0 && second % 3 > 0 {
            list.push(listing(format!("s-{}", second - 1), NodeState::Gone));
        }
        let kind = if second % 3 == 0 {
            NodeListKind::Full
        } else {
            NodeListKind::Changes
        };
        let entries = nodes.update(now, kind, list);
        assert!(
            last.replace(entries[0].node) < Some(entries[0].node),
            "a node number was reused"
        );
        known.push(second);
        known.retain(|second| is_known(&nodes, *second));
        assert!(known.len() <= 64, "{} nodes are known", known.len());
    }
    assert!(nodes.target(last.unwrap()).is_some() && nodes.target(NodeId(0)).is_none());
}
