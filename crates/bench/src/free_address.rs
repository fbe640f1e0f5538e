//! Loopback addresses for processes that need a fixed address before they start or across restarts.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
};

/// Below the ephemeral port range, so that the system assigns no port of it to another socket between the
/// check and the start of the process.
const PORT_RANGE: Range<u16> = 20_000..32_000;
/// Ports to try for one address.
const MAX_ATTEMPTS: usize = 100;

/// Returns a loopback address that is free now and outside the ephemeral port range.
pub fn free_address() -> Result<SocketAddr, io::Error> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..MAX_ATTEMPTS {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(PORT_RANGE)));
        match TcpListener::bind(address) {
            Ok(_free) => return Ok(address),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
