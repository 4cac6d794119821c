//! Four ways in which entry VMs may find out that upstreams can't be reached, under cuts and losses
//! of each kind: what clients get, and what it costs.
//!
//! The load: entry VMs of four failure domains before forty upstreams; feeds that ask each few
//! seconds, most of them in their own domain. `-- --nocapture` prints the table of docs/design/load.md.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{
    collections::BTreeMap,
    ops::{AddAssign, Range},
};

use model::routing::{Announced, Incarnation, Probed, Report};
use policy::token::{
    decision::Action,
    gateway::Gateway,
    sight::{Probe, ProbeReason},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use token_support::{
    SETTLED_MS, announcement, at, control_vm, data_packet, gateway_in_domain, peer_count, plan,
};

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Entry VMs of each failure domain, and the larger number that shows how costs grow.
const VMS: usize = 12;
const MORE_VMS: usize = 2 * VMS;

/// Upstreams of each failure domain; their ids count from 1.
const UPSTREAMS: u64 = 10;

/// Feeds of each entry VM, of which the last few go to other failure domains.
const FEEDS: u16 = 16;
const FAR_FEEDS: u16 = 4;

/// Time between two requests of a feed, in milliseconds.
const ASK_EVERY_MS: u64 = 3_000;

/// The trouble, as milliseconds of the run, and the end of the run.
const TROUBLE: Range<u64> = SETTLED_MS + 1_000..SETTLED_MS + 7_000;
const END_MS: u64 = SETTLED_MS + 12_000;

/// Time from its loss until no control VM hears an upstream, and from its return until one does.
const EXPIRY_MS: u64 = 4_600;
const HEARD_MS: u64 = 400;

/// Time after which another upstream has the address of one that is gone.
const REUSE_MS: u64 = 2_000;

/// Time between two changes of an upstream that flaps.
const FLAP_MS: u64 = 1_500;

/// Times from its first sending at which a client sends a request again, in milliseconds.
const REPEATS_MS: [u64; 4] = [0, 200, 600, 1_400];

/// Time that a probe waits for a connection, and one that it takes, in milliseconds.
const PROBE_MS: u64 = 250;
const CONNECT_MS: u64 = 2;

/// Time that a message takes through a control VM, in milliseconds.
const TELL_MS: u64 = 25;

/// Time without a word of it after which a control VM tells other failure domains the same again, in
/// milliseconds.
const FORGET_MS: u64 = 10_000;

/// Time in which one that knows nothing of failure domains tells nothing twice, in milliseconds.
const REPEAT_MS: u64 = 2_000;

/// Time from which on a wait counts, in milliseconds: the client then asks again.
const WAIT_MS: u64 = 200;

/// Time after the loss in which nobody can know of it, in milliseconds.
const UNKNOWN_MS: u64 = 700;

/// How VMs find out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each by itself.
    Alone,
    /// Each probes what it is told of.
    Probed,
    /// Each believes what it is told.
    Believed,
    /// Few probe, and what they say is believed as far as it goes.
    Few,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Domain d has no power and comes back.
    PowerLoss,
    /// Domain d is cut off from the others.
    DomainCut,
    /// Nothing passes from domain a to domain d.
    OneWay,
    /// Domains a and b can't reach each other.
    BridgeCut,
    /// The same, where what is between them refuses connections.
    BridgeRefuses,
    /// One entry VM of domain a reaches no upstream.
    SingleVm,
    /// Three upstreams of domain a can't be reached by anyone.
    UpstreamsOnly,
    /// Three upstreams of domain a crash, and others take over their addresses.
    Reuse,
    /// Three upstreams of domain a end and start by turns.
    Flap,
    /// Three upstreams of domain a accept connections and answer no request.
    Lying,
}

const ALL: [Trouble; 10] = [
    Trouble::PowerLoss,
    Trouble::DomainCut,
    Trouble::OneWay,
    Trouble::BridgeCut,
    Trouble::BridgeRefuses,
    Trouble::SingleVm,
    Trouble::UpstreamsOnly,
    Trouble::Reuse,
    Trouble::Flap,
    Trouble::Lying,
];

/// Upstreams of domain a that the last four troubles hit.
const HIT: Range<u64> = 1..4;

/// What becomes of a packet from an entry VM to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Answers,
    /// A connection is accepted, a request isn't answered.
    Accepts,
    Refused,
    Lost,
}

