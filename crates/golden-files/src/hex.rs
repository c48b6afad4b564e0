//! Conversion between bytes and hexadecimal digits.

use std::fmt::Write;

/// Encodes bytes as lowercase hexadecimal digits, two per byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Decodes the output of [`to_hex`].
///
/// # Panics
///
/// If the text contains other characters, or an odd number of digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    assert!(
        text.len().is_multiple_of(2) && text.bytes().all(|byte| byte.is_ascii_hexdigit()),
        "not pairs of hexadecimal digits: {text}"
    );
    let byte = |start| u8::from_str_radix(&text[start..start + 2], 16);
    (0..text.len())
        .step_by(2)
        .map(|start| byte(start).expect("two hexadecimal digits are a byte"))
        .collect()
}
