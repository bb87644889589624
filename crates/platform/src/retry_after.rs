//! The header `Retry-After` (RFC 9110, section 10.2.3), in seconds, fractions included, or a date.

use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use hyper::header::{DATE, HeaderName, RETRY_AFTER};

/// How long to wait, in milliseconds; `None` without a readable value. Of several values the
/// longest counts.
#[must_use]
pub fn read(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(RETRY_AFTER).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let waits = texts.filter_map(|text| seconds(text).or_else(|| until(headers, text)));
    waits.max().map(whole_ms)
}

fn seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    // A number's other forms (signs, exponents, names) are none of this header's.
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_plain)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Time until a date, by the sender's clock if it tells that: the two may differ.
fn until(headers: &HeaderMap, text: &str) -> Option<Duration> {
    let until = httpdate::parse_http_date(text.trim()).ok()?;
    let now = date(headers, &DATE).unwrap_or_else(SystemTime::now);
    Some(until.duration_since(now).unwrap_or_default())
}

fn date(headers: &HeaderMap, name: &HeaderName) -> Option<SystemTime> {
    let text = headers.get(name)?.to_str().ok()?;
    httpdate::parse_http_date(text).ok()
}

fn whole_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}
