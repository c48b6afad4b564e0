//! Typed reading of values; faults are collected instead of ending the reading.

use crate::error::SettingsFault;
use crate::key_values::SettingsLines;
use std::net::SocketAddrV4;
use std::str::FromStr;

/// Numbers from here on are no longer exact in a 64-bit float.
const EXACT_LIMIT: f64 = 9_007_199_254_740_992.0;
/// Milliseconds of a second.
const SECOND_MS: f64 = 1000.0;

/// Reads values by key and keeps the faults that it meets; a value at fault is read as its type's default.
pub(crate) struct Reader<'a> {
    lines: &'a SettingsLines,
    faults: Vec<SettingsFault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(lines: &'a SettingsLines) -> Reader<'a> {
        Reader {
            lines,
            faults: Vec::new(),
        }
    }

    /// All faults met.
    pub(crate) fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }

    /// Adds a fault found elsewhere.
    pub(crate) fn report(&mut self, fault: SettingsFault) {
        self.faults.push(fault);
    }

    /// Whether a fault of this key was reported already.
    pub(crate) fn has_fault(&self, key: &str) -> bool {
        self.faults.iter().any(|fault| fault.key() == key)
    }

    /// Reports that a key contradicts another.
    pub(crate) fn contradiction(&mut self, key: &str, reason: &str) {
        self.report(SettingsFault::Contradictory {
            key: key.to_string(),
            reason: reason.to_string(),
        });
    }

    /// A text that may be lacking.
    pub(crate) fn optional_text(&self, key: &str) -> Option<String> {
        self.lines.value(key).map(str::to_string)
    }

    /// A text that has to be there.
    pub(crate) fn text(&mut self, key: &str) -> String {
        self.required(key).unwrap_or_default().to_string()
    }

    /// The parts of a list; none where it is lacking or empty.
    pub(crate) fn list(&self, key: &str) -> Vec<String> {
        let parts = self
            .lines
            .value(key)
            .unwrap_or_default()
            .split(',')
            .map(str::trim);
        parts
            .filter(|part| !part.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// True or false; `default` where the key is lacking.
    pub(crate) fn boolean(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.lines.value(key) else {
            return default;
        };
        value.parse().unwrap_or_else(|_| {
            self.report(SettingsFault::NotABoolean {
                key: key.to_string(),
                value: value.to_string(),
            });
            default
        })
    }

    /// A value of a kind of address that has to be there.
    pub(crate) fn address<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let value = self.required(key)?;
        self.parsed_address(key, value)
    }

    /// A socket address that may be lacking.
    pub(crate) fn optional_address(&mut self, key: &str) -> Option<SocketAddrV4> {
        let value = self.lines.value(key)?;
        self.parsed_address(key, value)
    }

    /// A list of socket addresses.
    pub(crate) fn addresses(&mut self, key: &str) -> Vec<SocketAddrV4> {
        let parts = self.list(key);
        parts
            .iter()
            .filter_map(|part| self.parsed_address(key, part))
            .collect()
    }

    /// A whole number that has to be there.
    pub(crate) fn whole(&mut self, key: &str) -> u64 {
        match self.required(key) {
            Some(_) => self.whole_or(key, 0),
            None => 0,
        }
    }

    /// A whole number, or `default` where the key is lacking; a fraction is rounded down.
    pub(crate) fn whole_or(&mut self, key: &str, default: u64) -> u64 {
        self.optional_number(key)
            .map_or(default, |number| number.floor() as u64)
    }

    /// A number that is not negative, or `default` where the key is lacking.
    pub(crate) fn number_or(&mut self, key: &str, default: f64) -> f64 {
        self.optional_number(key).unwrap_or(default)
    }

    /// A duration in milliseconds, from the key `STEM-ms` or, in seconds, `STEM-s`; `default_ms` where both are lacking.
    pub(crate) fn duration_ms(&mut self, stem: &str, default_ms: u64) -> u64 {
        let milliseconds = self.optional_number(&format!("{stem}-ms"));
        let number =
            milliseconds.or_else(|| Some(self.optional_number(&format!("{stem}-s"))? * SECOND_MS));
        number.map_or(default_ms, |number| number.round() as u64)
    }

    /// The two ends of a range of ports.
    pub(crate) fn port_range(&mut self, key: &str) -> (u16, u16) {
        let Some(value) = self.required(key) else {
            return (0, 0);
        };
        let ports: Option<Vec<u16>> = self
            .list(key)
            .iter()
            .map(|part| part.parse().ok())
            .collect();
        match ports.as_deref() {
            Some([first, last]) if *first > 0 && first <= last => (*first, *last),
            Some([_, _]) => self.out_of_range(key, value),
            _ => self.not_a_port_range(key, value),
        }
    }

    fn out_of_range(&mut self, key: &str, value: &str) -> (u16, u16) {
        self.report(SettingsFault::OutOfRange {
            key: key.to_string(),
            value: value.to_string(),
        });
        (0, 0)
    }

    fn not_a_port_range(&mut self, key: &str, value: &str) -> (u16, u16) {
        self.report(SettingsFault::NotANumber {
            key: key.to_string(),
            value: value.to_string(),
        });
        (0, 0)
    }

    fn required(&mut self, key: &str) -> Option<&'a str> {
        let value = self.lines.value(key);
        if value.is_none() {
            self.report(SettingsFault::Lacking {
                key: key.to_string(),
            });
        }
        value
    }

    fn parsed_address<T: FromStr>(&mut self, key: &str, value: &str) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.report(SettingsFault::NotAnAddress {
                key: key.to_string(),
                value: value.to_string(),
            });
        }
        parsed
    }

    fn optional_number(&mut self, key: &str) -> Option<f64> {
        let text = self.lines.value(key)?;
        let (key, value) = (key.to_string(), text.to_string());
        match text.parse::<f64>() {
            Ok(number) if (0.0..EXACT_LIMIT).contains(&number) => return Some(number),
            Ok(number) if !number.is_nan() => self.report(SettingsFault::OutOfRange { key, value }),
            _ => self.report(SettingsFault::NotANumber { key, value }),
        }
        None
    }
}
