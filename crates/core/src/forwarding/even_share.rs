//! Splits a total evenly among nodes without coordination.

/// One of `parts` even shares of `total`, rounded down. If a share is less than one, each node gets one or
/// none by its `draw`, uniform in 0 to 1, so that as many nodes get one as the total allows on average.
pub fn even_share(total: u32, parts: u32, draw: f64) -> u32 {
    let share = f64::from(total) / f64::from(parts.max(1));
    if share < 1.0 { u32::from(draw < share) } else { share as u32 }
}
