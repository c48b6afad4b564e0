//! The moment, as the log keeps it: time since boot (the machine's sleep included), which boot, and the wall clock.

use crate::record::Moment;
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the clocks. The system tells the time since boot in hundredths of a second, in which the window is judged
/// with a tenth to spare.
pub fn now() -> io::Result<Moment> {
    let uptime = std::fs::read_to_string("/proc/uptime")?;
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
    let since_boot =
        uptime_micros(&uptime).ok_or_else(|| io::Error::other("an uptime that cannot be read"))?;
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

/// The first word of the system's uptime, in microseconds.
fn uptime_micros(text: &str) -> Option<i64> {
    let seconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1e6) as i64)
}

/// A boot's random id as a number: its first 64 bits.
fn boot_number(id: &str) -> u64 {
    let digits: String = id
        .chars()
        .filter(char::is_ascii_hexdigit)
        .take(16)
        .collect();
    u64::from_str_radix(&digits, 16).unwrap_or(0)
}
