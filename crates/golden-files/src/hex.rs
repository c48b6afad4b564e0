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
/// If the text has other characters than hexadecimal digits, or an odd number of them.
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
