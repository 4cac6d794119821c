//! The link between a server and `control`: a TCP proxy that can be cut for a time.
//!
//! While the link is cut, nothing passes and no new connection comes about. Bytes of a connection
//! that was open before wait, as TCP keeps and repeats them; the first of them are repeated after
//! 200 ms, and then after twice the time before.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

const FIRST_REPEAT: Duration = Duration::from_millis(200);

#[derive(Clone)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    record: Record,
}

impl Link {
    pub fn new(record: Record) -> Self {
        Self {
            is_cut: Arc::default(),
            record,
        }
    }

    pub fn cut(&self) {
        self.record.line("link of the server is cut");
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.record.line("link of the server is whole again");
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Forwards connections to `at` to the control machine at `to`, over this link.
    pub fn forward(&self, at: SocketAddr, to: SocketAddr) -> Result<(), String> {
        let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
        let link = self.clone();
        thread::spawn(move || {
            let mut unopened = Vec::new();
            for near in listener.incoming().flatten() {
                // The opening packet is lost, and the caller gives up before a copy of it arrives.
                if link.is_cut.load(Ordering::SeqCst) {
                    unopened.push(near);
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                link.pump(&near, &far);
                link.pump(&far, &near);
            }
        });
        Ok(())
    }

    fn pump(&self, from: &TcpStream, to: &TcpStream) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let link = self.clone();
        thread::spawn(move || {
            let _ = to.set_nodelay(true);
            let mut buffer = [0; 4096];
            while let Ok(length) = from.read(&mut buffer) {
                link.wait(length);
                if length == 0 {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
                if to.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
        });
    }

    /// Waits until the bytes that were just sent arrive.
    fn wait(&self, length: usize) {
        if !self.is_cut.load(Ordering::SeqCst) {
            return;
        }
        let sent = Instant::now();
        let mut repeat = FIRST_REPEAT;
        let mut next = sent + repeat;
        loop {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            if !self.is_cut.load(Ordering::SeqCst) {
                let late = sent.elapsed().as_millis();
                self.record.line(&format!("{length} bytes arrive {late} ms late"));
                return;
            }
            repeat *= 2;
            next += repeat;
        }
    }
}
