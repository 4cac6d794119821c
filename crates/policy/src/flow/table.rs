//! The table of one generation, which maps each bucket to the upstream of its new flows.
//!
//! Each bucket ranks the upstreams by weighted rendezvous hashing, and no upstream gets more
//! buckets than its weighted share, rounded up. Buckets and upstreams are matched by deferred
//! acceptance: a bucket proposes to the upstreams in its order of preference, and a full upstream
//! keeps the buckets that rank it best. The result does not depend on the order of the proposals,
//! so each VM derives the same table, and a change of weights moves few more buckets than
//! necessary.
//!
//! All arithmetic uses integers: floating-point logarithms differ between C libraries, and two VMs
//! that derive different tables would break flows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use model::{
    key::{hash, mix},
    name::Name,
};

/// Number of buckets of a service with at most [`SMALL_UPSTREAMS`] upstreams.
const SMALL_BUCKETS: usize = 2_048;

/// Maximum number of upstreams for which [`SMALL_BUCKETS`] suffice.
const SMALL_UPSTREAMS: usize = 128;

/// Number of buckets of a larger service.
const LARGE_BUCKETS: usize = 16_384;

/// Seed for hashing an upstream's name.
const UPSTREAM_SEED: u64 = 0x7570_7374_7265_616d;

/// Seed for hashing a bucket's number.
const BUCKET_SEED: u64 = 0x6275_636b_6574_0000;

/// Number of fraction bits in the result of [`negative_log2`].
const LOG_BITS: u32 = 20;

/// Returns the number of buckets in the table of a service with this many upstreams.
///
/// Nearly all services get the same number, since a change of the number moves most buckets.
#[must_use]
pub fn bucket_count(upstreams: usize) -> usize {
    if upstreams <= SMALL_UPSTREAMS {
        SMALL_BUCKETS
    } else {
        LARGE_BUCKETS
    }
}

/// The upstream of each bucket in one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// Upstreams in the order of their names.
    upstreams: Vec<Name>,
    /// Position in `upstreams` by bucket. Invariant: the length is a power of two, or 0 without
    /// upstreams.
    choices: Vec<u16>,
}

impl Table {
    /// Derives the table from the weights of a generation.
    #[must_use]
    pub fn new(weights: &BTreeMap<Name, u32>) -> Self {
        let upstreams: Vec<Name> = weights.keys().cloned().collect();
        if upstreams.is_empty() {
            return Self {
                upstreams,
                choices: Vec::new(),
            };
        }
        let buckets = bucket_count(upstreams.len());
        let choices = Matching::new(weights, buckets).run();
        Self { upstreams, choices }
    }

    /// Returns the number of buckets, which is 0 without upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.choices.len()
    }

    /// Reports whether the table has no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// Returns the upstream on which flows with this fingerprint are opened.
    #[must_use]
    pub fn choice(&self, fingerprint: u64) -> Option<&Name> {
        let position = self.choices.get(bucket(fingerprint, self.choices.len()))?;
        self.upstreams.get(usize::from(*position))
    }
}

/// Returns the bucket of a fingerprint among `buckets`, which is a power of two or 0.
///
/// The bucket in a small table is the residue of the bucket in a large table.
#[must_use]
pub fn bucket(fingerprint: u64, buckets: usize) -> usize {
    let mask = buckets.saturating_sub(1);
    usize::try_from(fingerprint & u64::try_from(mask).unwrap_or(0)).unwrap_or(0)
}

