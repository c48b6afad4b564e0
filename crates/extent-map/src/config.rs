//! The section `[extents]` of the operator's settings file.

use lupinrack_policy::Micros;
use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How the map is kept fresh.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
#[allow(
    missing_docs,
    reason = "a text on each word would make the schema's list of words a tree"
)]
pub enum Strategy {
    /// The authority's stream of versions, and what a wrong turn shows. The other two are for comparison: nothing but
    /// wrong turns, and fetching each volume anew once it is `ttl_ms` old.
    #[default]
    Versioned,
    None,
    Ttl,
}

/// The schema of an address with a port.
struct Address;

impl JsonSchema for Address {
    fn inline_schema() -> bool {
        true
    }
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }
    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "format": "socket-address" })
    }
}

/// The section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "extents")]
pub struct Section {
    /// Whether requests are routed by the map at all.
    pub enabled: bool,
    /// The extent authority: address and port.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub authority: SocketAddr,
    /// How the map is kept fresh: by the authority's versions, or (for comparison) by wrong turns only or by age.
    pub strategy: Strategy,
    /// With the strategy `ttl`: a volume this old is fetched anew, in milliseconds.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub ttl_ms: u32,
    /// How long the authority may hold a poll that has nothing new to tell, in milliseconds.
    #[schemars(range(min = 100, max = 60_000))]
    pub hold_ms: u32,
    /// Polls a second, in the mean; while much moves, each brings more.
    #[schemars(range(min = 0.1, max = 1000.0))]
    pub polls_per_s: f64,
    /// Polls at once.
    #[schemars(range(min = 1, max = 1000))]
    pub poll_burst: u32,
    /// Fetches a second, in the mean, of volumes that are not held or may have missed changes: requests wait for them.
    #[schemars(range(min = 0.1, max = 100_000.0))]
    pub loads_per_s: f64,
    /// Such fetches at once.
    #[schemars(range(min = 1, max = 100_000))]
    pub load_burst: u32,
    /// Fetches a second, in the mean, that wrong turns cause, for all volumes.
    #[schemars(range(min = 0.1, max = 10_000.0))]
    pub refreshes_per_s: f64,
    /// Such fetches at once.
    #[schemars(range(min = 1, max = 10_000))]
    pub refresh_burst: u32,
    /// Such fetches a second, in the mean, for one volume: what a node that lies can cause.
    #[schemars(range(min = 0.01, max = 1000.0))]
    pub volume_refreshes_per_s: f64,
    /// The most extents held; beyond it the volumes that were not asked for the longest leave.
    #[schemars(range(min = 1))]
    pub most_extents: usize,
    /// The most volumes held.
    #[schemars(range(min = 1))]
    pub most_volumes: usize,
    /// A file that keeps the map over a restart; none: it starts empty.
    pub snapshot: Option<PathBuf>,
    /// How often that file is written, in milliseconds.
    #[schemars(range(min = 100))]
    pub snapshot_every_ms: u32,
    /// Where this front hears of moves from its peers; none: it neither hears nor tells.
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub peer_listen: Option<SocketAddr>,
    /// The peers that it tells and hears.
    #[schemars(with = "Vec<Address>")]
    pub peers: Vec<SocketAddr>,
    /// Datagrams a second to each peer, in the mean.
    #[schemars(range(min = 0.1, max = 1000.0))]
    pub messages_per_s: f64,
}

impl Default for Section {
    fn default() -> Self {
        Section {
            enabled: false,
            authority: SocketAddr::from(([127, 0, 0, 1], 8600)),
            strategy: Strategy::Versioned,
            ttl_ms: 5_000,
            hold_ms: 2_000,
            polls_per_s: 5.0,
            poll_burst: 4,
            loads_per_s: 200.0,
            load_burst: 200,
            refreshes_per_s: 3.0,
            refresh_burst: 16,
            volume_refreshes_per_s: 1.0,
            most_extents: 1_000_000,
            most_volumes: 100_000,
            snapshot: None,
            snapshot_every_ms: 30_000,
            peer_listen: None,
            peers: Vec::new(),
            messages_per_s: 4.0,
        }
    }
}

impl Section {
    /// Finds faults that the schema cannot express, each with its path below the section.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if self.most_volumes > self.most_extents {
            faults.push((
                "most_volumes".into(),
                "more than most_extents, although each volume has at least one extent".into(),
            ));
        }
        if self.peer_listen.is_none() && !self.peers.is_empty() {
            faults.push((
                "peers".into(),
                "peers are set, but not the address on which to receive their datagrams (peer_listen)".into(),
            ));
        }
        let mut seen = HashSet::new();
        for (i, peer) in self.peers.iter().enumerate() {
            if !seen.insert(peer) {
                faults.push((format!("peers[{i}]"), "this peer is listed twice".into()));
            }
            if Some(*peer) == self.peer_listen {
                faults.push((
                    format!("peers[{i}]"),
                    "this is the front's own address".into(),
                ));
            }
        }
        if self.strategy == Strategy::Versioned
            && self.polls_per_s * f64::from(self.hold_ms) < 500.0
        {
            faults.push((
                "polls_per_s".into(),
                "lower than half the rate at which polls without changes end (one per hold_ms)"
                    .into(),
            ));
        }
        faults
    }

    /// Converts a duration of the section to the cache's unit.
    pub(crate) fn micros(ms: u32) -> Micros {
        Micros::from(ms) * 1000
    }
}
