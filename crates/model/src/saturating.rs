//! Whole numbers of what is counted in parts.

/// A number without its fraction; out of range, the nearest bound.
#[must_use]
pub const fn saturating_u64(number: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast goes to the nearest bound"
    )]
    let whole = number as u64;
    whole
}

/// As [`saturating_u64`], of 32 bits.
#[must_use]
pub const fn saturating_u32(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast goes to the nearest bound"
    )]
    let whole = number as u32;
    whole
}
