//! Flows and work at upstreams, summed over the entry VMs that report to this control VM, and the
//! changes that are sent to all connected entry VMs once a second.
//!
//! Soft state, rebuilt from digests. All entry VMs of a failure domain receive the same changes, so
//! that the table remembers what was sent once for each domain, not for each stream. Times are
//! milliseconds since the start of this process.

use std::{collections::BTreeMap, sync::Arc};

use model::{
    name::Name,
    work::{Digest, EXPIRY_MS, Entry, Fault, INTERVAL_MS, check_message},
};

mod group;

pub use group::Round;
use group::{Current, Distance, Group};

/// Maximum number of upstreams in the table.
const MAX_UPSTREAMS: usize = 65_536;

/// Mean number of entries for each entry VM and second, for each upstream with flows, and the bounds of
/// that number, over all control VMs. With 150 upstreams, 22 entries of about 14 bytes and the headers
/// of the messages of three control VMs are 370 bytes a second.
const ENTRY_SHARE: usize = 7;
const MIN_ENTRIES: usize = 22;
const MAX_MEAN_ENTRIES: usize = 40;

/// Smallest mean number of entries of one control VM. When its last reporter has left, entry VMs must
/// still learn that the flows are gone.
const MIN_OWN_ENTRIES: usize = 2;

/// Divisor of the entries for the share that is distributed over all control VMs by the number of their
/// reporters, whatever the failure domain.
const FAR_SHARE: usize = 4;

/// Flows and demand of one entry VM at one upstream.
type Share = (u16, u32);

/// An entry VM that sends digests.
#[derive(Debug)]
struct Reporter {
    /// Stream of the digests; later streams have higher numbers.
    stream: u64,
    domain: Name,
    sequence: u64,
    heard_at_ms: u64,
    /// Whether the shares are left out of the totals, because no digest arrived for some time. The
    /// next digest counts them again: nothing is lost on a stream, so that they are still valid.
    is_expired: bool,
    shares: BTreeMap<u32, Share>,
}

/// Sums for one upstream.
#[derive(Debug, Clone, Default)]
struct Total {
    flows: u64,
    demand_milli: u64,
    /// Number of reporters with flows or demand, by failure domain. Invariant: no number is 0.
    domains: BTreeMap<Name, u32>,
}

impl Total {
    fn add(&mut self, domain: &Name, (flows, demand_milli): Share) {
        self.flows += u64::from(flows);
        self.demand_milli += u64::from(demand_milli);
        *self.domains.entry(domain.clone()).or_default() += 1;
    }

    fn remove(&mut self, domain: &Name, (flows, demand_milli): Share) {
        self.flows = self.flows.saturating_sub(flows.into());
        self.demand_milli = self.demand_milli.saturating_sub(demand_milli.into());
        if let Some(count) = self.domains.get_mut(domain) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.domains.remove(domain);
            }
        }
    }
}

/// Identifies the stream of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    vm: Arc<str>,
    domain: Name,
    stream: u64,
}

/// Effect of a digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Applied {
    /// Number of entries that were applied.
    pub entries: usize,
    /// Number of entries that were refused.
    pub refused: usize,
    /// The last fault, if any.
    pub fault: Option<Fault>,
}

/// Flows and work that the reporting entry VMs have placed.
#[derive(Debug, Default)]
pub struct Table {
    reporters: BTreeMap<Arc<str>, Reporter>,
    totals: BTreeMap<u32, Total>,
    /// What entry VMs know, by their failure domain.
    groups: BTreeMap<Name, Group>,
    /// Number of the last stream; grows with each stream that opens.
    streams: u64,
    /// Number of open streams by failure domain.
    members: BTreeMap<Name, usize>,
    /// Number of the last round; grows by one each second.
    round: u64,
    /// Entries and messages that were refused since the last round, with the last fault.
    refused: usize,
    last_fault: Option<(Arc<str>, Fault)>,
}

impl Table {
    /// Records that the stream of an entry VM has opened.
    pub fn open(&mut self, vm: &Arc<str>, domain: &Name) -> Member {
        self.streams += 1;
        *self.members.entry(domain.clone()).or_default() += 1;
        Member {
            vm: Arc::clone(vm),
            domain: domain.clone(),
            stream: self.streams,
        }
    }

