//! Settings that request a feature that the program does not have.

use lupinrack_cluster_node::{check_served, NodeError};
use lupinrack_node_settings::NodeSettings;

/// The settings of an agent with this value of `commands`.
fn agent(commands: &str) -> NodeSettings {
    let text = format!(
        "node=side-1\nrole=agent\nmachine-class=side\nserves=side\nip=127.0.4.2\nzone=north\nregion=coast\n\
         bind-addresses.control=127.0.4.2:9100\nport-range=7000,7015\nseeds=127.0.4.1:9100\nheartbeat-ms=1200\n\
         commands={commands}\napp=127.0.4.2:9200\nservice=orders\n"
    );
    NodeSettings::parse(&text).expect("the settings are complete")
}

#[test]
fn an_agent_with_rpc_commands_is_refused_at_start() {
    assert!(matches!(
        check_served(&agent("rpc")),
        Err(NodeError::UnservedCommands)
    ));
}

#[test]
fn an_agent_with_heartbeat_commands_starts() {
    assert!(check_served(&agent("heartbeat")).is_ok());
}
