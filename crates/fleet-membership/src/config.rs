//! The section `[fleet]` of the operators' file.

use crate::bits;
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

/// Reads a key.
pub fn key(text: &str) -> Option<Key> {
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
    /// This front's index.
    pub fn me(&self) -> Option<u16> {
        self.member
            .iter()
            .position(|m| m.name == self.name)
            .map(|i| i as u16)
    }

    /// The keys in force.
    pub fn keys(&self) -> Keys {
        let mut keys = self.keys.iter().filter_map(|k| key(k));
        Keys {
            sign: keys.next(),
            also: keys.next(),
        }
    }

    /// A hash of the names in their order and of the terms that safety rests on: fronts whose files differ in them don't count on each
    /// other.
    pub fn roster(&self) -> u32 {
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

    /// How long after its last word a front is held for dead, at the most, while this one is well.
    pub fn detection_ms(&self) -> u64 {
        let round = self.member.len().saturating_sub(1).min(8) as u64;
        let size = (self.member.len() as f64 + 1.0).log10().max(1.0);
        u64::from(self.period_ms) * (round + 1) + (3.0 * f64::from(self.suspicion_ms) * size) as u64
    }

    /// All that a schema cannot say, each with its path below the section.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut fault = |path: &str, why: String| faults.push((path.to_string(), why));
        if !self.enabled {
            return faults;
        }
        if self.member.len() < 2 {
            fault("member", "a fleet is two fronts or more".into());
        }
        if self.member.len() > bits::MOST {
            fault("member", format!("at most {} fronts", bits::MOST));
        }
        if self.me().is_none() {
            fault("name", format!("'{}' is not among the members", self.name));
        }
        let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
        for (i, m) in self.member.iter().enumerate() {
            if m.name.is_empty() {
                fault(&format!("member[{i}].name"), "a front needs a name".into());
            }
            if !names.insert(&m.name) {
                let why = format!(
                    "'{}' stands twice: neither would be known from the other",
                    m.name
                );
                fault(&format!("member[{i}].name"), why);
            }
            if !addresses.insert(m.address) {
                let why = format!(
                    "{} stands twice: what comes from there has no one sender",
                    m.address
                );
                fault(&format!("member[{i}].address"), why);
            }
        }
        for (i, k) in self.keys.iter().enumerate() {
            if key(k).is_none() {
                fault(
                    &format!("keys[{i}]"),
                    "a key is 64 hexadecimal digits".into(),
                );
            }
        }
        if self.keys.len() == 2 && self.keys[0] == self.keys[1] {
            fault(
                "keys[1]",
                "the same key as the first: a change of keys would change nothing".into(),
            );
        }
        if self.patience_ms >= self.period_ms {
            fault(
                "patience_ms",
                "must be less than period_ms: no helper would be asked".into(),
            );
        }
        if u64::from(self.lease_ms) < 2 * u64::from(self.period_ms) {
            let why = "shorter than two periods: it would end between two renewals, and every front would fall to its \
                       reserve again and again";
            fault("lease_ms", why.into());
        }
        faults
    }

    /// What is no fault, but is better known.
    pub fn remarks(&self) -> Vec<(String, String)> {
        let mut remarks = Vec::new();
        let mut remark = |path: &str, why: String| remarks.push((path.to_string(), why));
        if self.enabled && self.member.len().is_multiple_of(2) {
            let n = self.member.len();
            let why = format!(
                "{n} is even: in a split into {0} and {0} neither half is a majority, and both fall to the reserve",
                n / 2
            );
            remark("member", why);
        }
        if self.enabled && u64::from(self.lease_ms) < self.detection_ms() {
            let why = format!(
                "shorter than the detection of a death ({} ms at the most): when the leader dies, every front falls to its \
                 reserve until the next one leads",
                self.detection_ms()
            );
            remark("lease_ms", why);
        }
        remarks
    }

    /// What is wrong between the files of one fleet, each with the place of its file and the path below the section.
    pub fn across(files: &[&Section]) -> Vec<(usize, String, String)> {
        let mut faults = Vec::new();
        let Some((first, rest)) = files.split_first() else {
            return faults;
        };
        let names = |s: &Section| s.member.iter().map(|m| m.name.clone()).collect::<Vec<_>>();
        for (i, other) in rest.iter().enumerate().map(|(i, s)| (i + 1, s)) {
            let mut fault = |path: &str, why: String| faults.push((i, path.to_string(), why));
            if names(other) != names(first) {
                let why = "not the members of the first file, in its order: fronts with such files don't count on each other, and \
                           no front of the smaller side ever gets more than its reserve";
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
            let valid = |k: &Keys| [k.sign, k.also];
            let understood = match (own.sign, theirs.sign) {
                (None, None) => true,
                (Some(a), Some(b)) => {
                    valid(&theirs).contains(&Some(a)) && valid(&own).contains(&Some(b))
                }
                _ => false,
            };
            if !understood {
                fault(
                    "keys",
                    "what one signs the other does not take: they never hear each other".into(),
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

    /// Microseconds of a setting in milliseconds.
    pub fn span(ms: u32) -> Micros {
        Micros::from(ms) * 1000
    }
}