/// VMs of the failure domains take turns.
fn domain_of_vm(vm: usize) -> usize {
    vm % DOMAINS.len()
}

fn domain_of(id: u64) -> usize {
    usize::try_from((id - 1) / UPSTREAMS).unwrap()
}

impl Trouble {
    fn path(self, ms: u64, vm: usize, id: u64) -> Path {
        let (from, to) = (domain_of_vm(vm), domain_of(id));
        if !TROUBLE.contains(&ms) {
            let is_gone = self == Self::Reuse && ms >= TROUBLE.end && HIT.contains(&id);
            return if is_gone {
                Path::Accepts
            } else {
                Path::Answers
            };
        }
        let lost_if = |is_lost| if is_lost { Path::Lost } else { Path::Answers };
        match self {
            Self::PowerLoss => lost_if(to == 3),
            Self::DomainCut => lost_if((to == 3) != (from == 3)),
            Self::OneWay => lost_if(from == 0 && to == 3),
            Self::BridgeCut => lost_if(from + to == 1),
            Self::BridgeRefuses if from + to == 1 => Path::Refused,
            Self::BridgeRefuses => Path::Answers,
            Self::SingleVm => lost_if(vm == 0),
            Self::UpstreamsOnly => lost_if(HIT.contains(&id)),
            _ if !HIT.contains(&id) => Path::Answers,
            Self::Reuse if ms < TROUBLE.start + REUSE_MS => Path::Refused,
            Self::Reuse | Self::Lying => Path::Accepts,
            Self::Flap if ((ms - TROUBLE.start) / FLAP_MS).is_multiple_of(2) => Path::Refused,
            Self::Flap => Path::Answers,
        }
    }

    /// Whether control VMs pass on what `from` says to `to`.
    fn tells(self, ms: u64, from: usize, to: usize) -> bool {
        let is_apart = (domain_of_vm(from) == 3) != (domain_of_vm(to) == 3);
        !(self == Self::DomainCut && TROUBLE.contains(&ms) && is_apart)
    }

    /// Whether entry VM `vm` runs and has clients.
    fn runs(self, ms: u64, vm: usize) -> bool {
        !(self == Self::PowerLoss && domain_of_vm(vm) == 3 && ms >= TROUBLE.start)
    }

