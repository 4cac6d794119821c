//! The entry VMs that are live as far as this VM knows, and who among them is responsible.
//!
//! Responsibility is by rendezvous hashing: each VM ranks the live VMs by a hash of key and VM,
//! and the first is responsible. When one VM leaves or joins, the first two of the old order and
//! the first two of the new one share at least one VM, which is what home and backup rely on.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{
    key::{hash, mix},
    name::Name,
};
use serde::{Deserialize, Serialize};

/// Seed of the hash that places VMs.
const VM_SEED: u64 = 0x6f72_696f_6c65_766d;

/// Seed of the hash of a service and a failure domain, for the choice of its steward.
const STEWARD_SEED: u64 = 0x7374_6577_6172_6400;

/// A live entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes datagrams of other entry VMs.
    pub address: SocketAddr,
    /// Whether it announced that it stops: it takes no new responsibility, but still forwards.
    pub leaving: bool,
    /// Hash of its name. Invariant: the same on every VM.
    seed: u64,
}

impl Vm {
    /// Makes a VM.
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

/// The live entry VMs, this one included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// This VM's name. Invariant: `vms` holds it.
    pub me: Name,
    /// Live VMs by name.
    pub vms: BTreeMap<Name, Vm>,
    /// Failure domains that operators have taken out; their VMs are responsible for nothing.
    pub out: BTreeSet<Name>,
    /// Grows with each change of the view on this VM.
    pub number: u64,
}

impl View {
    /// A view with this VM alone.
    #[must_use]
    pub fn new(me: Vm) -> Self {
        Self {
            me: me.name.clone(),
            vms: BTreeMap::from([(me.name.clone(), me)]),
            out: BTreeSet::new(),
            number: 1,
        }
    }

    /// Whether `vm` is this VM.
    #[must_use]
    pub fn is_me(&self, vm: &Vm) -> bool {
        vm.name == self.me
    }

    /// The VM with this name, if it is live.
    #[must_use]
    pub fn get(&self, name: &Name) -> Option<&Vm> {
        self.vms.get(name)
    }

    /// Every live VM but this one.
    pub fn others(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(|vm| !self.is_me(vm))
    }

    /// Whether any VM of the failure domain is live, so that its upstreams can be reached.
    #[must_use]
    pub fn has_live_vm_in(&self, domain: &Name) -> bool {
        self.vms.values().any(|vm| vm.domain == *domain)
    }

    /// Home of a key: the first in the rendezvous order.
    #[must_use]
    pub fn home(&self, key: u64) -> Option<&Vm> {
        self.top(key, |_| true)
    }

    /// Backup of a key: the next in the rendezvous order that is in another failure domain than
    /// the home; where all are in one, the next.
    #[must_use]
    pub fn backup(&self, key: u64) -> Option<&Vm> {
        let home = self.home(key)?;
        let elsewhere = self.top(key, |vm| vm.domain != home.domain);
        elsewhere.or_else(|| self.top(key, |vm| vm.name != home.name))
    }

    /// Steward of a service's upstreams in a failure domain: a VM of that domain.
    #[must_use]
    pub fn dispatcher(&self, service: &Name, domain: &Name) -> Option<&Vm> {
        let key = hash(STEWARD_SEED, service.as_str().as_bytes());
        self.top(key, |vm| vm.domain == *domain)
    }

    /// The first responsible VM in the rendezvous order that `pick` takes. Leaving VMs and VMs of
    /// domains that were taken out count only where no other is left.
    fn top(&self, key: u64, pick: impl Fn(&Vm) -> bool) -> Option<&Vm> {
        let rank = |vm: &&Vm| {
            let stays = !vm.leaving && !self.out.contains(&vm.domain);
            (stays, mix(key, vm.seed))
        };
        self.vms.values().filter(|vm| pick(vm)).max_by_key(rank)
    }
}
