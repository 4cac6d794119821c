//! What this VM has placed at each upstream, and the digest of it.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use model::work::{Digest, Entry, MAX_ENTRIES, Sums};

use crate::{time::Instant, token::cost::HORIZON_MS};

/// Step of the work of requests on short flows, in thousandths of a slot. The work is rounded up or
/// down by a threshold that differs for each VM and upstream, so that the errors of many VMs cancel
/// out.
const WORK_STEP_MILLI: u32 = 50;

/// Change of the demand of open flows from which on it is sent, in thousandths of a slot: about that
/// of one flow with a request every two seconds.
const DEMAND_STEP_MILLI: u32 = 15;

/// Mean number of upstreams in a digest for each known upstream, and the bounds of that number. With
/// 150 upstreams digests have 13 entries of about 13 bytes on average; at the planned 6,500 upstreams
/// 40.
const ENTRY_SHARE: usize = 11;
const MIN_ENTRIES: usize = 12;
const MAX_MEAN_ENTRIES: usize = 40;

/// Number of digests whose entries may be saved up for a burst. When the load jumps, most values change
/// within a second, and a view that lags behind sends flows to upstreams that have filled up since.
const SAVED_DIGESTS: usize = 10;

/// Number of upstreams in a digest that are there only for their responses. If more have responses,
/// this VM reports only a fixed part of its upstreams, whatever the responses were. If it reported the
/// slowest, the sum over the VMs would be too slow.
const RESPONSE_ENTRIES: usize = 8;

/// An open flow of this VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OpenFlow {
    /// Token of the upstream.
    pub token: u32,
    /// Slots that the flow is expected to occupy on average.
    pub demand: f32,
}

/// A request that an upstream answered or refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Response {
    /// Time that the client waited, in milliseconds.
    pub waited_ms: f32,
    /// Usual time of a request of the route, in milliseconds.
    pub usual_ms: f32,
}

/// What this VM knows of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// Responses since the last digest that included them.
    sums: Sums,
    /// Work of requests on flows that end soon, in slots, at `work_at`.
    work: f32,
    work_at: Instant,
    /// Flows placed since the last digest, and their demand.
    placed: u32,
    placed_demand: f32,
    /// Flows, their demand, and the work of requests in the last digest that included the upstream.
    sent: (u16, u32, u32),
    /// Number of digests since the values last changed without being sent.
    waiting: u32,
}

impl Account {
    fn work(&self, now: Instant) -> f32 {
        self.work * now.remaining_fraction(self.work_at, HORIZON_MS)
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.sent == (0, 0, 0)
            && self.placed == 0
            && self.sums.requests == 0.0
            && self.work(now) < 0.001
    }
}

/// Flows and work that this VM has placed.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    upstreams: BTreeMap<u32, Account>,
    /// Differs between VMs.
    seed: u64,
    /// Control VM that the last digest was made for.
    receiver: Option<SocketAddr>,
    /// Whether the receiver lacks part of the state because a digest was full.
    is_incomplete: bool,
    /// Number of entries that may be sent.
    credit: usize,
    /// Upstreams whose responses are reported: one of this number.
    response_stride: u64,
}