/// Returns the upstreams in the rendezvous order of one flow, best first.
#[must_use]
pub fn rendezvous_order(weights: &BTreeMap<Name, u32>, fingerprint: u64) -> Vec<&Name> {
    let mut ranked: Vec<(u64, &Name)> = weights
        .iter()
        .map(|(name, weight)| (cost(fingerprint, name_seed(name), *weight), name))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the weighted rendezvous choice of a bucket without capacities, for comparison in the
/// benchmark.
#[must_use]
pub fn unbounded_choice(weights: &BTreeMap<Name, u32>, bucket: usize) -> Option<&Name> {
    rendezvous_order(weights, bucket_key(bucket))
        .first()
        .copied()
}

/// Deferred acceptance between buckets and upstreams.
struct Matching {
    /// Positions of upstreams with their costs in each bucket's order of preference, best first.
    preferences: Vec<Vec<(u64, u16)>>,
    /// Number of upstreams to which each bucket has proposed.
    proposals: Vec<usize>,
    /// Buckets that each upstream has accepted, the worst last.
    accepted: Vec<BTreeSet<(u64, usize)>>,
    /// Maximum number of buckets of each upstream.
    capacities: Vec<usize>,
}

impl Matching {
    fn new(weights: &BTreeMap<Name, u32>, buckets: usize) -> Self {
        let seeds: Vec<(u64, u32)> = weights.iter().map(|(n, w)| (name_seed(n), *w)).collect();
        let total: u64 = weights.values().map(|w| u64::from(*w)).sum();
        let capacity = |weight: u32| {
            let wide = u128::from(weight) * u128::try_from(buckets).unwrap_or(0);
            usize::try_from(wide.div_ceil(u128::from(total.max(1)))).unwrap_or(buckets)
        };
        Self {
            preferences: (0..buckets).map(|b| rank_upstreams(&seeds, b)).collect(),
            proposals: vec![0; buckets],
            accepted: vec![BTreeSet::new(); seeds.len()],
            capacities: seeds.iter().map(|(_, weight)| capacity(*weight)).collect(),
        }
    }

    fn run(mut self) -> Vec<u16> {
        let buckets = self.preferences.len();
        for first in 0..buckets {
            let mut unplaced = Some(first);
            while let Some(bucket) = unplaced {
                unplaced = self.propose_next(bucket);
            }
        }
        let mut choices = vec![0; buckets];
        for (position, accepted) in self.accepted.iter().enumerate() {
            for (_, bucket) in accepted {
                choices[*bucket] = u16::try_from(position).unwrap_or(0);
            }
        }
        choices
    }

    /// Lets a bucket propose to the next upstream in its order. Returns the bucket that remains
    /// without an upstream.
    ///
    /// The capacities add up to at least the number of buckets, so no bucket is rejected by all
    /// upstreams.
    fn propose_next(&mut self, bucket: usize) -> Option<usize> {
        let (cost, position) = *self.preferences[bucket].get(self.proposals[bucket])?;
        self.proposals[bucket] += 1;
        let position = usize::from(position);
        let accepted = &mut self.accepted[position];
        accepted.insert((cost, bucket));
        if accepted.len() <= self.capacities[position] {
            return None;
        }
        accepted.pop_last().map(|(_, bucket)| bucket)
    }
}

fn rank_upstreams(seeds: &[(u64, u32)], bucket: usize) -> Vec<(u64, u16)> {
    let key = bucket_key(bucket);
    let mut order: Vec<(u64, u16)> = seeds
        .iter()
        .enumerate()
        .map(|(i, (seed, weight))| (cost(key, *seed, *weight), u16::try_from(i).unwrap_or(0)))
        .collect();
    order.sort_unstable();
    order
}

fn bucket_key(bucket: usize) -> u64 {
    mix(BUCKET_SEED, u64::try_from(bucket).unwrap_or(0))
}

fn name_seed(name: &Name) -> u64 {
    hash(UPSTREAM_SEED, name.as_str().as_bytes())
}

/// Returns the cost of a candidate for a key. The lowest cost wins, with a probability proportional
/// to the weight.
fn cost(key: u64, seed: u64, weight: u32) -> u64 {
    let log = u128::from(negative_log2(mix(key, seed)));
    u64::try_from((log << 32) / u128::from(weight.max(1))).unwrap_or(u64::MAX)
}

/// Returns `-log2((x + 1) / 2^64)` with [`LOG_BITS`] fraction bits.
fn negative_log2(x: u64) -> u64 {
    let x = x | 1;
    let zeros = x.leading_zeros();
    // The mantissa is in [1, 2), with 63 fraction bits.
    let mut mantissa = x << zeros;
    let mut fraction = 0_u64;
    for _ in 0..LOG_BITS {
        let square = (u128::from(mantissa) * u128::from(mantissa)) >> 63;
        fraction <<= 1;
        if square >> 64 == 0 {
            mantissa = u64::try_from(square).unwrap_or(u64::MAX);
        } else {
            fraction |= 1;
            mantissa = u64::try_from(square >> 1).unwrap_or(u64::MAX);
        }
    }
    let whole = u64::from(zeros) + 1;
    (whole << LOG_BITS) - fraction
}

/// Returns how many buckets have different choices in two tables of the same length.
#[must_use]
pub fn count_moved_buckets(before: &Table, after: &Table) -> usize {
    let keys = (0..before.len()).map(|b| u64::try_from(b).unwrap_or(0));
    keys.filter(|key| before.choice(*key) != after.choice(*key))
        .count()
}

/// Returns the number of buckets of each upstream, largest first.
#[must_use]
pub fn buckets_by_upstream(table: &Table) -> Vec<(Name, usize)> {
    let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
    for position in &table.choices {
        if let Some(name) = table.upstreams.get(usize::from(*position)) {
            *counts.entry(name).or_default() += 1;
        }
    }
    let mut shares: Vec<(Name, usize)> = counts.into_iter().map(|(n, c)| (n.clone(), c)).collect();
    shares.sort_by_key(|(_, count)| Reverse(*count));
    shares
}
