//! Bounds of numbers.

use std::ops::RangeInclusive;

use super::Fault;

/// Refuses a number outside its range.
pub(crate) fn within(field: &str, value: u64, allowed: RangeInclusive<u64>) -> Result<(), Fault> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (least, most) = (allowed.start(), allowed.end());
    let reason = format!("{value} is not allowed; allowed are {least} to {most}");
    Err(Fault::new(field, reason))
}
