//! Texts of HTTP: headers and queries.

use std::{str::FromStr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Uri};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Reads for how long a connection may rest: `Keep-Alive: timeout=SECONDS`.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text
        .split(',')
        .filter_map(|item| item.trim().split_once('='))
        .find(|(name, _)| name.eq_ignore_ascii_case("timeout"))
        .map(|(_, seconds)| seconds.trim().parse().ok());
    seconds.flatten().map(Duration::from_secs)
}

/// Reads a header's value as a number.
pub fn number<T: FromStr>(value: &HeaderValue) -> Option<T> {
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns a value of a query, as it was written.
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Writes a text so that it can stand in a query, whoever made it.
pub fn percent_encoded(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => {
                encoded.push(byte.into());
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
