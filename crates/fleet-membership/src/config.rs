//! The section `[fleet]` of the operators' configuration file.

use crate::front_set;
use crate::wire::{Key, Keys};
use lupinrack_policy::Micros;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;

/// A front of the fleet.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where this front reaches it by UDP, and hears it from: address and port.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub address: SocketAddr,
}

/// The section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "fleet")]
pub struct Section {
    /// Whether this front knows of others at all.
    pub enabled: bool,
    /// This front's name among `member`.
    pub name: String,
    /// Where it listens; its own address under `member`, unless that is reached through something else.
    #[schemars(with = "Option<String>", extend("format" = "socket-address"))]
    pub listen: Option<SocketAddr>,
    /// All fronts of the fleet, this one too, in the same order in every front's file. At most 1,024.
    #[schemars(length(max = 1024))]
    pub member: Vec<Peer>,
    /// Keys of 64 hexadecimal digits: the first one signs, a second one is valid too. None: a plain checksum.
    #[schemars(length(max = 2))]
    pub keys: Vec<String>,
    /// One other front is probed in each of these, in milliseconds.
    #[schemars(range(min = 20, max = 60_000))]
    pub period_ms: u32,
    /// How long a direct answer may take before others are asked, in milliseconds.
    #[schemars(range(min = 5, max = 60_000))]
    pub patience_ms: u32,
    /// The least that a suspicion lasts among up to nine fronts, in milliseconds; in larger fleets longer, by the common logarithm of
    /// their number.
    #[schemars(range(min = 50, max = 600_000))]
    pub suspicion_ms: u32,
    /// How long a lease on a part lasts, in milliseconds.
    #[schemars(range(min = 200, max = 600_000))]
    pub lease_ms: u32,
    /// By how much a clock may run fast or slow against another, in millionths.
    #[schemars(range(min = 0, max = 100_000))]
    pub drift_ppm: u32,
    /// The share of its even part that each front may use whatever happens, and that no other ever takes.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub reserve: f64,
    /// Datagrams a second, whatever is heard.
    #[schemars(range(min = 10, max = 100_000))]
    pub datagrams_per_s: u32,
    /// Volumes that this front keeps evidence on, for who serves them.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub most_volumes: u32,
}

impl Default for Section {
    fn default() -> Self {
        Section {
            enabled: false,
            name: String::new(),
            listen: None,
            member: Vec::new(),
            keys: Vec::new(),
            period_ms: 200,
            patience_ms: 100,
            suspicion_ms: 800,
            lease_ms: 2500,
            drift_ppm: 2000,
            reserve: 0.15,
            datagrams_per_s: 400,
            most_volumes: 10_000,
        }
    }
}

/// Parses a key of 64 hexadecimal digits.
pub fn parse_key(text: &str) -> Option<Key> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut key = [0; 32];
    for (i, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(key)
}

impl Section {
    /// The index of this front among the members.
    pub fn own_index(&self) -> Option<u16> {
        self.member
            .iter()
            .position(|m| m.name == self.name)
            .map(|i| i as u16)
    }

    /// The keys that datagrams are authenticated with.
    pub fn keys(&self) -> Keys {
        let mut keys = self.keys.iter().filter_map(|k| parse_key(k));
        Keys {
            sign: keys.next(),
            also_accepted: keys.next(),
        }
    }