    /// Records that the stream of an entry VM has ended, and removes what it has reported.
    pub fn close(&mut self, member: &Member) {
        if let Some(count) = self.members.get_mut(&member.domain) {
            *count = count.saturating_sub(1);
        }
        let reporter = self.reporters.get(&member.vm);
        if reporter.is_some_and(|r| r.stream == member.stream) {
            self.remove_reporter(&member.vm);
        }
    }

    fn remove_reporter(&mut self, vm: &Arc<str>) {
        if let Some(mut reporter) = self.reporters.remove(vm) {
            leave_out(&mut reporter, &mut self.totals);
        }
    }

    /// Applies a digest. A digest that is out of order, or entries with impossible values, are
    /// refused.
    pub fn apply(&mut self, now_ms: u64, member: &Member, digest: &Digest) -> Applied {
        let applied = self.apply_digest(now_ms, member, digest);
        self.refused += applied.refused;
        if let Some(fault) = applied.fault {
            self.last_fault = Some((Arc::clone(&member.vm), fault));
        }
        applied
    }

    fn apply_digest(&mut self, now_ms: u64, member: &Member, digest: &Digest) -> Applied {
        let known = self.reporters.get(&member.vm);
        let refusal = |fault| Applied {
            entries: 0,
            refused: digest.entries.len().max(1),
            fault: Some(fault),
        };
        let is_outdated = known.is_some_and(|r| r.stream > member.stream);
        let known = known.filter(|r| r.stream == member.stream);
        let previous = known.map_or(0, |r| r.sequence);
        // Changes are of no use without the state that they change.
        let is_unfounded = known.is_none() && digest.sequence != 1;
        if is_outdated || is_unfounded {
            return refusal(Fault::Sequence(digest.sequence, previous));
        }
        if let Err(fault) = check_message(previous, digest.sequence, digest.entries.len()) {
            return refusal(fault);
        }
        if digest.sequence == 1 {
            self.remove_reporter(&member.vm);
        }
        let reporter = self
            .reporters
            .entry(Arc::clone(&member.vm))
            .or_insert_with(|| Reporter {
                stream: member.stream,
                domain: member.domain.clone(),
                sequence: 0,
                heard_at_ms: now_ms,
                is_expired: false,
                shares: BTreeMap::new(),
            });
        if std::mem::take(&mut reporter.is_expired) {
            for (token, share) in &reporter.shares {
                let total = self.totals.entry(*token).or_default();
                total.add(&reporter.domain, *share);
            }
        }
        reporter.sequence = digest.sequence;
        reporter.heard_at_ms = now_ms;
        let mut applied = Applied::default();
        for entry in &digest.entries {
            let is_full =
                self.totals.len() >= MAX_UPSTREAMS && !self.totals.contains_key(&entry.token);
            let checked = match is_full {
                true => Err(Fault::TooLong(MAX_UPSTREAMS)),
                false => entry.check(),
            };
            if let Err(fault) = checked {
                applied.refused += 1;
                applied.fault = Some(fault);
                continue;
            }
            applied.entries += 1;
            let share = (entry.flows, entry.demand_milli);
            let total = self.totals.entry(entry.token).or_default();
            let before = match share {
                (0, 0) => reporter.shares.remove(&entry.token),
                _ => reporter.shares.insert(entry.token, share),
            };
            if let Some(before) = before {
                total.remove(&reporter.domain, before);
            }
            if share != (0, 0) {
                total.add(&reporter.domain, share);
            }
            for group in self.groups.values_mut() {
                group.add_responses(entry);
            }
        }
        applied
    }

    /// Returns the full state for an entry VM in `domain`, and the number of the round that it
    /// includes.
    pub fn full_state(&mut self, now_ms: u64, domain: &Name) -> (Vec<Entry>, u64) {
        let current = current(&self.totals);
        let group = self
            .groups
            .entry(domain.clone())
            .or_insert_with(|| Group::new(now_ms, current));
        (group.full_state(now_ms), self.round)
    }

