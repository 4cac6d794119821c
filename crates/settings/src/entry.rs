//! Settings of an entry VM.

use std::net::SocketAddr;

use model::name::Name;
use serde::Serialize;

use crate::{Fault, Fields, Load, fields::check_distinct, log::Level};

/// Settings of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// Name of this VM, unique in the cluster.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Listen address for packets of flows from the fabric: UDP, GUE.
    pub fabric_listen: SocketAddr,
    /// Listen address for requests of callers: UDP, CoAP.
    pub request_listen: SocketAddr,
    /// Listen address for datagrams of other entry VMs: UDP.
    pub peer_listen: SocketAddr,
    /// Listen address for announcements of upstreams: TCP, gRPC.
    pub rpc_listen: SocketAddr,
    /// Listen address for metrics, health and the state dump: TCP, HTTP.
    pub http_listen: SocketAddr,
    /// Addresses of some other entry VMs, from which this VM learns the remaining entry VMs. May be
    /// empty on the first VM.
    pub peers: Vec<SocketAddr>,
    /// Addresses at which control VMs accept streams of entry VMs; at least one.
    pub controls: Vec<SocketAddr>,
    /// Lowest level of the lines that the process logs; the argument `--log` overrides the level.
    pub log: Level,
    /// Seed of the random numbers of this process, for tests; a random seed if absent.
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
            seed: fields.optional("seed", "write a whole number, or remove the key")?,
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
