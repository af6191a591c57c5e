//! Loopback addresses for processes that tests and measurements start.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port that is given out. The ports lie below the usual range of outgoing connections,
/// so that no connection takes one before the process that is to listen on it does.
const FIRST_PORT: u32 = 12_000;
/// The number of ports that may be given out.
const PORT_COUNT: u32 = 18_000;
/// The distance between the first ports of two processes with consecutive ids.
const PROCESS_STRIDE: u32 = 97;

/// Returns a loopback address on which no process listens, and which this process has not yet
/// returned.
///
/// The address is probed with a connection. A listener would be inherited by any child process
/// that another thread is starting, and would hold the address until that child's `exec`.
///
/// # Panics
///
/// If a process listens on each of the ports.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let base = process::id().wrapping_mul(PROCESS_STRIDE) % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let offset = base.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
    panic!("a process listens on each port from {FIRST_PORT} on, {PORT_COUNT} in all");
}
