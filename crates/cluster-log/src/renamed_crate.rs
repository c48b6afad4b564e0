//! Renamed crates. Level settings that use an earlier name remain valid.

/// The earlier and the current name of each renamed crate, without the common prefix.
const RENAMED: [(&str, &str); 2] = [
    ("cluster_net", "cluster_transport"),
    ("cluster_settings", "node_settings"),
];

/// The path of a module with the current name of its crate: `cluster_net::peers` is `cluster_transport::peers`.
pub(crate) fn with_present_crate(module: &str) -> String {
    let (named, inner) = match module.find("::") {
        Some(end) => module.split_at(end),
        None => (module, ""),
    };
    let renamed = RENAMED.iter().find(|(earlier, _)| *earlier == named);
    let present = renamed.map_or(named, |(_, present)| *present);
    format!("{present}{inner}")
}
