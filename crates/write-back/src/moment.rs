//! Moments on two clocks.

use lupinrack_policy::Micros;
use serde::{Deserialize, Serialize};
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

const UPTIME_FILE: &str = "/proc/uptime";
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Hexadecimal digits of a boot's identity that are read: its first 64 bits.
const BOOT_ID_DIGITS: usize = 16;
const MICROS_PER_SECOND: f64 = 1e6;

/// A moment on both clocks. Times since boot compare within one boot only; the wall clock may step. The fields' order is the
/// form in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Microseconds since the boot that `boot` names, time asleep included.
    pub since_boot: Micros,
    /// Which boot.
    pub boot: u64,
    /// Microseconds since 1970.
    pub wall: Micros,
}

impl Moment {
    /// Reads the clocks. The system gives the time since boot in hundredths of a second; the repeat window is judged with a
    /// tenth to spare.
    ///
    /// # Errors
    ///
    /// Where the system's files cannot be read or parsed.
    pub fn now() -> io::Result<Moment> {
        let uptime = std::fs::read_to_string(UPTIME_FILE)?;
        let boot = std::fs::read_to_string(BOOT_ID_FILE)?;
        let since_boot = uptime_micros(&uptime)
            .ok_or_else(|| io::Error::other("an uptime that cannot be read"))?;
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

/// The first number of the system's uptime, in microseconds.
fn uptime_micros(text: &str) -> Option<i64> {
    let seconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    let readable = seconds.is_finite() && seconds >= 0.0;
    readable.then_some((seconds * MICROS_PER_SECOND) as i64)
}

/// A boot's random identity as a number.
fn boot_number(id: &str) -> u64 {
    let digits: String = id
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(BOOT_ID_DIGITS)
        .collect();
    u64::from_str_radix(&digits, 16).unwrap_or(0)
}
