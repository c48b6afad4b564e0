//! Former names of log targets, which filters may still use.
//!
//! A target is a crate's name. Operators' files and `LUPINRACK_LOG` name targets, so this table maps the earlier name of each
//! renamed crate to its current one: existing filters keep working.

/// A crate's earlier target and its current one.
struct RenamedTarget {
    earlier: &'static str,
    current: &'static str,
}

const RENAMED: [RenamedTarget; 20] = [
    renamed("lupinrack_carrier", "lupinrack_peer_transport"),
    renamed("lupinrack_cluster_net", "lupinrack_cluster_transport"),
    renamed("lupinrack_cluster_settings", "lupinrack_node_settings"),
    renamed("lupinrack_config", "lupinrack_operator_config"),
    renamed("lupinrack_core", "lupinrack_request_engine"),
    renamed("lupinrack_door", "lupinrack_admin"),
    renamed("lupinrack_extents", "lupinrack_extent_map"),
    renamed("lupinrack_extents_drill", "lupinrack_extent_map_drill"),
    renamed("lupinrack_extents_net", "lupinrack_extent_map_driver"),
    renamed("lupinrack_figures", "lupinrack_metrics"),
    renamed("lupinrack_fleet_net", "lupinrack_fleet_driver"),
    renamed("lupinrack_fleet_rig", "lupinrack_fault_injection"),
    renamed("lupinrack_flows", "lupinrack_flow_export"),
    renamed("lupinrack_lab", "lupinrack_fleet_simulation"),
    renamed("lupinrack_lifecycle", "lupinrack_graceful_shutdown"),
    renamed("lupinrack_membership", "lupinrack_fleet_membership"),
    renamed(
        "lupinrack_membership_drill",
        "lupinrack_fleet_membership_drill",
    ),
    renamed("lupinrack_overload_net", "lupinrack_overload_driver"),
    renamed("lupinrack_settings", "lupinrack_front_settings"),
    renamed("lupinrack_takeover", "lupinrack_hot_restart"),
];

const fn renamed(earlier: &'static str, current: &'static str) -> RenamedTarget {
    RenamedTarget { earlier, current }
}

/// Replaces earlier crate names in a filter by the current ones: `info,lupinrack_core=debug` becomes
/// `info,lupinrack_request_engine=debug`.
pub fn with_current_names(filter: &str) -> String {
    let directives: Vec<String> = filter.split(',').map(with_current_name).collect();
    directives.join(",")
}

/// The same for one directive: a target, optionally followed by modules, a span or a level.
fn with_current_name(directive: &str) -> String {
    let spaces = directive.len() - directive.trim_start().len();
    let (leading, rest) = directive.split_at(spaces);
    let is_name = |character: char| character.is_ascii_alphanumeric() || character == '_';
    let end = rest
        .find(|character| !is_name(character))
        .unwrap_or(rest.len());
    let (target, suffix) = rest.split_at(end);
    match RENAMED.iter().find(|renamed| renamed.earlier == target) {
        Some(renamed) => format!("{leading}{}{suffix}", renamed.current),
        None => directive.to_owned(),
    }
}
