//! Typed reading of values. Errors are collected instead of returned at the first one.

use crate::invalid_setting::InvalidSetting;
use crate::key_values::KeyValues;
use crate::port_range::PortRange;
use std::net::SocketAddrV4;
use std::str::FromStr;

/// From this number on, 2^53, a 64-bit float cannot represent every integer.
const EXACT_INTEGER_LIMIT: f64 = 9_007_199_254_740_992.0;
const MS_PER_SECOND: f64 = 1000.0;

/// Reads values by key and collects the invalid settings. An invalid value is read as the given default, or as the
/// default of its type if the key is required.
pub(crate) struct Reader<'a> {
    values: &'a KeyValues,
    invalid: Vec<InvalidSetting>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(values: &'a KeyValues) -> Reader<'a> {
        Reader {
            values,
            invalid: Vec::new(),
        }
    }

    /// All invalid settings, in the order in which they were reported.
    pub(crate) fn into_invalid(self) -> Vec<InvalidSetting> {
        self.invalid
    }

    pub(crate) fn report(&mut self, invalid: InvalidSetting) {
        self.invalid.push(invalid);
    }

    /// Whether this key is already reported.
    pub(crate) fn is_reported(&self, key: &str) -> bool {
        self.invalid.iter().any(|invalid| invalid.key() == key)
    }

    /// Reports that a key conflicts with other settings, unless the key is already reported.
    pub(crate) fn report_inconsistent(&mut self, key: &str, reason: &str) {
        if !self.is_reported(key) {
            self.report(InvalidSetting::Inconsistent {
                key: key.to_string(),
                reason: reason.to_string(),
            });
        }
    }

    /// Reports that a required key is missing, unless the key is already reported.
    pub(crate) fn report_missing(&mut self, key: &str) {
        if !self.is_reported(key) {
            self.report(InvalidSetting::Missing {
                key: key.to_string(),
            });
        }
    }

    /// An optional text.
    pub(crate) fn optional_text(&self, key: &str) -> Option<String> {
        self.values.get(key).map(str::to_string)
    }

    /// A required text.
    pub(crate) fn text(&mut self, key: &str) -> String {
        self.required(key).unwrap_or_default().to_string()
    }

    /// The items of a list; no items if the key is missing or empty.
    pub(crate) fn list(&self, key: &str) -> Vec<String> {
        self.values
            .get(key)
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// The values that the keywords of a list denote.
    pub(crate) fn keywords<T>(&mut self, key: &str, parse: fn(&str) -> Option<T>) -> Vec<T> {
        let keywords = self.list(key);
        keywords
            .iter()
            .filter_map(|keyword| self.known_keyword(key, keyword, parse))
            .collect()
    }

    /// The value that a keyword denotes, or `default` if the key is missing.
    pub(crate) fn keyword_or<T>(
        &mut self,
        key: &str,
        parse: fn(&str) -> Option<T>,
        default: T,
    ) -> T {
        self.values
            .get(key)
            .and_then(|keyword| self.known_keyword(key, keyword, parse))
            .unwrap_or(default)
    }

    /// A boolean, or `default` if the key is missing.
    pub(crate) fn boolean_or(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.values.get(key) else {
            return default;
        };
        value.parse().unwrap_or_else(|_| {
            self.report(InvalidSetting::NotABoolean {
                key: key.to_string(),
                value: value.to_string(),
            });
            default
        })
    }

    /// A required address of type `T`.
    pub(crate) fn address<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let value = self.required(key)?;
        self.parse_address(key, value)
    }

    /// An optional socket address.
    pub(crate) fn optional_address(&mut self, key: &str) -> Option<SocketAddrV4> {
        let value = self.values.get(key)?;
        self.parse_address(key, value)
    }

    /// A list of socket addresses.
    pub(crate) fn addresses(&mut self, key: &str) -> Vec<SocketAddrV4> {
        let parts = self.list(key);
        parts
            .iter()
            .filter_map(|part| self.parse_address(key, part))
            .collect()
    }

    /// A required integer.
    pub(crate) fn integer(&mut self, key: &str) -> u64 {
        match self.required(key) {
            Some(_) => self.integer_or(key, 0),
            None => 0,
        }
    }

    /// An integer, or `default` if the key is missing. A fraction is rounded down.
    pub(crate) fn integer_or(&mut self, key: &str, default: u64) -> u64 {
        self.optional_number(key)
            .map_or(default, |number| number.floor() as u64)
    }

    /// A non-negative number, or `default` if the key is missing.
    pub(crate) fn number_or(&mut self, key: &str, default: f64) -> f64 {
        self.optional_number(key).unwrap_or(default)
    }

    /// A duration in milliseconds, from the key `STEM-ms` or, in seconds, `STEM-s`; `default_ms` if both are
    /// missing.
    pub(crate) fn duration_ms_or(&mut self, stem: &str, default_ms: u64) -> u64 {
        let milliseconds = self
            .optional_number(&format!("{stem}-ms"))
            .or_else(|| Some(self.optional_number(&format!("{stem}-s"))? * MS_PER_SECOND));
        milliseconds.map_or(default_ms, |number| number.round() as u64)
    }

    /// A required range of ports.
    pub(crate) fn port_range(&mut self, key: &str) -> PortRange {
        let Some(value) = self.required(key) else {
            return PortRange::default();
        };
        let (key_name, value) = (key.to_string(), value.to_string());
        let ports: Option<Vec<u16>> = self
            .list(key)
            .iter()
            .map(|part| part.parse().ok())
            .collect();
        let invalid = match ports.as_deref() {
            Some([first, last]) if *first > 0 && first <= last => {
                return PortRange {
                    first: *first,
                    last: *last,
                };
            }
            Some([_, _]) => InvalidSetting::OutOfRange {
                key: key_name,
                value,
            },
            _ => InvalidSetting::NotANumber {
                key: key_name,
                value,
            },
        };
        self.report(invalid);
        PortRange::default()
    }

    fn required(&mut self, key: &str) -> Option<&'a str> {
        let value = self.values.get(key);
        if value.is_none() {
            self.report(InvalidSetting::Missing {
                key: key.to_string(),
            });
        }
        value
    }

    fn known_keyword<T>(
        &mut self,
        key: &str,
        keyword: &str,
        parse: fn(&str) -> Option<T>,
    ) -> Option<T> {
        let known = parse(keyword);
        if known.is_none() {
            self.report(InvalidSetting::UnknownValue {
                key: key.to_string(),
                value: keyword.to_string(),
            });
        }
        known
    }

    fn parse_address<T: FromStr>(&mut self, key: &str, value: &str) -> Option<T> {
        let address = value.parse().ok();
        if address.is_none() {
            self.report(InvalidSetting::NotAnAddress {
                key: key.to_string(),
                value: value.to_string(),
            });
        }
        address
    }

    fn optional_number(&mut self, key: &str) -> Option<f64> {
        let text = self.values.get(key)?;
        let (key, value) = (key.to_string(), text.to_string());
        match text.parse::<f64>() {
            Ok(number) if (0.0..EXACT_INTEGER_LIMIT).contains(&number) => return Some(number),
            Ok(number) if !number.is_nan() => {
                self.report(InvalidSetting::OutOfRange { key, value });
            }
            _ => self.report(InvalidSetting::NotANumber { key, value }),
        }
        None
    }
}
