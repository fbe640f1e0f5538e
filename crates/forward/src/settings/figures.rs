//! Parses numbers of the settings file, which may be integers or fractions.

use serde::{Deserialize, Deserializer, de::Error};

const MS_PER_SECOND: f64 = 1_000.0;
/// The greatest accepted number: integers up to it are exact as `f64`.
const MAX_NUMBER: f64 = 9_007_199_254_740_992.0;

/// A number that is not negative, rounded down. Rounding a bound down errs on the safe side.
pub fn whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = f64::deserialize(deserializer)?;
    if !(0.0..=MAX_NUMBER).contains(&number) {
        return Err(D::Error::custom(format!("{number} is not a number of 0 or more")));
    }
    T::try_from(number as u64).map_err(|_| D::Error::custom(format!("{number} is too large")))
}

/// A time in seconds, converted to milliseconds.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)? * MS_PER_SECOND;
    if !(0.0..=MAX_NUMBER).contains(&number) {
        return Err(D::Error::custom("a time must be 0 s or more"));
    }
    Ok(number as u64)
}
