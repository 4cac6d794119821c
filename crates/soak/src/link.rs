//! A proxy before a control VM: the connections that other daemons open to it.
//!
//! Each pair of daemons uses one connection a direction, or one that the entry VM opens, so what
//! the proxy does to one control VM's connections leaves those that it opens itself alone.

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

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;

/// What the proxy does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes bytes on after a while.
    Delay(Duration),
    /// Holds all bytes back, and accepts connections.
    Silence,
    /// Holds back what is sent to the control VM; what it answers arrives.
    OneWay,
    /// Resets all connections, new ones as well.
    Reset,
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// To the control VM.
    Towards,
    /// From the control VM.
    Back,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Silence => true,
            Self::OneWay => way == Way::Towards,
            Self::Pass | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Where connections arrive, and where the control VM takes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Address that the others know.
    pub reached: SocketAddr,
    /// Address that the control VM has bound.
    pub bound: SocketAddr,
}

/// A proxy; dropping it ends it.
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
    /// Fails when an address is taken, or the runtime can't be started.
    pub fn start(routes: impl IntoIterator<Item = Route>) -> io::Result<Self> {
        let listen = |route: Route| {
            let listener = StdListener::bind(route.reached)?;
            listener.set_nonblocking(true)?;
            Ok((listener, route.bound))
        };
        let listeners: Vec<_> = routes.into_iter().map(listen).collect::<io::Result<_>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (mode, seen) = watch::channel(Mode::Pass);
        let token = CancellationToken::new();
        let until = token.clone();
        let serve_all = async move {
            for (listener, to) in listeners {
                match TcpListener::from_std(listener) {
                    Ok(listener) => drop(tokio::spawn(serve(listener, to, seen.clone()))),
                    Err(error) => println!("link to {to}: {error}"),
                }
            }
            until.cancelled().await;
        };
        Ok(Self {
            mode,
            token,
            thread: Some(thread::spawn(move || runtime.block_on(serve_all))),
        })
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.token.cancel();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has said so.
            drop(thread.join());
        }
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, mode: watch::Receiver<Mode>) {
    loop {
        // One that was reset before it was accepted is none.
        if let Ok((near, _)) = listener.accept().await {
            tokio::spawn(carry(near, to, mode.clone()));
        }
    }
}

/// Carries the bytes of one connection until either end closes it or it is reset.
async fn carry(mut near: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    until_passed(&mut mode, Way::Towards).await;
    if *mode.borrow() == Mode::Reset {
        return abort(&near);
    }
    // Without a far end, as while the control VM is down, the near one is reset.
    let Ok(mut far) = TcpStream::connect(to).await else {
        return abort(&near);
    };
    let is_reset = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        tokio::select! {
            () = copy(near_in, far_out, mode.clone(), Way::Towards) => false,
            () = copy(far_in, near_out, mode.clone(), Way::Back) => false,
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => true,
        }
    };
    if is_reset {
        abort(&near);
        abort(&far);
    }
}

/// Lets the end of `stream` be a reset.
fn abort(stream: &TcpStream) {
    // One that the other end has closed is over anyway.
    drop(stream.set_zero_linger());
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<Mode>,
    way: Way,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        until_passed(&mut mode, way).await;
        let now = *mode.borrow();
        if let Mode::Delay(wait) = now {
            sleep(wait).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits while bytes in the direction of `way` are held back.
async fn until_passed(mode: &mut watch::Receiver<Mode>, way: Way) {
    // Without a sender the run is over.
    drop(mode.wait_for(|mode| !mode.holds(way)).await);
}
