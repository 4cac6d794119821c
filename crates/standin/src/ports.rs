//! Free ports of loopback addresses.

use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
};

/// Tries before no port counts as free for both protocols.
const MAX_TRIES: u32 = 100;

/// Hands out ports, none twice.
#[derive(Debug, Default)]
pub struct Ports(BTreeSet<SocketAddr>);

impl Ports {
    /// An address of `ip` whose port is free for TCP and UDP now.
    ///
    /// # Errors
    ///
    /// Fails when the address isn't this machine's or no port is free.
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
