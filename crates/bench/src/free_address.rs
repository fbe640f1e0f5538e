//! Addresses for processes that are told where to listen before they start, or that start again there.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
};

/// Ports below those that the system gives to outgoing connections and to whoever asks for any: one of these may be taken between
/// the look and the process's start.
const PORT_RANGE: Range<u16> = 20_000..32_000;
/// Ports that are tried for one address.
const MAX_ATTEMPTS: usize = 100;

/// An address on loopback that is free now, and that nobody is given who does not ask for it.
pub fn free_address() -> Result<SocketAddr, io::Error> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..MAX_ATTEMPTS {
        let address = SocketAddr::from(([127, 0, 0, 1], rand::random_range(PORT_RANGE)));
        match TcpListener::bind(address) {
            Ok(_free) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}