    /// Upstreams that control VMs hear no longer for as long as the trouble lasts, as `vm` learns.
    fn unheard(self, vm: usize) -> Vec<u64> {
        let of_domain = |d: u64| d * UPSTREAMS + 1..=(d + 1) * UPSTREAMS;
        match self {
            Self::PowerLoss => of_domain(3).collect(),
            Self::DomainCut if domain_of_vm(vm) != 3 => of_domain(3).collect(),
            Self::DomainCut => (0..3).flat_map(of_domain).collect(),
            Self::UpstreamsOnly | Self::Reuse => HIT.collect(),
            _ => Vec::new(),
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Ask { port: u16, first: u64 },
    Acknowledge { port: u16 },
    Probed { due: Probe, probed: Probed },
    ReportEffect(Report),
    Doubted(u64),
    Silent(u64),
    Announced(Announced),
    Wake,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tally {
    /// Clients that waited though the loss could be known.
    waits: u64,
    /// Clients that were told that their upstream is down while it would have answered them.
    wrong: u64,
    /// Connections that upstreams accepted, and attempts at all.
    accepted: u64,
    attempts: u64,
    /// Findings that reached a VM.
    told: u64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.waits += other.waits;
        self.wrong += other.wrong;
        self.accepted += other.accepted;
        self.attempts += other.attempts;
        self.told += other.told;
    }
}

struct World {
    way: Way,
    trouble: Trouble,
    vms: Vec<Gateway>,
    feeds: BTreeMap<(usize, u16), u64>,
    /// Bytes that the client of each feed has sent and taken.
    sent: BTreeMap<(usize, u16), (u32, u32)>,
    /// When the client of each feed began to wait for an answer.
    asked: BTreeMap<(usize, u16), u64>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    planned: u64,
    /// When each VM is woken for a probe next.
    wakes: BTreeMap<usize, u64>,
    /// What each failure domain found last of each upstream, and when.
    relayed: BTreeMap<(u64, usize), (Probed, u64)>,
    /// When all VMs were told last of each upstream, where failure domains don't count.
    plainly_told: BTreeMap<u64, u64>,
    tally: Tally,
}

fn vm_name(vm: usize) -> String {
    format!("entry-{vm}")
}

impl World {
    fn new(seed: u64, vms: usize, way: Way, trouble: Trouble) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let all = 0..vms * DOMAINS.len();
        let vms = all.map(|vm| start(seed, vms, way, vm));
        let mut world = Self {
            way,
            trouble,
            vms: vms.collect(),
            feeds: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            events: BTreeMap::new(),
            planned: 0,
            wakes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            plainly_told: BTreeMap::new(),
            tally: Tally::default(),
        };
        for vm in 0..world.vms.len() {
            world.plan_feeds(vm, &mut random);
            world.plan_announcements(vm);
        }
        world
    }

    fn plan(&mut self, ms: u64, vm: usize, event: Event) {
        self.planned += 1;
        self.events.insert((ms, self.planned), (vm, event));
    }

    fn plan_feeds(&mut self, vm: usize, random: &mut Pcg64Mcg) {
        for port in 0..FEEDS {
            let domain = match port < FEEDS - FAR_FEEDS {
                true => domain_of_vm(vm),
                false => random.random_range(0..DOMAINS.len()),
            };
            let first = domain as u64 * UPSTREAMS + 1;
            let id = random.random_range(first..first + UPSTREAMS);
            self.feeds.insert((vm, port), id);
            self.sent.insert((vm, port), (101, 1));
            // Clients open their flows first.
            let token = u32::try_from(id).unwrap();
            self.vms[vm].decide(at(SETTLED_MS - 10), &data_packet(port, token, 101, 0, 1));
            let first = SETTLED_MS + random.random_range(0..ASK_EVERY_MS);
            self.plan(first, vm, Event::Ask { port, first });
        }
    }

    fn plan_announcements(&mut self, vm: usize) {
        for id in self.trouble.unheard(vm) {
            self.plan(TROUBLE.start + EXPIRY_MS, vm, Event::Silent(id));
            let back = Announced {
                sequence: 9,
                ..of(id)
            };
            let back = match self.trouble {
                Trouble::Reuse => continue,
                Trouble::PowerLoss => reborn(id, 9),
                _ => back,
            };
            self.plan(TROUBLE.end + HEARD_MS, vm, Event::Announced(back));
        }
        for id in HIT {
            match self.trouble {
                Trouble::Reuse => {
                    let heir = Announced {
                        address: of(id).address,
                        ..reborn(id + 500, 9)
                    };
                    let ms = TROUBLE.start + REUSE_MS + HEARD_MS;
                    self.plan(ms, vm, Event::Announced(heir));
                }
                Trouble::Flap => {
                    for turn in 1..=2 {
                        let ms = TROUBLE.start + (2 * turn - 1) * FLAP_MS + HEARD_MS;
                        self.plan(ms, vm, Event::Announced(reborn(id, 9 + turn)));
                    }
                }
                _ => {}
            }
        }
    }

    fn run(mut self) -> Tally {
        while let Some(((ms, _), (vm, event))) = self.events.pop_first() {
            if ms >= END_MS {
                break;
            }
            if self.trouble.runs(ms, vm) {
                self.take(ms, vm, event);
                self.probe(ms, vm);
            }
        }
        self.tally
    }

    fn take(&mut self, ms: u64, vm: usize, event: Event) {
        match event {
            Event::Ask { port, first } => self.ask(ms, vm, port, first),
            // Its flow may have ended meanwhile.
            Event::Acknowledge { port } if self.feeds.contains_key(&(vm, port)) => {
                let token = self.token(vm, port);
                let (sent, taken) = self.sent[&(vm, port)];
                self.vms[vm].decide(at(ms), &data_packet(port, token, sent, 0, taken));
            }
            Event::Probed { due, probed } => {
                self.vms[vm].probed(at(ms), due.id, probed);
                self.tell(ms, vm, due.reason);
            }
            Event::ReportEffect(report) => {
                self.tally.told += report.findings.len() as u64;
                self.vms[vm].told(at(ms), &report);
            }
            Event::Doubted(id) => {
                self.tally.told += 1;
                self.vms[vm].doubted(at(ms), id);
            }
            Event::Silent(id) => {
                let start = self.vms[vm].directory().get(id);
                let start = start.map(|u| u.announced.incarnation).unwrap();
                self.vms[vm].silent(at(ms), control_vm(1), start);
            }
            Event::Announced(announced) => {
                self.vms[vm].announce(at(ms), control_vm(1), announced, 0);
            }
            Event::Acknowledge { .. } | Event::Wake => {}
        }
        let told: Vec<u16> = self.vms[vm]
            .take_pending_resets()
            .iter()
            .map(|s| s.key.client.port())
            .collect();
        for port in told {
            self.end(ms, vm, port);
        }
    }

    fn token(&self, vm: usize, port: u16) -> u32 {
        u32::try_from(self.feeds[&(vm, port)]).unwrap()
    }

    fn ask(&mut self, ms: u64, vm: usize, port: u16, first: u64) {
        let Some(&id) = self.feeds.get(&(vm, port)) else {
            return;
        };
        self.asked.insert((vm, port), first);
        let (sent, taken) = self.sent[&(vm, port)];
        let packet = data_packet(port, self.token(vm, port), sent, 50, taken);
        let decision = self.vms[vm].decide(at(ms), &packet);
        if decision.action == Action::Reset {
            return self.end(ms, vm, port);
        }
        let waited = ms - first;
        if self.trouble.path(ms, vm, id) == Path::Answers {
            self.asked.remove(&(vm, port));
            self.sent.insert((vm, port), (sent + 50, taken + 500));
            self.plan(ms + 30, vm, Event::Acknowledge { port });
            self.note_wait(first, waited);
            let first = first + ASK_EVERY_MS;
            return self.plan(first, vm, Event::Ask { port, first });
        }
        match REPEATS_MS.into_iter().find(|at| *at > waited) {
            Some(next) => self.plan(first + next, vm, Event::Ask { port, first }),
            None => {
                self.feeds.remove(&(vm, port));
                self.note_wait(first, u64::MAX);
            }
        }
    }

    /// Ends a flow that was reset.
    fn end(&mut self, ms: u64, vm: usize, port: u16) {
        let Some(id) = self.feeds.remove(&(vm, port)) else {
            return;
        };
        // A restart has lost the flow, whatever is said of it.
        let is_alive = !matches!(self.trouble, Trouble::Flap | Trouble::PowerLoss);
        if is_alive && self.trouble.path(ms, vm, id) == Path::Answers {
            self.tally.wrong += 1;
        }
        if let Some(first) = self.asked.remove(&(vm, port)) {
            self.note_wait(first, ms - first);
        }
    }

    fn note_wait(&mut self, first: u64, waited: u64) {
        let is_known = (TROUBLE.start + UNKNOWN_MS..TROUBLE.end).contains(&first);
        self.tally.waits += u64::from(is_known && waited >= WAIT_MS);
    }

    fn probe(&mut self, ms: u64, vm: usize) {
        for due in self.vms[vm].due_probes(at(ms)) {
            let (probed, takes) = match self.trouble.path(ms, vm, due.id) {
                Path::Answers | Path::Accepts => (Probed::Accepted, CONNECT_MS),
                Path::Refused => (Probed::Refused, CONNECT_MS),
                Path::Lost => (Probed::Silent, PROBE_MS),
            };
            self.tally.attempts += 1;
            self.tally.accepted += u64::from(probed == Probed::Accepted);
            self.plan(ms + takes, vm, Event::Probed { due, probed });
        }
        if let Some(next) = self.vms[vm].next_probe() {
            let wake_ms = ms + next.ms_since(at(ms)) + 1;
            if self.wakes.insert(vm, wake_ms) != Some(wake_ms) {
                self.plan(wake_ms, vm, Event::Wake);
            }
        }
    }

    /// Whether a control VM that knows nothing of failure domains tells of upstream `id`: where a
    /// client led to it, and not again for a while.
    fn is_plain_news(&mut self, ms: u64, id: u64, probed: Probed) -> bool {
        let last = self.plainly_told.get(&id);
        let is_news = probed != Probed::Accepted && last.is_none_or(|at| ms >= at + REPEAT_MS);
        if is_news {
            self.plainly_told.insert(id, ms);
        }
        is_news
    }

    /// Tells the other VMs what `vm` found out, as the way has it.
    fn tell(&mut self, ms: u64, vm: usize, reason: ProbeReason) {
        let findings = self.vms[vm].take_probe_reports(at(ms));
        for finding in findings {
            let id = finding.upstream.id;
            let from = (id, domain_of_vm(vm));
            let last = self.relayed.insert(from, (finding.probed, ms));
            let is_same = |(p, at)| p == finding.probed && ms < at + FORGET_MS;
            let is_news = finding.probed != Probed::Accepted && !last.is_some_and(is_same);
            let is_plain_news =
                reason == ProbeReason::ClientWaiting && self.is_plain_news(ms, id, finding.probed);
            for other in (0..self.vms.len()).filter(|o| *o != vm) {
                if !self.trouble.tells(ms, vm, other) {
                    continue;
                }
                let report = |name: String, domain: usize| Report {
                    vm: name.into(),
                    domain: DOMAINS[domain].parse().unwrap(),
                    findings: vec![finding],
                };
                let is_near = domain_of_vm(vm) == domain_of_vm(other);
                match self.way {
                    Way::Probed if is_plain_news => {
                        self.plan(ms + TELL_MS, other, Event::Doubted(id));
                    }
                    Way::Believed if is_plain_news => {
                        for name in ["one", "two"] {
                            let report = report(name.to_owned(), domain_of_vm(other));
                            self.plan(ms + TELL_MS, other, Event::ReportEffect(report));
                        }
                    }
                    Way::Few if is_news || is_near => {
                        let report = report(vm_name(vm), domain_of_vm(vm));
                        self.plan(ms + TELL_MS, other, Event::ReportEffect(report));
                    }
                    _ => {}
                }
            }
        }
    }
}

fn of(id: u64) -> Announced {
    announcement(id, DOMAINS[domain_of(id)])
}

/// A later start of upstream `id`.
fn reborn(id: u64, start: u64) -> Announced {
    Announced {
        incarnation: Incarnation {
            id,
            started_ms: 1_000 * start,
        },
        ..announcement(id, DOMAINS[domain_of(id.min(UPSTREAMS * 4))])
    }
}

fn start(seed: u64, vms: usize, way: Way, vm: usize) -> Gateway {
    let mut gateway = gateway_in_domain(&vm_name(vm), DOMAINS[domain_of_vm(vm)], seed + vm as u64);
    gateway.apply_plan(plan(1));
    gateway.add_control_stream(control_vm(1));
    for id in 1..=UPSTREAMS * DOMAINS.len() as u64 {
        gateway.announce(at(0), control_vm(1), of(id), 0);
    }
    gateway.mark_control_stream_synced(at(0), control_vm(1));
    if way == Way::Few {
        gateway.set_peer_count(control_vm(1), peer_count(u32::try_from(vms).unwrap()));
    }
    gateway
}

fn play(vms: usize, way: Way, trouble: Trouble) -> Tally {
    let mut tally = Tally::default();
    for seed in 0..4 {
        tally += World::new(seed, vms, way, trouble).run();
    }
    tally
}

#[test]
fn few_probe_and_clients_wait_no_longer_and_no_live_flow_is_refused() {
    println!("waits, wrong refusals, accepted, attempts, findings told");
    let (mut today, mut few) = (Tally::default(), Tally::default());
    for trouble in ALL {
        let ways = [Way::Alone, Way::Probed, Way::Believed, Way::Few];
        let tallies = ways.map(|way| play(VMS, way, trouble));
        let cells = tallies.map(|t| {
            let Tally {
                waits,
                wrong,
                accepted,
                attempts,
                told,
            } = t;
            format!("{waits}, {wrong}, {accepted}, {attempts}, {told}")
        });
        println!("| {trouble:?} | {} |", cells.join(" | "));
        let [_, probed, _, own] = tallies;
        assert!(own.wrong <= probed.wrong, "{trouble:?}: {own:?}");
        today += probed;
        few += own;
    }
    println!("today {today:?}\nfew {few:?}");
    assert!(few.waits <= today.waits, "{few:?} {today:?}");
    assert!(2 * few.attempts <= today.attempts, "{few:?} {today:?}");
}

#[test]
fn probes_grow_with_upstreams_and_not_with_entry_vms() {
    let attempts = |vms, trouble| play(vms, Way::Few, trouble).attempts;
    for trouble in [Trouble::PowerLoss, Trouble::DomainCut, Trouble::BridgeCut] {
        let (few, more) = (attempts(VMS, trouble), attempts(MORE_VMS, trouble));
        println!("{trouble:?}: {few} attempts of {VMS} VMs a domain, {more} of {MORE_VMS}");
        assert!(2 * more <= 3 * few, "{trouble:?}: {few} and {more}");
    }
}
