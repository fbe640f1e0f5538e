//! Parses numbers of the settings file, which may be integers or fractions.

use serde::{Deserialize, Deserializer, de::Error};

const MS_PER_SECOND: f64 = 1_000.0;
/// The greatest accepted number: integers up to it are exact as `f64`.
const MAX_FIGURE: f64 = 9_007_199_254_740_992.0;

/// A number that is not negative, rounded down. Rounding a bound down errs on the safe side.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let figure = f64::deserialize(deserializer)?;
    if !(0.0..=MAX_FIGURE).contains(&figure) {
        return Err(D::Error::custom(format!("{figure} is no figure of 0 or more")));
    }
    T::try_from(figure as u64).map_err(|_| D::Error::custom(format!("{figure} is too great")))
}

/// A time in seconds, converted to milliseconds.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let figure = f64::deserialize(deserializer)? * MS_PER_SECOND;
    if !(0.0..=MAX_FIGURE).contains(&figure) {
        return Err(D::Error::custom("a time must be 0 s or more"));
    }
    Ok(figure as u64)
}
