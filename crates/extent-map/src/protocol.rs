//! The messages of the extent authority's protocol.
//!
//! The protocol is the project's own: JSON over HTTP/1.1. `docs/operate/extents.md` describes it for operators.

use lupinrack_policy::VolumeId;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A state of the authority's map. All versions of a later incarnation order after those of an earlier one: an
/// authority that lost its state restarts with a higher incarnation, and may count its epochs from any number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The incarnation of the authority.
    pub incarnation: u64,
    /// Changes made in that incarnation.
    pub epoch: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.epoch)
    }
}

/// The text is not a version, which is two decimal numbers with a point between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a version such as 3.1415")]
pub struct ParseVersionError;

impl FromStr for Version {
    type Err = ParseVersionError;
    fn from_str(text: &str) -> Result<Version, ParseVersionError> {
        let number = |digits: &str| -> Result<u64, ParseVersionError> {
            Some(digits)
                .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
                .and_then(|digits| digits.parse().ok())
                .ok_or(ParseVersionError)
        };
        let (incarnation, epoch) = text.trim().split_once('.').ok_or(ParseVersionError)?;
        Ok(Version {
            incarnation: number(incarnation)?,
            epoch: number(epoch)?,
        })
    }
}

/// A change: from an epoch on, a key range of a volume is on a shard. Moves, splits and merges are all sent in this
/// form.
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
    /// The shard; `None`: no extent covers the range any more.
    pub shard: Option<u32>,
    /// The epoch of the change.
    pub epoch: u64,
}

/// The authority's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PollResponse {
    /// The version reached by applying the changes.
    pub version: Version,
    /// The polled version is too old or of another incarnation: what the front knows may lack changes.
    #[serde(default)]
    pub reset: bool,
    /// With `reset`: whether `changes` contain the full map. Otherwise volumes have to be fetched one by one.
    #[serde(default, rename = "whole")]
    pub full_map: bool,
    /// The changes since the polled version, in the order of their epochs.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// The authority's answer to a fetch: all extents of a volume within a key range, at a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchResponse {
    /// The version.
    pub version: Version,
    /// The volume.
    #[serde(with = "hex")]
    pub volume: VolumeId,
    /// The first key of the range.
    #[serde(with = "hex")]
    pub first: u64,
    /// The last key of the range.
    #[serde(with = "hex")]
    pub last: u64,
    /// The extents in the order of their keys. Keys between them are not covered by any.
    pub extents: Vec<Change>,
}

/// 64-bit numbers as hexadecimal text in JSON, because many JSON parsers lose the low bits of large numbers.
mod hex {
    use super::*;

    pub(super) trait Number: Copy {
        fn number(self) -> u64;
        fn from_number(number: u64) -> Self;
    }
    impl Number for u64 {
        fn number(self) -> u64 {
            self
        }
        fn from_number(number: u64) -> u64 {
            number
        }
    }
    impl Number for VolumeId {
        fn number(self) -> u64 {
            self.0
        }
        fn from_number(number: u64) -> VolumeId {
            VolumeId(number)
        }
    }

    pub(super) fn serialize<T: Number, S: Serializer>(
        value: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(&format_args!("{:x}", value.number())),
            false => serializer.serialize_u64(value.number()),
        }
    }

    pub(super) fn deserialize<'a, T: Number, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<T, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(T::from_number);
        }
        let text = <std::borrow::Cow<'a, str>>::deserialize(deserializer)?;
        let valid = !text.is_empty()
            && text.len() <= 16
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = valid.then(|| u64::from_str_radix(&text, 16).ok()).flatten();
        number
            .map(T::from_number)
            .ok_or_else(|| D::Error::custom("expected 1 to 16 hexadecimal digits"))
    }
}