    /// Removes reporters that have stopped sending digests, and returns the changes for the entry
    /// VMs of each failure domain.
    pub fn next_round(&mut self, now_ms: u64) -> Round {
        self.round += 1;
        let mut expired = 0;
        let is_due = |r: &&mut Reporter| !r.is_expired && now_ms >= r.heard_at_ms + EXPIRY_MS;
        for reporter in self.reporters.values_mut().filter(is_due) {
            leave_out(reporter, &mut self.totals);
            reporter.is_expired = true;
            expired += 1;
        }
        let mean_entries = self.mean_entries();
        let mean_entries = |domain| mean_entries.get(domain).copied().unwrap_or_default();
        let far_round = self.round;
        let mut changes = BTreeMap::new();
        for (domain, group) in &mut self.groups {
            // Values of upstreams that get no flows of the domain matter less to its entry VMs.
            let distance = |token: u32| {
                let total = self.totals.get(&token);
                if total.is_some_and(|t| t.domains.contains_key(domain)) {
                    return Some(Distance::Near);
                }
                let is_due = (far_round + u64::from(token)).is_multiple_of(Round::FAR_PERIOD);
                is_due.then_some(Distance::Far)
            };
            let all = current(&self.totals);
            let entries = group.next_changes(now_ms, all, distance, mean_entries(domain));
            changes.insert(domain.clone(), Arc::from(entries));
        }
        let groups = &self.groups;
        self.totals.retain(|token, total| {
            let is_empty = total.flows == 0 && total.demand_milli == 0;
            !is_empty || groups.values().any(|g| g.knows(*token))
        });
        Round {
            number: self.round,
            reporters: u32::try_from(self.reporters()).unwrap_or(u32::MAX),
            upstreams: self.totals.len(),
            expired,
            refused: std::mem::take(&mut self.refused),
            fault: self.last_fault.take(),
            changes,
        }
    }

    /// Returns the mean number of entries in a message to the entry VMs of each failure domain. All
    /// control VMs together send an entry VM about the same number, however the reporters are
    /// distributed over them; most of it comes from those that the VMs of its domain report to.
    fn mean_entries(&self) -> BTreeMap<Name, usize> {
        let all = (self.totals.len() / ENTRY_SHARE).clamp(MIN_ENTRIES, MAX_MEAN_ENTRIES);
        let members: usize = self.members.values().sum();
        let far = (all * self.reporters()).div_ceil(FAR_SHARE * members.max(1));
        let of_domain = self.members.iter().map(|(domain, members)| {
            let is_counted = |r: &&Reporter| !r.is_expired && r.domain == *domain;
            let reporters = self.reporters.values().filter(is_counted).count();
            let near = all * (FAR_SHARE - 1) * reporters / (FAR_SHARE * (*members).max(1));
            (domain.clone(), (near + far).max(MIN_OWN_ENTRIES))
        });
        of_domain.collect()
    }

    /// Returns the flows at an upstream and their demand in thousandths of a slot.
    #[must_use]
    pub fn total(&self, token: u32) -> (u64, u64) {
        let total = self.totals.get(&token);
        total.map_or((0, 0), |t| (t.flows, t.demand_milli))
    }

    /// Returns the number of entry VMs that report here.
    #[must_use]
    pub fn reporters(&self) -> usize {
        self.reporters.values().filter(|r| !r.is_expired).count()
    }
}

/// Subtracts the shares of a reporter from the totals, unless they are left out already.
fn leave_out(reporter: &mut Reporter, totals: &mut BTreeMap<u32, Total>) {
    if reporter.is_expired {
        return;
    }
    for (token, share) in &reporter.shares {
        if let Some(total) = totals.get_mut(token) {
            total.remove(&reporter.domain, *share);
        }
    }
}

/// Returns the current flows and demand of each upstream.
fn current(totals: &BTreeMap<u32, Total>) -> impl Iterator<Item = (u32, Current)> {
    totals.iter().map(|(token, total)| {
        let flows = u16::try_from(total.flows).unwrap_or(u16::MAX);
        let demand_milli = u32::try_from(total.demand_milli).unwrap_or(u32::MAX);
        let demand_milli = demand_milli.min(model::work::MAX_DEMAND_MILLI);
        (
            *token,
            Current {
                flows,
                demand_milli,
            },
        )
    })
}

/// Interval between two rounds, in milliseconds.
pub const ROUND_MS: u64 = INTERVAL_MS;
