//! Parses `Retry-After` (RFC 9110, 10.2.3).

use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderName, header};

#[cfg(test)]
mod tests;

/// Returns the delay that the `Retry-After` header of an answer requests.
///
/// Seconds may have a fraction. A date is relative to the answer's own `Date`
/// header if present, since the clocks of machines differ. Returns `None` if
/// the value is missing, malformed, negative or too large for a `Duration`.
pub(super) fn read(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim();
    if let Ok(seconds) = text.parse::<f64>() {
        return Duration::try_from_secs_f64(seconds).ok();
    }
    let until = httpdate::parse_http_date(text).ok()?;
    let from = date(headers, &header::DATE).unwrap_or_else(SystemTime::now);
    until.duration_since(from).ok()
}

fn date(headers: &HeaderMap, name: &HeaderName) -> Option<SystemTime> {
    let text = headers.get(name)?.to_str().ok()?;
    httpdate::parse_http_date(text.trim()).ok()
}
