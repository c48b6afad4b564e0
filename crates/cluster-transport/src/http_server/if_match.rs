//! The precondition of a request.

use http::{header, HeaderMap, HeaderValue};

/// The field `If-Match` of a request (RFC 9110, section 13.1.1), restricted to one version number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IfMatch {
    /// There is no such field.
    Missing,
    /// It holds one number, quoted or not.
    Version(u64),
    /// It holds something else.
    Malformed,
}

impl IfMatch {
    /// The number that it holds.
    pub fn version(self) -> Option<u64> {
        match self {
            IfMatch::Version(version) => Some(version),
            IfMatch::Missing | IfMatch::Malformed => None,
        }
    }

    pub(super) fn of(headers: &HeaderMap) -> IfMatch {
        let mut values = headers.get_all(header::IF_MATCH).iter();
        match (values.next(), values.next()) {
            (None, _) => IfMatch::Missing,
            (Some(value), None) => {
                quoted_number(value).map_or(IfMatch::Malformed, IfMatch::Version)
            }
            (Some(_), Some(_)) => IfMatch::Malformed,
        }
    }
}

fn quoted_number(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let unquoted = text
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'));
    decimal_number(unquoted.unwrap_or(text))
}

/// A number of decimal digits alone; `parse` would also accept a sign.
pub(super) fn decimal_number(text: &str) -> Option<u64> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| all_digits)
}
