//! The words of the extent authority's protocol and of the cache.
//!
//! The protocol is the project's own, JSON over HTTP/1.1; `docs/operate/extents.md` has it for operators.

use lupinrack_policy::VolumeId;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A state of the authority's map. Versions of a later incarnation come after all of an earlier one: an authority
/// that lost its state starts again with a higher incarnation and may count epochs from any number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Which life of the authority.
    pub incarnation: u64,
    /// Changes made in that life.
    pub epoch: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.epoch)
    }
}

/// A text is no version: two decimal numbers with a point between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a version, as 3.1415")]
pub struct NoVersion;

impl FromStr for Version {
    type Err = NoVersion;
    fn from_str(text: &str) -> Result<Version, NoVersion> {
        let number = |t: &str| -> Result<u64, NoVersion> {
            Some(t)
                .filter(|t| t.bytes().all(|b| b.is_ascii_digit()))
                .and_then(|t| t.parse().ok())
                .ok_or(NoVersion)
        };
        let (incarnation, epoch) = text.trim().split_once('.').ok_or(NoVersion)?;
        Ok(Version {
            incarnation: number(incarnation)?,
            epoch: number(epoch)?,
        })
    }
}

/// A change: from its epoch on, a range of keys of a volume lies on a shard. Moves, splits and merges are all told so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The volume.
    #[serde(with = "hex")]
    pub volume: VolumeId,
    /// The first key of the range.
    #[serde(with = "hex")]
    pub first: u64,
    /// The last key of the range.
    #[serde(with = "hex")]
    pub last: u64,
    /// The shard; none: no extent covers the range any more.
    pub shard: Option<u32>,
    /// The epoch.
    pub epoch: u64,
}

/// What the authority answers to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct News {
    /// The version that the answer leads to.
    pub version: Version,
    /// The poll's own version was too old or of another incarnation: what was known before is void.
    #[serde(default)]
    pub reset: bool,
    /// With `reset`: whether `changes` hold the whole map. Without it, volumes are to be fetched on need.
    #[serde(default)]
    pub whole: bool,
    /// The changes since the poll's version, in the order of their epochs.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// What the authority answers on one volume: within a range, at a version, its extents are exactly these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cover {
    /// The version.
    pub version: Version,
    /// The volume.
    #[serde(with = "hex")]
    pub volume: VolumeId,
    /// The first key told of.
    #[serde(with = "hex")]
    pub first: u64,
    /// The last key told of.
    #[serde(with = "hex")]
    pub last: u64,
    /// The extents within; keys that none covers have none.
    pub extents: Vec<Change>,
}

/// Numbers of 64 bits as hexadecimal text: JSON numbers lose the low bits at many readers.
mod hex {
    use super::*;

    pub(super) trait Number: Copy {
        fn number(self) -> u64;
        fn from_number(n: u64) -> Self;
    }
    impl Number for u64 {
        fn number(self) -> u64 {
            self
        }
        fn from_number(n: u64) -> u64 {
            n
        }
    }
    impl Number for VolumeId {
        fn number(self) -> u64 {
            self.0
        }
        fn from_number(n: u64) -> VolumeId {
            VolumeId(n)
        }
    }

    pub(super) fn serialize<T: Number, S: Serializer>(n: &T, to: S) -> Result<S::Ok, S::Error> {
        match to.is_human_readable() {
            true => to.collect_str(&format_args!("{:x}", n.number())),
            false => to.serialize_u64(n.number()),
        }
    }

    pub(super) fn deserialize<'a, T: Number, D: Deserializer<'a>>(from: D) -> Result<T, D::Error> {
        if !from.is_human_readable() {
            return u64::deserialize(from).map(T::from_number);
        }
        let text = <std::borrow::Cow<'a, str>>::deserialize(from)?;
        let plain =
            !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = plain.then(|| u64::from_str_radix(&text, 16).ok()).flatten();
        number
            .map(T::from_number)
            .ok_or_else(|| D::Error::custom("not up to 16 hexadecimal digits"))
    }
}
