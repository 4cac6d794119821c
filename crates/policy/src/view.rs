//! The membership view: the entry VMs that this VM considers live, and which of them is
//! responsible for a key.
//!
//! Responsibility follows rendezvous hashing: each VM ranks the live VMs by a hash of key and VM,
//! and the first is responsible. When one VM leaves or joins, the first two VMs of the old order
//! and the first two of the new order share at least one VM. Primary and backup rely on that.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    key::{hash, mix},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Seed of the hash of a VM's name.
const VM_SEED: u64 = 0x6f72_696f_6c65_766d;

/// Seed of the hash of a service's name, by which a failure domain's dispatcher is chosen.
const DISPATCHER_SEED: u64 = 0x7374_6577_6172_6400;

/// A live entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address on which the VM receives datagrams of other entry VMs.
    pub address: SocketAddr,
    /// Whether the VM announced that it is shutting down. A leaving VM gets no new responsibility,
    /// but still forwards.
    pub leaving: bool,
    /// Hash of the VM's name. Invariant: the same on every VM.
    seed: u64,
}

impl Vm {
    /// Creates a VM that is not leaving.
    #[must_use]
    pub fn new(name: Name, domain: Name, address: SocketAddr) -> Self {
        let seed = hash(VM_SEED, name.as_str().as_bytes());
        Self {
            name,
            domain,
            address,
            leaving: false,
            seed,
        }
    }
}

/// The live entry VMs, including this VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Name of this VM. Invariant: a key of `vms`.
    pub me: Name,
    /// Live VMs by name.
    pub vms: BTreeMap<Name, Vm>,
    /// Failure domains that operators have taken out. Their VMs are responsible for a key only if
    /// no other VM can be.
    pub out: BTreeSet<Name>,
    /// Version of the view, which grows with each change on this VM.
    pub number: u64,
}

impl View {
    /// Creates a view that contains only this VM.
    #[must_use]
    pub fn new(me: Vm) -> Self {
        Self {
            me: me.name.clone(),
            vms: BTreeMap::from([(me.name.clone(), me)]),
            out: BTreeSet::new(),
            number: 1,
        }
    }

    /// Reports whether `vm` is this VM.
    #[must_use]
    pub fn is_me(&self, vm: &Vm) -> bool {
        vm.name == self.me
    }

    /// Returns the VM with this name, if it is live.
    #[must_use]
    pub fn get(&self, name: &Name) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// Returns every live VM except this VM.
    pub fn others(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| !self.is_me(vm))
    }

    /// Reports whether any VM of the failure domain is live, so that the domain's upstreams can be
    /// reached.
    #[must_use]
    pub fn has_live_vm_in(&self, domain: &Name) -> bool {
        self.vms.values().any(|vm| vm.domain == *domain)
    }

    /// Returns the primary of a key: the first VM in the rendezvous order.
    #[must_use]
    pub fn primary(&self, key: u64) -> Option<&Vm> {
        self.first_ranked(key, |_| true)
    }

    /// Returns the backup of a key: the next VM in the rendezvous order that is in another failure
    /// domain than the primary, or the next VM if all VMs are in one domain.
    #[must_use]
    pub fn backup(&self, key: u64) -> Option<&Vm> {
        let primary = self.primary(key)?;
        let elsewhere = self.first_ranked(key, |vm| vm.domain != primary.domain);
        elsewhere.or_else(|| self.first_ranked(key, |vm| vm.name != primary.name))
    }

    /// Returns the dispatcher of a service's upstreams in a failure domain: a VM of that domain.
    #[must_use]
    pub fn dispatcher(&self, service: &Name, domain: &Name) -> Option<&Vm> {
        let key = hash(DISPATCHER_SEED, service.as_str().as_bytes());
        self.first_ranked(key, |vm| vm.domain == *domain)
    }

    /// Returns the first VM in the rendezvous order that `include` accepts. Leaving VMs and VMs of
    /// domains that were taken out rank behind all other VMs.
    fn first_ranked(&self, key: u64, include: impl Fn(&Vm) -> bool) -> Option<&Vm> {
        let rank = |vm: &&Vm| {
            let is_preferred = !vm.leaving && !self.out.contains(&vm.domain);
            (is_preferred, mix(key, vm.seed))
        };
        self.vms.values().filter(|vm| include(vm)).max_by_key(rank)
    }
}