    /// A hash of the names in their order and of the settings that safety depends on. Fronts with different hashes ignore each
    /// other's datagrams.
    pub fn roster_hash(&self) -> u32 {
        let mut hash = crc32fast::Hasher::new();
        for m in &self.member {
            hash.update(m.name.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&self.lease_ms.to_le_bytes());
        hash.update(&self.drift_ppm.to_le_bytes());
        hash.update(&self.reserve.to_le_bytes());
        hash.finalize()
    }

    /// The longest time from a front's last datagram until this front declares it dead, while this front itself is healthy.
    pub fn max_detection_ms(&self) -> u64 {
        let others = self.member.len().saturating_sub(1).min(8) as u64;
        let size_factor = (self.member.len() as f64 + 1.0).log10().max(1.0);
        u64::from(self.period_ms) * (others + 1)
            + (3.0 * f64::from(self.suspicion_ms) * size_factor) as u64
    }

    /// What is invalid in ways that a JSON Schema cannot express, each with its path below the section.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut fault = |path: &str, why: String| faults.push((path.to_string(), why));
        if !self.enabled {
            return faults;
        }
        if self.member.len() < 2 {
            fault("member", "a fleet has at least two fronts".into());
        }
        if self.member.len() > front_set::MAX_FRONTS {
            fault(
                "member",
                format!("at most {} fronts", front_set::MAX_FRONTS),
            );
        }
        if self.own_index().is_none() {
            fault("name", format!("'{}' is not among the members", self.name));
        }
        let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
        for (i, m) in self.member.iter().enumerate() {
            if m.name.is_empty() {
                fault(&format!("member[{i}].name"), "a front needs a name".into());
            }
            if !names.insert(&m.name) {
                let why = format!(
                    "'{}' stands twice: the two fronts could not be told apart",
                    m.name
                );
                fault(&format!("member[{i}].name"), why);
            }
            if !addresses.insert(m.address) {
                let why = format!(
                    "{} stands twice: the sender of its datagrams would be ambiguous",
                    m.address
                );
                fault(&format!("member[{i}].address"), why);
            }
        }
        for (i, k) in self.keys.iter().enumerate() {
            if parse_key(k).is_none() {
                fault(
                    &format!("keys[{i}]"),
                    "a key is 64 hexadecimal digits".into(),
                );
            }
        }
        if self.keys.len() == 2 && self.keys[0] == self.keys[1] {
            fault(
                "keys[1]",
                "the same key as the first: replacing one by the other would have no effect".into(),
            );
        }
        if self.patience_ms >= self.period_ms {
            fault(
                "patience_ms",
                "must be less than period_ms, or no ping requests are sent".into(),
            );
        }
        if u64::from(self.lease_ms) < 2 * u64::from(self.period_ms) {
            let why = "shorter than two periods: it would expire between two renewals, and every front would fall back to its \
                       reserve again and again";
            fault("lease_ms", why.into());
        }
        faults
    }

    /// What is valid but has a drawback, each with its path below the section.
    pub fn warnings(&self) -> Vec<(String, String)> {
        let mut warnings = Vec::new();
        let mut warn = |path: &str, why: String| warnings.push((path.to_string(), why));
        if self.enabled && self.member.len().is_multiple_of(2) {
            let n = self.member.len();
            let why = format!(
                "{n} is even: in a split into {0} and {0} neither half is a majority, and both fall to the reserve",
                n / 2
            );
            warn("member", why);
        }
        if self.enabled && u64::from(self.lease_ms) < self.max_detection_ms() {
            let why = format!(
                "shorter than the detection of a death ({} ms at the most): when the leader dies, every front falls to its \
                 reserve until the next one leads",
                self.max_detection_ms()
            );
            warn("lease_ms", why);
        }
        warnings
    }

    /// Contradictions between the files of one fleet, each with the index of its file and the path below the section.
    pub fn across(files: &[&Section]) -> Vec<(usize, String, String)> {
        let mut faults = Vec::new();
        let Some((first, rest)) = files.split_first() else {
            return faults;
        };
        let names = |s: &Section| s.member.iter().map(|m| m.name.clone()).collect::<Vec<_>>();
        for (i, other) in rest.iter().enumerate().map(|(i, s)| (i + 1, s)) {
            let mut fault = |path: &str, why: String| faults.push((i, path.to_string(), why));
            if names(other) != names(first) {
                let why = "not the members of the first file in its order: such fronts ignore each other, and no front of the \
                           smaller side ever gets more than its reserve";
                fault("member", why.into());
            }
            for (path, own, theirs) in [
                (
                    "lease_ms",
                    f64::from(other.lease_ms),
                    f64::from(first.lease_ms),
                ),
                (
                    "drift_ppm",
                    f64::from(other.drift_ppm),
                    f64::from(first.drift_ppm),
                ),
                ("reserve", other.reserve, first.reserve),
            ] {
                if own != theirs {
                    let why = format!(
                        "{own}, and {theirs} in the first file: such fronts don't count on each other"
                    );
                    fault(path, why);
                }
            }
            let (own, theirs) = (other.keys(), first.keys());
            let accepted = |k: &Keys| [k.sign, k.also_accepted];
            let compatible = match (own.sign, theirs.sign) {
                (None, None) => true,
                (Some(a), Some(b)) => {
                    accepted(&theirs).contains(&Some(a)) && accepted(&own).contains(&Some(b))
                }
                _ => false,
            };
            if !compatible {
                fault(
                    "keys",
                    "one of the two files does not accept the key that the other signs with: such fronts ignore each other".into(),
                );
            }
        }
        for (i, s) in files.iter().enumerate() {
            if files[..i].iter().any(|o| o.name == s.name) {
                let why = format!(
                    "'{}' in another file too: two fronts under one name, and both keep to the least",
                    s.name
                );
                faults.push((i, "name".into(), why));
            }
        }
        faults
    }

    /// A setting in milliseconds as microseconds.
    pub fn micros(ms: u32) -> Micros {
        Micros::from(ms) * 1000
    }
}
