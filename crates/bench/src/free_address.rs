//! Loopback addresses for processes that need a fixed address before they start or across restarts.

use std::{
    collections::BTreeSet,
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
    sync::{Mutex, PoisonError},
};

/// Below the ephemeral port range, so that the system assigns no port of it to another socket between the
/// check and the start of the process.
const PORT_RANGE: Range<u16> = 20_000..32_000;
/// Ports to try for one address.
const MAX_ATTEMPTS: usize = 100;

/// Ports that this process has returned. One that is free again may belong to a component that has yet to bind
/// it, or that restarts.
static RETURNED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address that is free now and outside the ephemeral port range, and a different one each
/// time.
///
/// # Errors
///
/// Returns the last error of the system if no port of those tried is free.
pub fn free_address() -> Result<SocketAddr, io::Error> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    let mut returned = RETURNED.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..MAX_ATTEMPTS {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(PORT_RANGE)));
        if returned.contains(&address.port()) {
            continue;
        }
        match TcpListener::bind(address) {
            Ok(_free) => {
                returned.insert(address.port());
                return Ok(address);
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
