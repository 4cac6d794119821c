//! Settings of an entry VM.

use std::net::SocketAddr;

use model::name::Name;
use serde::Serialize;

use crate::{Fault, Fields, Load, fields::check_distinct, log::Level};

/// What an entry VM is told at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// Name of this VM; no other VM has it.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Where the fabric hands over packets of flows: UDP, GUE.
    pub fabric_listen: SocketAddr,
    /// Where callers' requests arrive: UDP, CoAP.
    pub request_listen: SocketAddr,
    /// Where datagrams of other entry VMs arrive: UDP.
    pub peer_listen: SocketAddr,
    /// Where upstreams announce themselves: TCP, gRPC.
    pub rpc_listen: SocketAddr,
    /// Where metrics, health and the state dump are served: TCP, HTTP.
    pub http_listen: SocketAddr,
    /// Some other entry VMs, to find the rest by. May be empty on the first VM.
    pub peers: Vec<SocketAddr>,
    /// Where control VMs take the streams of entry VMs. Invariant: at least one.
    pub controls: Vec<SocketAddr>,
    /// How much the process logs; the `--log` argument goes before it.
    pub log: Level,
    /// Seed of this process's random choices, for tests; drawn when it is not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
}

impl Load for Settings {
    const KEYS: &'static [&'static str] = &[
        "name",
        "domain",
        "fabric_listen",
        "request_listen",
        "peer_listen",
        "rpc_listen",
        "http_listen",
        "peers",
        "controls",
        "log",
        "seed",
    ];

    fn read(fields: &mut Fields) -> Result<Self, Fault> {
        let name = fields.required("name", "give this VM a name of a-z, 0-9 and inner '-'")?;
        let domain = fields.required("domain", "name the failure domain of this VM")?;
        let advice = "list IP address and port of other entry VMs' `peer_listen`, or []";
        let peers = fields.optional("peers", advice)?.unwrap_or_default();
        let advice = "list IP address and port of each control VM's `delivery_listen`";
        Ok(Self {
            name,
            domain,
            fabric_listen: fields.listen("fabric_listen")?,
            request_listen: fields.listen("request_listen")?,
            peer_listen: fields.listen("peer_listen")?,
            rpc_listen: fields.listen("rpc_listen")?,
            http_listen: fields.listen("http_listen")?,
            peers,
            controls: fields.required("controls", advice)?,
            log: fields.log()?,
            seed: fields.optional("seed", "write a whole number, or leave it out")?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        if self.controls.is_empty() {
            let advice = "list at least one control VM's `delivery_listen`";
            return Err(Fault::new("controls", "[]", "the list is empty", advice));
        }
        check_distinct(&[
            ("fabric_listen", self.fabric_listen),
            ("request_listen", self.request_listen),
            ("peer_listen", self.peer_listen),
        ])?;
        check_distinct(&[
            ("rpc_listen", self.rpc_listen),
            ("http_listen", self.http_listen),
        ])
    }
}
