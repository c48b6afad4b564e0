//! Bytes as hexadecimal digits.

use std::fmt::Write;

/// The bytes as lowercase hexadecimal digits, two for each byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Reads what [`to_hex`] wrote.
///
/// # Panics
///
/// Where the text has other characters than hexadecimal digits, or an odd number of them.
pub fn from_hex(text: &str) -> Vec<u8> {
    assert!(
        text.len().is_multiple_of(2),
        "an odd number of digits: {text}"
    );
    let byte = |start| {
        text.get(start..start + 2)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok())
    };
    let digits = (0..text.len()).step_by(2).map(byte);
    digits
        .map(|byte| byte.unwrap_or_else(|| panic!("not hexadecimal digits: {text}")))
        .collect()
}
