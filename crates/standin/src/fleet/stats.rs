//! Quantiles.

/// A quantile of values, which are sorted; 0 of none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "an index of a run's values is small and positive"
)]
pub(crate) fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (values.len().saturating_sub(1) as f64 * part).round() as usize;
    values.get(place).copied().unwrap_or(0.0)
}
