//! Proxy in front of an upstream, for packets and connections to the upstream. Packets from the
//! upstream bypass the proxy.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two checks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Behavior of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all packets and accepts connections.
    Pass,
    /// Forwards packets after the given delay and accepts connections.
    Delay(Duration),
    /// Drops packets and accepts connections.
    Silence,
    /// Drops packets and refuses connections.
    Refuse,
}

/// A running proxy. Dropping the proxy stops it.
#[derive(Debug)]
pub struct Proxy {
    mode: Arc<Mutex<Mode>>,
    is_stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy at `address` that forwards to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (packets_mode, packets_stopped) = (Arc::clone(&mode), Arc::clone(&is_stopped));
        let (connections_mode, connections_stopped) = (Arc::clone(&mode), Arc::clone(&is_stopped));
        let threads = vec![
            thread::spawn(move || {
                forward_packets(&socket, upstream, &packets_mode, &packets_stopped)
            }),
            thread::spawn(move || {
                accept_connections(address, &connections_mode, &connections_stopped)
            }),
        ];
        Ok(Self {
            mode,
            is_stopped,
            threads,
        })
    }

    /// Sets the mode, for all later packets and connections.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A thread that panicked has already printed the panic.
            drop(thread.join());
        }
    }
}

fn current_mode(mode: &Mutex<Mode>) -> Mode {
    *mode.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forward_packets(
    socket: &UdpSocket,
    upstream: SocketAddr,
    mode: &Mutex<Mode>,
    is_stopped: &AtomicBool,
) {
    let mut buffer = [0; 2_048];
    while !is_stopped.load(Ordering::SeqCst) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match current_mode(mode) {
            Mode::Silence | Mode::Refuse => continue,
            Mode::Delay(wait) => thread::sleep(wait),
            Mode::Pass => {}
        }
        // An error means that the upstream has crashed.
        drop(socket.send_to(&buffer[..length], upstream));
    }
}

/// Accepts connections unless the mode is `Refuse`, and closes each one without sending data.
fn accept_connections(address: SocketAddr, mode: &Mutex<Mode>, is_stopped: &AtomicBool) {
    let mut listener = None;
    while !is_stopped.load(Ordering::SeqCst) {
        if current_mode(mode) == Mode::Refuse {
            listener = None;
        } else if listener.is_none() {
            // The address of the previous listener may still be in use; the next pass tries again.
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            let accepted = listener.set_nonblocking(true);
            while accepted.is_ok() && listener.accept().is_ok() {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}
