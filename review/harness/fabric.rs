//! A stand-in for the provider's routers and for clients whose packets go through them.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{http, record::Record, system::Net};

/// Interval of `GET /api/readyz`, and the number of misses after which a node is out of rotation.
const POLL_MS: u64 = 500;
const MAX_MISSES: u32 = 2;

pub struct Fabric {
    rotation: Arc<Mutex<Vec<SocketAddr>>>,
    is_alive: Arc<AtomicBool>,
}

impl Fabric {
    /// Starts to poll the edge machines `edges`, of which some may not have been started yet.
    pub fn start(net: Net, edges: Vec<u8>, record: Record) -> Self {
        let rotation: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let is_alive = Arc::new(AtomicBool::new(true));
        for edge in edges {
            let (rotation, alive, record) = (rotation.clone(), is_alive.clone(), record.clone());
            thread::spawn(move || {
                let mut misses = MAX_MISSES;
                while alive.load(Ordering::SeqCst) {
                    // `deploy/wire.toml` maps the call to `GET /health`.
                    let answer = http::call(net.ready(edge), "GET", "/health", "", POLL_MS);
                    misses = match answer {
                        Ok((200, _)) => 0,
                        _ => misses + 1,
                    };
                    let is_in = misses < MAX_MISSES;
                    let mut all = rotation.lock().unwrap();
                    let at = net.edge(edge);
                    if is_in != all.contains(&at) {
                        if is_in {
                            all.push(at);
                        } else {
                            all.retain(|other| *other != at);
                        }
                        all.sort_unstable();
                        record.line(&format!("edge-{edge} in rotation: {is_in}; nodes: {}", all.len()));
                    }
                    drop(all);
                    thread::sleep(Duration::from_millis(POLL_MS));
                }
            });
        }
        Self { rotation, is_alive }
    }

    /// Returns the number of nodes in rotation.
    pub fn nodes(&self) -> usize {
        self.rotation.lock().unwrap().len()
    }

    /// Returns the node for packets from `src` to `dst`: a hash of the four addresses and ports over the
    /// nodes in rotation (`hashFunction` "mod").
    pub fn node(&self, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddr> {
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for end in [src, dst] {
            for byte in end.ip().octets().into_iter().chain(end.port().to_be_bytes()) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        let rotation = self.rotation.lock().unwrap();
        let count = rotation.len() as u64;
        (count > 0).then(|| rotation[((hash >> 20) % count) as usize])
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.is_alive.store(false, Ordering::SeqCst);
    }
}
