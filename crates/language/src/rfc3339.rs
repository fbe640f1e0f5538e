//! Timestamps as RFC 3339 text in UTC: `2026-12-02T07:30:00.250000Z`.

use paddlemount_protocol::time::Timestamp;

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 86_400;
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to the Unix epoch.
const DAYS_BEFORE_EPOCH: u64 = 719_468;

/// Formats a timestamp.
pub fn format(time: Timestamp) -> String {
    let seconds = time.0 / MICROSECONDS_PER_SECOND;
    let (year, month, day) = date_of(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (second_of_day / 3_600, second_of_day / 60 % 60, second_of_day % 60);
    let fraction = time.0 % MICROSECONDS_PER_SECOND;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{fraction:06}Z")
}

/// Parses a timestamp of the form `YYYY-MM-DD` or `YYYY-MM-DDThh:mm:ss[.ffffff]Z`.
pub fn parse(text: &str) -> Option<Timestamp> {
    let (date, time) = match text.split_once('T') {
        Some((date, time)) => (date, time.strip_suffix('Z')?),
        None => (text, "00:00:00"),
    };
    let [year, month, day] = numbers::<3>(date, '-')?;
    let (clock, fraction) = time.split_once('.').unwrap_or((time, ""));
    let [hour, minute, second] = numbers::<3>(clock, ':')?;
    let in_range = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    let days = in_range.then(|| days_since_epoch(year, month, day))?;
    if date_of(days) != (year, month, day) {
        return None;
    }
    let seconds = days * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second;
    Some(Timestamp(seconds * MICROSECONDS_PER_SECOND + microseconds(fraction)?))
}

fn numbers<const N: usize>(text: &str, separator: char) -> Option<[u64; N]> {
    let mut parts = text.split(separator);
    let mut values = [0; N];
    for value in &mut values {
        *value = digits(parts.next()?)?;
    }
    parts.next().is_none().then_some(values)
}

fn digits(text: &str) -> Option<u64> {
    let all_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if all_digits { text.parse().ok() } else { None }
}

fn microseconds(fraction: &str) -> Option<u64> {
    if fraction.is_empty() {
        return Some(0);
    }
    if fraction.len() > 6 {
        return None;
    }
    digits(&format!("{fraction:0<6}"))
}

/// Converts days since the Unix epoch to year, month and day of the Gregorian calendar. Years are counted
/// from March, so that the leap day is the last day of its year.
fn date_of(epoch_day: u64) -> (u64, u64, u64) {
    let days = epoch_day + DAYS_BEFORE_EPOCH;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Converts a date to days since the Unix epoch.
fn days_since_epoch(year: u64, month: u64, day: u64) -> u64 {
    let year = year - u64::from(month <= 2);
    let (era, year_of_era) = (year / 400, year % 400);
    let month_from_march = if month > 2 { month - 3 } else { month + 9 };
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * DAYS_PER_ERA + day_of_era - DAYS_BEFORE_EPOCH
}
