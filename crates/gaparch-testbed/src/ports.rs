//! Loopback ports for processes that start later, and come back to the same ones.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the range from which the system deals out ports to whoever asks for any: such a port could be taken by a
/// connection of somebody else between two starts of a process.
const FIRST: u16 = 12_000;
const COUNT: u16 = 20_000;

/// Ports that are free now for both TCP and UDP, each given once by this process.
///
/// # Errors
/// When there are not so many.
pub fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Two processes that run side by side begin elsewhere.
    let begin = (std::process::id().wrapping_mul(2_654_435_761) >> 16) as u16 % COUNT;
    let mut found = Vec::new();
    for _ in 0..COUNT {
        if found.len() == count {
            break;
        }
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (u32::from(begin) + u32::from(step)).rem_euclid(u32::from(COUNT)) as u16;
        let address: SocketAddr = (Ipv4Addr::LOCALHOST, port).into();
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    if found.len() < count {
        return Err(io::Error::new(io::ErrorKind::AddrInUse, "no free ports are left on loopback"));
    }
    Ok(found)
}
