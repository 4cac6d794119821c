//! A proxy before an upstream: packets and connections, in the direction of the upstream.

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

/// Time between two looks whether the run is over.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What the proxy does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes packets on after a while.
    Delay(Duration),
    /// Loses packets, and accepts connections.
    Silence,
    /// Loses packets, and refuses connections.
    Refuse,
}

/// A proxy; dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    mode: Arc<Mutex<Mode>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy at `address` before `upstream`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(LOOK_EVERY))?;
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let is_over = Arc::new(AtomicBool::new(false));
        let (packets_mode, packets_over) = (Arc::clone(&mode), Arc::clone(&is_over));
        let (calls_mode, calls_over) = (Arc::clone(&mode), Arc::clone(&is_over));
        let threads = vec![
            thread::spawn(move || pass(&socket, upstream, &packets_mode, &packets_over)),
            thread::spawn(move || accept(address, &calls_mode, &calls_over)),
        ];
        Ok(Self {
            mode,
            is_over,
            threads,
        })
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so.
            drop(thread.join());
        }
    }
}

fn mode_of(mode: &Mutex<Mode>) -> Mode {
    *mode.lock().unwrap_or_else(PoisonError::into_inner)
}

fn pass(socket: &UdpSocket, upstream: SocketAddr, mode: &Mutex<Mode>, is_over: &AtomicBool) {
    let mut buffer = [0; 2_048];
    while !is_over.load(Ordering::SeqCst) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match mode_of(mode) {
            Mode::Silence | Mode::Refuse => continue,
            Mode::Delay(wait) => thread::sleep(wait),
            Mode::Pass => {}
        }
        // An upstream that has crashed takes nothing.
        drop(socket.send_to(&buffer[..length], upstream));
    }
}

/// Accepts connections while the mode lets it; nothing is said on them.
fn accept(address: SocketAddr, mode: &Mutex<Mode>, is_over: &AtomicBool) {
    let mut listener = None;
    while !is_over.load(Ordering::SeqCst) {
        if mode_of(mode) == Mode::Refuse {
            listener = None;
        } else if listener.is_none() {
            // The last one's address may still be taken for a moment.
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            let accepted = listener.set_nonblocking(true);
            while accepted.is_ok() && listener.accept().is_ok() {}
        }
        thread::sleep(LOOK_EVERY);
    }
}
