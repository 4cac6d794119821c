//! Binds the sockets, reads datagrams, and passes them to the engine as events.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
};

use displaydoc::Display;
use log::debug;
use metrics::counter;
use policy::io::{Event, Packet};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use wire::{blob::Blob, coap, frame, gue};

use crate::engine::{Engine, SendSockets};

/// Datagrams that are read in a row before the task yields to other tasks.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// The kind of datagrams that a socket receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Encapsulated packets from the fabric.
    Fabric,
    /// Requests of callers.
    Requests,
    /// Answers of upstreams.
    Upstreams,
    /// Messages of other entry VMs.
    Peers,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Self::Fabric => "fabric",
            Self::Requests => "requests",
            Self::Upstreams => "upstreams",
            Self::Peers => "peers",
        }
    }
}

/// A failure to bind or read a socket.
#[derive(Debug, Display)]
pub enum Error {
    /// can't bind the socket for {0} at {1}: {2}; set another address
    Bind(&'static str, SocketAddr, io::Error),
    /// can't read the socket for {0}: {1}
    Read(&'static str, io::Error),
}

impl std::error::Error for Error {}

/// The sockets of this VM, for receiving.
#[derive(Debug)]
pub struct ReceiveSockets {
    /// Each socket with the kind of datagrams that the socket receives.
    pub sockets: Vec<(Kind, UdpSocket)>,
}

/// Addresses at which the VM listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for packets of the fabric.
    pub fabric: SocketAddr,
    /// Address for requests of callers.
    pub requests: SocketAddr,
    /// Address for messages of other entry VMs.
    pub peers: SocketAddr,
}

/// Binds all sockets.
///
/// # Errors
///
/// Fails with the address that can't be bound.
pub fn bind(addresses: Addresses) -> Result<(ReceiveSockets, SendSockets), Error> {
    // Upstreams answer to a separate, random port, so that a caller who doesn't know the port can't
    // forge an answer.
    let upstreams = SocketAddr::new(addresses.requests.ip(), 0);
    let (fabric_in, fabric) = bind_socket(Kind::Fabric, addresses.fabric)?;
    let (requests_in, requests) = bind_socket(Kind::Requests, addresses.requests)?;
    let (upstreams_in, upstreams) = bind_socket(Kind::Upstreams, upstreams)?;
    let (peers_in, peers) = bind_socket(Kind::Peers, addresses.peers)?;
    let receive_sockets = ReceiveSockets {
        sockets: vec![fabric_in, requests_in, upstreams_in, peers_in],
    };
    let send_sockets = SendSockets {
        fabric,
        requests,
        upstreams,
        peers,
    };
    Ok((receive_sockets, send_sockets))
}

fn bind_socket(
    kind: Kind,
    address: SocketAddr,
) -> Result<((Kind, UdpSocket), std::net::UdpSocket), Error> {
    let fail = |e| Error::Bind(kind.name(), address, e);
    let socket = std::net::UdpSocket::bind(address).map_err(fail)?;
    socket.set_nonblocking(true).map_err(fail)?;
    let send_half = socket.try_clone().map_err(fail)?;
    let receive_half = UdpSocket::from_std(socket).map_err(fail)?;
    Ok(((kind, receive_half), send_half))
}

/// Reads a socket until `token` is cancelled.
///
/// # Errors
///
/// Fails when the socket can't be read any longer.
pub async fn read(
    kind: Kind,
    socket: &UdpSocket,
    engine: &Engine,
    token: CancellationToken,
) -> Result<(), Error> {
    let mut buffer = vec![0; frame::MAX_DATAGRAM];
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            ready = socket.readable() => ready.map_err(|e| Error::Read(kind.name(), e))?,
        }
        read_batch(kind, socket, engine, &mut buffer)?;
        tokio::task::yield_now().await;
    }
}

fn read_batch(
    kind: Kind,
    socket: &UdpSocket,
    engine: &Engine,
    buffer: &mut [u8],
) -> Result<(), Error> {
    for _ in 0..MAX_BATCH_DATAGRAMS {
        match socket.try_recv_from(buffer) {
            Ok((length, from)) => handle_datagram(kind, engine, &buffer[..length], from),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            // The kernel reports on this call that an earlier datagram found no receiver.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(e) => return Err(Error::Read(kind.name(), e)),
        }
    }
    Ok(())
}

/// Decodes a datagram and passes it to the engine. Malformed datagrams are counted and dropped.
fn handle_datagram(kind: Kind, engine: &Engine, bytes: &[u8], from: SocketAddr) {
    let handled = match kind {
        Kind::Fabric => handle_packet(engine, bytes),
        Kind::Requests => handle_request(engine, bytes, from),
        Kind::Upstreams => handle_reply(engine, bytes, from),
        Kind::Peers => handle_message(engine, bytes, from),
    };
    if let Err(reason) = handled {
        counter!("oriole_malformed_total", "socket" => kind.name()).increment(1);
        debug!(
            target: "socket",
            "malformed datagram from {from} to {} dropped: {reason}", kind.name()
        );
    }
}

fn handle_packet(engine: &Engine, bytes: &[u8]) -> Result<(), String> {
    let packet = gue::Packet::parse(bytes).map_err(|e| e.to_string())?;
    engine.handle(Event::Packet(Packet {
        flow: packet.flow,
        segment: packet.segment,
        bytes: Blob::from(bytes.to_vec()),
    }));
    Ok(())
}

fn handle_request(engine: &Engine, bytes: &[u8], caller: SocketAddr) -> Result<(), String> {
    match coap::parse(bytes).map_err(|e| e.to_string())? {
        coap::Received::Request(request) => engine.handle(Event::Request { caller, request }),
        coap::Received::Empty | coap::Received::Reset(_) | coap::Received::Response { .. } => {
            return Err("the CoAP message is not a request".to_owned());
        }
    }
    Ok(())
}

fn handle_reply(engine: &Engine, bytes: &[u8], upstream: SocketAddr) -> Result<(), String> {
    match coap::parse(bytes).map_err(|e| e.to_string())? {
        coap::Received::Response { response, .. } => {
            engine.handle(Event::Reply { upstream, response });
        }
        // An upstream may acknowledge a request before it answers.
        coap::Received::Empty => {}
        coap::Received::Request(_) | coap::Received::Reset(_) => {
            return Err("the CoAP message is not a response".to_owned());
        }
    }
    Ok(())
}

fn handle_message(engine: &Engine, bytes: &[u8], from: SocketAddr) -> Result<(), String> {
    let message = frame::decode(engine.cluster(), bytes).map_err(|e| e.to_string())?;
    counter!("oriole_peer_bytes_received_total").increment(bytes.len() as u64);
    engine.handle(Event::Message { from, message });
    Ok(())
}
