//! The table of one generation: which upstream the new flows of each bucket go to.
//!
//! Each bucket ranks the upstreams by weighted rendezvous hashing, and no upstream takes more
//! buckets than its weighted share, rounded up. Buckets and upstreams are matched by deferred
//! acceptance: a bucket asks the upstreams in its order, and a full upstream keeps the buckets
//! that rank it best. The result does not depend on the order of the work, so that each VM
//! derives the same table, and a change of weights moves little more than it must.
//!
//! All arithmetic is on integers: floating-point logarithms differ between C libraries, and two
//! VMs that derive different tables would break flows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use model::{
    key::{hash, mix},
    name::Name,
};

/// Buckets of a service with at most [`SMALL_UPSTREAMS`] upstreams.
const SMALL_BUCKETS: usize = 2_048;

/// Most upstreams of a service for which [`SMALL_BUCKETS`] are enough.
const SMALL_UPSTREAMS: usize = 128;

/// Buckets of a larger service.
const LARGE_BUCKETS: usize = 16_384;

/// Seed of the hash of an upstream's name.
const UPSTREAM_SEED: u64 = 0x7570_7374_7265_616d;

/// Seed of the hash of a bucket's number.
const BUCKET_SEED: u64 = 0x6275_636b_6574_0000;

/// Fraction bits of [`negative_log2`].
const LOG_BITS: u32 = 20;

/// Buckets of the table of a service with this many upstreams.
///
/// The number is the same for nearly all services, since a change of it moves most buckets.
#[must_use]
pub fn bucket_count(upstreams: usize) -> usize {
    if upstreams <= SMALL_UPSTREAMS {
        SMALL_BUCKETS
    } else {
        LARGE_BUCKETS
    }
}

/// The choice of each bucket in one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// Upstreams in the order of their names.
    upstreams: Vec<Name>,
    /// Position in `upstreams` by bucket. Invariant: the length is a power of two, or 0 where
    /// there is no upstream.
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

    /// Number of buckets; 0 where there is no upstream.
    #[must_use]
    pub fn len(&self) -> usize {
        self.choices.len()
    }

    /// Whether there is no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// The upstream that flows with this fingerprint are opened on.
    #[must_use]
    pub fn choice(&self, fingerprint: u64) -> Option<&Name> {
        let position = self.choices.get(bucket(fingerprint, self.choices.len()))?;
        self.upstreams.get(usize::from(*position))
    }
}

/// Bucket of a fingerprint among `buckets`, a power of two; 0 where there is none.
///
/// The buckets of a small table are the residues of those of a large one.
#[must_use]
pub fn bucket(fingerprint: u64, buckets: usize) -> usize {
    let mask = buckets.saturating_sub(1);
    usize::try_from(fingerprint & u64::try_from(mask).unwrap_or(0)).unwrap_or(0)
}

/// The upstreams in the rendezvous order of one flow, best first.
#[must_use]
pub fn rendezvous_order(weights: &BTreeMap<Name, u32>, fingerprint: u64) -> Vec<&Name> {
    let mut ranked: Vec<(u64, &Name)> = weights
        .iter()
        .map(|(name, weight)| (cost(fingerprint, name_seed(name), *weight), name))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// The plain weighted rendezvous choice of a bucket, without bounds; the bench compares with it.
#[must_use]
pub fn unbounded_choice(weights: &BTreeMap<Name, u32>, bucket: usize) -> Option<&Name> {
    rendezvous_order(weights, bucket_key(bucket))
        .first()
        .copied()
}

/// Deferred acceptance between buckets and upstreams.
struct Matching {
    /// Upstream positions in the order of each bucket, best first, with the cost.
    preferences: Vec<Vec<(u64, u16)>>,
    /// How many upstreams each bucket has asked.
    proposals: Vec<usize>,
    /// Buckets that each upstream holds, the worst one last.
    accepted: Vec<BTreeSet<(u64, usize)>>,
    /// Most buckets that each upstream takes.
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

    /// Lets a bucket ask the next upstream in its order; returns the bucket that is left over.
    ///
    /// The bounds add up to at least the number of buckets, so that no bucket is refused by all.
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

/// Cost of a candidate for a key; the least one wins, with a chance in proportion to the weight.
fn cost(key: u64, seed: u64, weight: u32) -> u64 {
    let log = u128::from(negative_log2(mix(key, seed)));
    u64::try_from((log << 32) / u128::from(weight.max(1))).unwrap_or(u64::MAX)
}

/// `-log2((x + 1) / 2^64)` with [`LOG_BITS`] fraction bits.
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

/// How many buckets of `before` have another choice in `after`; the tables have one length.
#[must_use]
pub fn count_moved_buckets(before: &Table, after: &Table) -> usize {
    let keys = (0..before.len()).map(|b| u64::try_from(b).unwrap_or(0));
    keys.filter(|key| before.choice(*key) != after.choice(*key))
        .count()
}

/// Buckets of each upstream, the fullest first.
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
