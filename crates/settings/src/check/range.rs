//! Number ranges.

use std::ops::RangeInclusive;

use super::InvalidField;

/// Rejects a number outside of its range.
pub(crate) fn check_range(
    field: &str,
    value: u64,
    allowed: RangeInclusive<u64>,
) -> Result<(), InvalidField> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (min, max) = (allowed.start(), allowed.end());
    let reason = format!("{value} is out of range; must be from {min} to {max}");
    Err(InvalidField::new(field, reason))
}
