//! Saturating conversions from floating point.

/// Truncates a number toward zero; values out of range saturate.
#[must_use]
pub const fn saturating_u64(number: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    let integer = number as u64;
    integer
}

/// Like [`saturating_u64`], for 32 bits.
#[must_use]
pub const fn saturating_u32(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate"
    )]
    let integer = number as u32;
    integer
}
