//! Times on the boot clock and the wall clock.

use lupinrack_policy::Micros;
use serde::{Deserialize, Serialize};
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

const UPTIME_FILE: &str = "/proc/uptime";
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Hexadecimal digits of the boot ID that are used: its first 64 bits.
const BOOT_ID_DIGITS: usize = 16;
const MICROS_PER_SECOND: f64 = 1e6;

/// A time on both clocks. Times since boot are comparable within one boot only, and the wall clock can be stepped. The order
/// of the fields is the encoding in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Microseconds since the boot identified by `boot`, including suspended time.
    pub since_boot: Micros,
    /// First 64 bits of the boot ID.
    pub boot: u64,
    /// Microseconds since the Unix epoch (1970).
    pub wall: Micros,
}

impl Moment {
    /// Reads both clocks. The kernel reports the time since boot in hundredths of a second; the retry window has a reserve of
    /// one tenth.
    ///
    /// # Errors
    ///
    /// If the files under `/proc` cannot be read or parsed.
    pub fn now() -> io::Result<Moment> {
        let uptime = std::fs::read_to_string(UPTIME_FILE)?;
        let boot = std::fs::read_to_string(BOOT_ID_FILE)?;
        let since_boot =
            uptime_micros(&uptime).ok_or_else(|| io::Error::other("malformed /proc/uptime"))?;
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros();
        Ok(Moment {
            since_boot,
            boot: boot_number(&boot),
            wall: i64::try_from(wall).unwrap_or(i64::MAX),
        })
    }
}

/// Parses the first number of `/proc/uptime` into microseconds.
fn uptime_micros(text: &str) -> Option<i64> {
    let seconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    let valid = seconds.is_finite() && seconds >= 0.0;
    valid.then_some((seconds * MICROS_PER_SECOND) as i64)
}

/// Parses the first 64 bits of a boot ID.
fn boot_number(id: &str) -> u64 {
    let digits: String = id
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(BOOT_ID_DIGITS)
        .collect();
    u64::from_str_radix(&digits, 16).unwrap_or(0)
}
