//! Parsing of the `Retry-After` header (RFC 9110, section 10.2.3). Fractional seconds are accepted.

use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use hyper::header::{DATE, HeaderName, RETRY_AFTER};

/// Returns the delay in milliseconds, or `None` without a valid value. The longest of several
/// values is used.
#[must_use]
pub fn read(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(RETRY_AFTER).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let delays = texts.filter_map(|text| parse_seconds(text).or_else(|| time_until(headers, text)));
    delays.max().map(whole_ms)
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    // `f64::from_str` also accepts signs, exponents, `inf` and `NaN`.
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_plain)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Time until a date, relative to the `Date` header if there is one, as clocks may differ.
fn time_until(headers: &HeaderMap, text: &str) -> Option<Duration> {
    let until = httpdate::parse_http_date(text.trim()).ok()?;
    let now = parse_date(headers, &DATE).unwrap_or_else(SystemTime::now);
    Some(until.duration_since(now).unwrap_or_default())
}

fn parse_date(headers: &HeaderMap, name: &HeaderName) -> Option<SystemTime> {
    let text = headers.get(name)?.to_str().ok()?;
    httpdate::parse_http_date(text).ok()
}

fn whole_ms(delay: Duration) -> u64 {
    u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
}
