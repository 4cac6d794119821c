//! Free ports of loopback addresses.

use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
};

/// Number of ports tried before the search for a free one fails.
const MAX_TRIES: u32 = 100;

/// Allocator of free ports; no port is given out twice.
#[derive(Debug, Default)]
pub struct Ports(BTreeSet<SocketAddr>);

impl Ports {
    /// Returns an address of `ip` whose port is free for TCP and UDP now.
    ///
    /// # Errors
    ///
    /// Fails when `ip` is not an address of this machine or no port is free.
    pub fn free(&mut self, ip: IpAddr) -> io::Result<SocketAddr> {
        for _ in 0..MAX_TRIES {
            let listener = TcpListener::bind((ip, 0))?;
            let address = listener.local_addr()?;
            if UdpSocket::bind(address).is_ok() && self.0.insert(address) {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
