//! A node's part of what all nodes share without a word between them.

/// One of `parts` even parts of `whole`, rounded down. Where a part is less than one, as many nodes have one as the whole allows, by
/// `draw`, which each node draws evenly from 0 to 1.
pub fn even_share(whole: u32, parts: u32, draw: f64) -> u32 {
    let part = f64::from(whole) / f64::from(parts.max(1));
    if part < 1.0 { u32::from(draw < part) } else { part as u32 }
}
