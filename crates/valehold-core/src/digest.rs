//! Digests as text.

use std::fmt::Write;

/// Returns bytes in hexadecimal, two lower-case digits each.
///
/// # Example
///
/// ```
/// assert_eq!(valehold_core::digest::hexadecimal(&[0, 171]), "00ab");
/// ```
pub fn hexadecimal(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(out, "{byte:02x}");
    }
    out
}
