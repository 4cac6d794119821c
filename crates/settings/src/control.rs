//! Settings of a control VM.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use model::name::Name;
use serde::Serialize;

use crate::{Fault, Fields, Load, fields::check_distinct, log::Level};

/// Settings of a control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// Name of this VM, unique in the cluster.
    pub name: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Folder that holds all files of this process.
    pub data_folder: PathBuf,
    /// Listen address for calls of operators: TCP, gRPC.
    pub rpc_listen: SocketAddr,
    /// Listen address for streams of entry VMs: TCP, HTTP/2.
    pub delivery_listen: SocketAddr,
    /// Listen address for streams of other control VMs: TCP, HTTP/2.
    pub peer_listen: SocketAddr,
    /// Listen address for metrics, health and the state dump: TCP, HTTP.
    pub http_listen: SocketAddr,
    /// Control VMs that found the cluster, with their `peer_listen`. Once the cluster is founded,
    /// the replicated membership decides, and this map is used only to find the cluster.
    pub replicas: BTreeMap<Name, SocketAddr>,
    /// Whether this VM may take part in founding the cluster. False on a VM that replaces another
    /// VM: its disk is empty although the cluster already exists.
    pub found: bool,
    /// The `delivery_listen` of all control VMs, at which control VMs tell each other which entry
    /// VMs are live. The list may contain the address of this VM.
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
        "data_folder",
        "rpc_listen",
        "delivery_listen",
        "peer_listen",
        "http_listen",
        "replicas",
        "found",
        "controls",
        "log",
        "seed",
    ];

    fn read(fields: &mut Fields) -> Result<Self, Fault> {
        let replicas_advice = "map each control VM's name to its `peer_listen`";
        let controls_advice = "list IP address and port of each control VM's `delivery_listen`";
        Ok(Self {
            name: fields.required("name", "give this VM a name of a-z, 0-9 and inner '-'")?,
            domain: fields.required("domain", "name the failure domain of this VM")?,
            data_folder: fields.required("data_folder", "name a folder on this VM's disk")?,
            rpc_listen: fields.listen("rpc_listen")?,
            delivery_listen: fields.listen("delivery_listen")?,
            peer_listen: fields.listen("peer_listen")?,
            http_listen: fields.listen("http_listen")?,
            replicas: fields.required("replicas", replicas_advice)?,
            found: fields
                .optional("found", "write true or false")?
                .unwrap_or(true),
            controls: fields
                .optional("controls", controls_advice)?
                .unwrap_or_default(),
            log: fields.log()?,
            seed: fields.optional("seed", "write a whole number, or remove the key")?,
        })
    }

    fn check(&self) -> Result<(), Fault> {
        check_distinct(&[
            ("rpc_listen", self.rpc_listen),
            ("delivery_listen", self.delivery_listen),
            ("peer_listen", self.peer_listen),
            ("http_listen", self.http_listen),
        ])?;
        self.check_replicas()?;
        check_writable(&self.data_folder)
    }
}

impl Settings {
    /// Checks that addresses are unique and that the address of this VM is its `peer_listen`.
    fn check_replicas(&self) -> Result<(), Fault> {
        if self.replicas.is_empty() {
            let advice = "map each control VM's name to its `peer_listen`";
            return Err(Fault::new("replicas", "{}", "the map is empty", advice));
        }
        let mut seen: BTreeMap<SocketAddr, &Name> = BTreeMap::new();
        for (name, address) in &self.replicas {
            if let Some(other) = seen.insert(*address, name) {
                let reason = format!("{other} and {name} share the address");
                let advice = "give each control VM its own address";
                return Err(Fault::new("replicas", address.to_string(), reason, advice));
            }
        }
        let own = self.replicas.get(&self.name);
        if let Some(own) = own.filter(|own| **own != self.peer_listen) {
            let reason = format!(
                "`replicas` has address {own} for {}, but `peer_listen` differs",
                self.name
            );
            let advice = "make the two addresses equal";
            return Err(Fault::new(
                "peer_listen",
                self.peer_listen.to_string(),
                reason,
                advice,
            ));
        }
        Ok(())
    }
}

/// Checks that this process can write a file into `folder`; creates a missing folder.
fn check_writable(folder: &Path) -> Result<(), Fault> {
    let fault = |e: std::io::Error| {
        let advice = "create the folder on this VM's disk and let this process write to it";
        let reason = format!("the folder can't be written: {e}");
        Fault::new("data_folder", folder.display().to_string(), reason, advice)
    };
    fs::create_dir_all(folder).map_err(fault)?;
    let probe = folder.join(format!(".probe-{}", std::process::id()));
    fs::write(&probe, b"probe").map_err(fault)?;
    fs::remove_file(&probe).map_err(fault)
}
