//! Proxy in front of a control VM, for the connections that other daemons open to that VM.
//!
//! Two control VMs use one connection for each direction; an entry VM and a control VM use one that
//! the entry VM opens. So the proxy doesn't affect connections that the control VM itself opens.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    thread,
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Behavior of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    Pass,
    /// Forwards bytes after the given delay.
    Delay(Duration),
    /// Accepts connections and holds all bytes back.
    Silence,
    /// Holds back bytes to the control VM and forwards bytes from the control VM.
    OneWay,
    /// Resets all open and new connections.
    Reset,
}

/// Direction in which bytes are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the control VM.
    ToControl,
    /// From the control VM.
    FromControl,
}

impl Mode {
    fn holds_back(self, direction: Direction) -> bool {
        match self {
            Self::Silence => true,
            Self::OneWay => direction == Direction::ToControl,
            Self::Pass | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Address of the proxy and the matching address of the control VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Address at which the proxy listens and which other daemons connect to.
    pub public_address: SocketAddr,
    /// Address at which the control VM listens.
    pub bound_address: SocketAddr,
}

/// A running proxy. Dropping the proxy stops it.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<Mode>,
    token: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy for all `routes` to one control VM.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is in use or the runtime can't be started.
    pub fn start(routes: impl IntoIterator<Item = Route>) -> io::Result<Self> {
        let listen = |route: Route| {
            let listener = StdListener::bind(route.public_address)?;
            listener.set_nonblocking(true)?;
            Ok((listener, route.bound_address))
        };
        let listeners: Vec<_> = routes.into_iter().map(listen).collect::<io::Result<_>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (mode, mode_receiver) = watch::channel(Mode::Pass);
        let token = CancellationToken::new();
        let stopped = token.clone();
        let run_proxies = async move {
            for (listener, target) in listeners {
                match TcpListener::from_std(listener) {
                    Ok(listener) => drop(tokio::spawn(accept_connections(
                        listener,
                        target,
                        mode_receiver.clone(),
                    ))),
                    Err(error) => println!(
                        "proxy to control VM at {target} cannot listen: {error}; this address stays unreachable"
                    ),
                }
            }
            stopped.cancelled().await;
        };
        Ok(Self {
            mode,
            token,
            thread: Some(thread::spawn(move || runtime.block_on(run_proxies))),
        })
    }

    /// Sets the mode, for open and new connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has already printed the panic.
            drop(thread.join());
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
) {
    loop {
        // A connection that was reset before `accept` is ignored.
        if let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward_connection(client, target, mode.clone()));
        }
    }
}

/// Forwards the bytes of one connection until either end closes the connection or the mode becomes
/// `Reset`.
async fn forward_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    wait_until_released(&mut mode, Direction::ToControl).await;
    if *mode.borrow() == Mode::Reset {
        return reset_on_close(&client);
    }
    // If the control VM is down, the connection of the other daemon is reset.
    let Ok(mut control) = TcpStream::connect(target).await else {
        return reset_on_close(&client);
    };
    let is_reset = {
        let (client_read, client_write) = client.split();
        let (control_read, control_write) = control.split();
        tokio::select! {
            () = forward_bytes(client_read, control_write, mode.clone(), Direction::ToControl) => false,
            () = forward_bytes(control_read, client_write, mode.clone(), Direction::FromControl) => false,
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => true,
        }
    };
    if is_reset {
        reset_on_close(&client);
        reset_on_close(&control);
    }
}

/// Makes the close of `stream` send a reset.
fn reset_on_close(stream: &TcpStream) {
    // An error means that the peer has already closed the connection.
    drop(stream.set_zero_linger());
}

async fn forward_bytes(
    mut from: impl AsyncRead + Unpin,
    mut target: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        wait_until_released(&mut mode, direction).await;
        let now = *mode.borrow();
        if let Mode::Delay(wait) = now {
            sleep(wait).await;
        }
        if target.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits while the mode holds back bytes in `direction`.
async fn wait_until_released(mode: &mut watch::Receiver<Mode>, direction: Direction) {
    // An error means that the sender was dropped and the run is over.
    drop(mode.wait_for(|mode| !mode.holds_back(direction)).await);
}
