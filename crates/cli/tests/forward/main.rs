//! Forwarded routes through a real process, against stand-ins of the platform.

mod belief;
mod delivery;
mod ending;
mod fleet;
mod quota;
mod router;
mod soak;
