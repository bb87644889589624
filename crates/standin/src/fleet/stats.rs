//! Statistics.

/// Sorts the values and returns the `q`-quantile, or 0 without values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "indices are small and not negative"
)]
pub(crate) fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len().saturating_sub(1) as f64 * q).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}