impl Ledger {
    /// Creates an empty ledger. `seed` differs between VMs.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            response_stride: 1,
            ..Self::default()
        }
    }

    /// Records that this VM placed a flow.
    pub fn record_placed(&mut self, flow: OpenFlow) {
        let account = self.upstreams.entry(flow.token).or_default();
        account.placed += 1;
        account.placed_demand += flow.demand;
    }

    /// Records the part of a request's work that the demand of its flow doesn't cover, in slots.
    pub fn record_request(&mut self, now: Instant, token: u32, demand: f32) {
        let account = self.upstreams.entry(token).or_default();
        account.work = account.work(now) + demand;
        account.work_at = now;
    }

    /// Records a response.
    pub fn record_response(&mut self, token: u32, response: Response) {
        let account = self.upstreams.entry(token).or_default();
        account.sums.merge(Sums {
            requests: 1.0,
            refused: 0.0,
            waited_ms: response.waited_ms,
            usual_ms: response.usual_ms,
        });
    }

    /// Records a refusal. `recorded` is the response that was recorded before it was known to be a
    /// refusal.
    pub fn record_refusal(&mut self, token: u32, recorded: Option<Response>) {
        let sums = &mut self.upstreams.entry(token).or_default().sums;
        match recorded {
            Some(response) if sums.requests >= 1.0 => {
                sums.waited_ms = (sums.waited_ms - response.waited_ms).max(0.0);
                sums.usual_ms = (sums.usual_ms - response.usual_ms).max(0.0);
            }
            _ => sums.requests += 1.0,
        }
        sums.refused += 1.0;
    }

    /// Returns the number of flows that this VM placed at the upstream since its last digest, and
    /// their demand in slots. [`super::View`] doesn't contain them yet.
    #[must_use]
    pub fn placed_since_digest(&self, token: u32) -> (u32, f32) {
        let account = self.upstreams.get(&token);
        account.map_or((0, 0.0), |a| (a.placed, a.placed_demand))
    }

    /// Returns the changes since the last digest for the control VM `receiver`, largest first.
    ///
    /// `flows` are all open flows of this VM, and `known` is the number of known upstreams.
    /// `previous` is the number of the last digest on the stream to the receiver, or 0. A digest for
    /// another receiver than the last one, or on a new stream, begins with sequence 1 and the full
    /// state.
    pub fn take_digest(
        &mut self,
        now: Instant,
        receiver: SocketAddr,
        previous: u64,
        flows: impl IntoIterator<Item = OpenFlow>,
        known: usize,
    ) -> Digest {
        let is_new = self.receiver != Some(receiver) || previous == 0;
        if is_new {
            self.receiver = Some(receiver);
            self.is_incomplete = true;
            for account in self.upstreams.values_mut() {
                account.sent = (0, 0, 0);
            }
        }
        let mut totals: BTreeMap<u32, (u16, f32)> = BTreeMap::new();
        for flow in flows {
            let (count, demand) = totals.entry(flow.token).or_default();
            *count = count.saturating_add(1);
            *demand += flow.demand;
            self.upstreams.entry(flow.token).or_default();
        }
        let mean_entries = (known / ENTRY_SHARE).clamp(MIN_ENTRIES, MAX_MEAN_ENTRIES);
        self.credit = (self.credit + mean_entries).min(mean_entries * SAVED_DIGESTS);
        let limit = match self.is_incomplete {
            true => MAX_ENTRIES,
            false => self.credit.min(MAX_ENTRIES),
        };
        let mut candidates = Vec::new();
        let mut with_responses = 0;
        for (token, account) in &mut self.upstreams {
            (account.placed, account.placed_demand) = (0, 0.0);
            let (count, demand) = totals.get(token).copied().unwrap_or_default();
            let hash = mix(self.seed ^ u64::from(*token));
            let demand_milli = milli(demand);
            let work_milli = quantized(milli(account.work(now)), hash);
            let has_responses = account.sums.requests >= 1.0;
            with_responses += usize::from(has_responses);
            let is_sampled = hash.is_multiple_of(self.response_stride);
            if has_responses && !is_sampled {
                account.sums = Sums::default();
            }
            let (sent_count, sent_demand, sent_work) = account.sent;
            let is_changed = count != sent_count
                || work_milli != sent_work
                || demand_milli.abs_diff(sent_demand) >= DEMAND_STEP_MILLI;
            if !(is_changed || has_responses && is_sampled) {
                account.waiting = 0;
                continue;
            }
            account.waiting = account.waiting.saturating_add(1);
            let flow_change = DEMAND_STEP_MILLI * u32::from(count.abs_diff(sent_count));
            let weight = DEMAND_STEP_MILLI
                .saturating_add(flow_change)
                .saturating_add(demand_milli.abs_diff(sent_demand))
                .saturating_add(work_milli.abs_diff(sent_work));
            candidates.push((
                Reverse(weight.saturating_mul(account.waiting)),
                *token,
                (count, demand_milli, work_milli),
            ));
        }
        self.response_stride = response_stride(with_responses);
        candidates.sort_unstable();
        self.is_incomplete &= candidates.len() > limit;
        candidates.truncate(limit);
        let entries = candidates.into_iter().filter_map(|(_, token, sent)| {
            let account = self.upstreams.get_mut(&token)?;
            account.sent = sent;
            let (flows, demand_milli, work_milli) = sent;
            account.waiting = 0;
            let mut entry = Entry {
                token,
                flows,
                demand_milli: demand_milli.saturating_add(work_milli),
                ..Entry::default()
            };
            account.sums.take_into(&mut entry);
            Some(entry)
        });
        let entries: Vec<Entry> = entries.collect();
        self.credit = self.credit.saturating_sub(entries.len());
        self.upstreams.retain(|_, account| !account.is_idle(now));
        Digest {
            sequence: match is_new {
                true => 1,
                false => previous + 1,
            },
            entries,
        }
    }

    /// Removes upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        self.upstreams.retain(|token, _| is_known(*token));
    }
}

/// Returns slots in thousandths.
fn milli(slots: f32) -> u32 {
    // The cast saturates, and demand is never negative.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let milli = (slots.max(0.0) * 1_000.0).round() as u32;
    milli
}

/// Returns a neighbouring multiple of [`WORK_STEP_MILLI`].
fn quantized(milli: u32, hash: u64) -> u32 {
    let offset = u32::try_from((hash >> 8) % u64::from(WORK_STEP_MILLI)).unwrap_or_default();
    let steps = milli.saturating_add(offset) / WORK_STEP_MILLI;
    steps * WORK_STEP_MILLI
}

/// Returns the number of upstreams of which one has its responses reported.
fn response_stride(with_responses: usize) -> u64 {
    let stride = with_responses.div_ceil(RESPONSE_ENTRIES).max(1);
    stride.next_power_of_two() as u64
}

/// Returns a hash of `value` (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
