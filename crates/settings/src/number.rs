//! Numbers that may come with a fraction, where whole ones are needed: a platform that fills
//! in settings from a template has its own forms of numbers.

use serde::{Deserialize, Deserializer, de};

/// Reads a number that is not negative, and drops its fraction.
pub(crate) fn whole<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(from)?;
    if !(0.0..=9e15).contains(&number) {
        return Err(de::Error::custom(format!(
            "{number} is no number of this setting"
        )));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is within the bounds of whole ones"
    )]
    let whole = number as u64;
    Ok(whole)
}

/// As [`whole`], for a setting that may be absent.
pub(crate) fn some_whole<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    whole(from).map(Some)
}
