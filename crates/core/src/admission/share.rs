//! Computes max-min fair shares.

/// Returns the level at which `capacity` is used up if each tenant, given as demand and weight, gets its
/// demand up to its weight times the level. Returns infinity if all demand fits.
pub fn fair_level(capacity: f64, mut tenants: Vec<(f64, f64)>) -> f64 {
    tenants.sort_by(|left, right| (left.0 / left.1).total_cmp(&(right.0 / right.1)));
    let mut left = capacity;
    let mut weights: f64 = tenants.iter().map(|(_, weight)| weight).sum();
    for (wanted, weight) in tenants {
        if wanted / weight > left / weights {
            return (left / weights).max(0.0);
        }
        left -= wanted;
        weights -= weight;
    }
    f64::INFINITY
}
