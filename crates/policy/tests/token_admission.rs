//! Decisions of admission: which flows are refused while capacity is short, and what counts as a
//! shortage.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod token_support;

use std::{net::Ipv4Addr, sync::Arc};

use model::plan::{Kind as RouteKind, Plan, Route, RouteTerms, ServiceTerms, Terms};
use policy::token::{
    admission::{Controller, MAX_CALLERS, Outcome, Request, Sample, Shared, Verdict, caps::Caps},
    decision::{Action, Reason},
    gateway::{Gateway, terms::TermsEffect},
    segment::Kind,
};
use token_support::{
    ROUTE, SETTLED_MS, action_and_reason, at, chosen_upstream, data_packet, gateway,
    opening_packet, plan,
};

const CHECK: &str = "198.18.0.2:443";

/// Number of upstreams that requests are recorded for.
const UPSTREAMS: u64 = 20;

fn service() -> Arc<str> {
    Arc::from("booking")
}

/// Returns a plan with a route for feeds (priority 2) and one for checks (priority 1).
fn two_class_plan() -> (Plan, Terms) {
    let mut plan = Plan::clone(&plan(1));
    plan.routes.push(Route {
        name: "check".into(),
        address: CHECK.parse().unwrap(),
        ..plan.routes[0].clone()
    });
    let terms_of = |address: &str, kind, priority| RouteTerms {
        address: address.parse().unwrap(),
        kind,
        priority,
        goal_ms: Some(500),
    };
    let terms = Terms {
        version: 1,
        routes: vec![
            terms_of(ROUTE, RouteKind::Safe, 2),
            terms_of(CHECK, RouteKind::Unsafe, 1),
        ],
        services: Vec::new(),
    };
    (plan, terms)
}

/// A controller with a clock and numbered callers.
struct Scene {
    controller: Controller,
    ms: u64,
    callers: u32,
    shared: Option<Shared>,
}

impl Scene {
    /// Returns a scene in which answers have taken 40 ms for two seconds.
    fn calm() -> Self {
        let (plan, terms) = two_class_plan();
        let mut controller = Controller::default();
        controller.apply_terms(&plan, &terms);
        let mut scene = Self {
            controller,
            ms: SETTLED_MS,
            callers: 0,
            shared: None,
        };
        scene.run(20, 40, |_| false);
        scene
    }

    /// Records ten requests, each at the next upstream, in each of `steps` steps of 100 ms. Answers
    /// take `wait_ms`; requests at upstreams for which `refuses` returns true are refused.
    fn run(&mut self, steps: u64, wait_ms: u64, refuses: impl Fn(u64) -> bool) {
        for _ in 0..steps {
            for _ in 0..10 {
                self.ms += 10;
                let number = self.ms / 10;
                self.record(number % UPSTREAMS, Outcome::Answered(wait_ms));
                if refuses(number) {
                    self.record(number % UPSTREAMS, Outcome::Refused);
                }
            }
            self.callers += 1;
            self.admit(ROUTE, Ipv4Addr::from(self.callers));
        }
    }

    /// Records a shortage in which a third of the requests is refused.
    fn shortage(&mut self, steps: u64) {
        self.run(steps, 160, |number| number % 3 == 0);
    }

    fn record(&mut self, upstream: u64, outcome: Outcome) {
        let sample = Sample {
            service: &service(),
            route: ROUTE.parse().unwrap(),
            upstream,
            outcome,
        };
        self.controller.record(at(self.ms), sample);
    }

    fn admit(&mut self, route: &str, client: Ipv4Addr) -> bool {
        let request = Request {
            service: &service(),
            route: route.parse().unwrap(),
            client,
        };
        let shared = self.shared;
        let verdict = self.controller.admit(at(self.ms), request, || shared);
        verdict == Verdict::Admitted
    }

    /// Returns the admitted shares of checks and feeds.
    fn shares(&self) -> [f32; 2] {
        let status = self.controller.statuses().next().unwrap();
        [status.classes[0].1, status.classes[1].1]
    }
}

/// Guards against refusals of checks while feeds can still give way, and against a class that
/// starves.
#[test]
fn lowest_class_falls_to_its_floor_before_the_highest_is_refused() {
    let mut scene = Scene::calm();
    scene.shortage(12);
    let [check, feed] = scene.shares();
    assert!(check >= 1.0 && feed < 0.3, "{check} {feed}");
    // Far beyond any capacity: most attempts are refused.
    scene.run(60, 200, |number| number % 10 != 0);
    let [check, feed] = scene.shares();
    assert!((feed - 0.1).abs() < 1e-6 && (check - 0.1).abs() < 1e-6);
    let clients = (0..2_000).map(Ipv4Addr::from);
    let admitted = clients.filter(|c| scene.admit(ROUTE, *c)).count();
    assert!((100..300).contains(&admitted), "{admitted}");
}

/// Guards against shares that change at each crossing of one threshold.
#[test]
fn share_holds_between_the_thresholds_and_rises_below_them() {
    let mut scene = Scene::calm();
    scene.shortage(5);
    // A fourteenth is refused: between a twentieth and a tenth.
    scene.run(10, 160, |number| number % 14 == 0);
    let before = scene.shares()[1];
    scene.run(20, 160, |number| number % 14 == 0);
    assert!((scene.shares()[1] - before).abs() < 0.02);
    scene.run(10, 40, |_| false);
    assert!(scene.shares()[1] >= 1.0);
    let changes = scene.controller.take_changes();
    let states: Vec<bool> = changes.iter().map(|c| c.is_short).collect();
    assert_eq!(states, [true, false]);
    assert!(changes[0].pressure.refused_share > 0.1);
}

/// Guards against refusals because of upstreams that refuse or are slow while the others are well,
/// of errors without a queue, and of a single late answer.
#[test]
fn few_failing_upstreams_and_short_queues_are_no_shortage() {
    let failing = |count| move |number| number % UPSTREAMS < count;
    for (name, wait_ms, count) in [
        ("one fails", 160, 1),
        ("four fail", 160, 4),
        ("all refuse at once", 40, UPSTREAMS),
    ] {
        let mut scene = Scene::calm();
        scene.run(50, wait_ms, failing(count));
        assert!(scene.shares()[1] >= 1.0, "{name}");
    }
    let mut scene = Scene::calm();
    scene.run(50, 160, |_| false);
    assert!(scene.shares()[1] >= 1.0, "full queues within the goal");
    scene.run(10, 450, |_| false);
    assert!(scene.shares()[1] < 1.0, "most answers approach the goal");
}

/// Guards against a route whose answers differ widely in size, which would look refused.
#[test]
fn usual_share_of_short_answers_is_no_shortage() {
    let mut scene = Scene::calm();
    scene.run(60, 40, |number| number % 3 == 0);
    scene.run(30, 160, |number| number % 3 == 0);
    assert!(scene.shares()[1] >= 1.0);
}

/// Guards against a shortage that hides the next one: while admission holds the refusals at a few
/// percent, queues are short for moments, and the refusals then were taken for usual short answers.
#[test]
fn shortage_shows_soon_after_another_one() {
    let mut scene = Scene::calm();
    for _ in 0..40 {
        scene.shortage(2);
        scene.run(2, 40, |number| number % 2 == 0);
    }
    scene.run(20, 40, |_| false);
    assert!(scene.shares()[1] >= 1.0);
    scene.shortage(12);
    assert!(scene.shares()[1] < 0.5, "{:?}", scene.shares());
}

/// Guards against a shared view that overrules what a VM sees: absent, late, too old, impossible or
/// contradicting values.
#[test]
fn shared_view_may_object_to_a_shortage_but_not_cause_or_prolong_it() {
    let view = |refused_share, spread, age_ms| Shared {
        refused_share,
        spread,
        age_ms,
    };
    let share_with = |shared| {
        let mut scene = Scene::calm();
        scene.shared = shared;
        scene.shortage(12);
        scene.shares()[1]
    };
    let alone = share_with(None);
    assert!(alone < 0.3);
    let late = share_with(Some(view(0.0, 0.0, 1_500)));
    assert!(late < 0.5, "a view from before the surge: {late}");
    let with_some_refusing = |shared| {
        let mut scene = Scene::calm();
        scene.shared = shared;
        scene.run(20, 160, |number| number % UPSTREAMS < 7);
        scene.shares()[1]
    };
    assert!(with_some_refusing(None) < 0.3);
    let concentrated = with_some_refusing(Some(view(0.1, 0.1, 1_000)));
    assert!(concentrated >= 1.0, "few upstreams refuse: {concentrated}");
    for unusable in [
        view(0.1, 0.1, 4_000),
        view(f32::NAN, 0.1, 0),
        view(7.0, -1.0, 0),
    ] {
        assert!((share_with(Some(unusable)) - alone).abs() < 1e-6);
    }
    let mut scene = Scene::calm();
    scene.shared = Some(view(0.5, 1.0, 100));
    scene.run(20, 40, |_| false);
    assert!(scene.shares()[1] >= 1.0, "without own signs");
    scene.shortage(12);
    scene.run(10, 40, |_| false);
    assert!(
        scene.shares()[1] >= 1.0,
        "the own requests are served again"
    );
}

/// Guards against a shared view that objects for a whole shortage because of upstreams without
/// refusals that have crashed, or that were not reported: most upstreams that the VM sees refuse.
/// Guards as well against few failing upstreams that outweigh the view.
#[test]
fn shared_view_with_crashed_upstreams_does_not_object_to_what_a_vm_sees() {
    let share_with = |refuses: &dyn Fn(u64) -> bool| {
        let mut scene = Scene::calm();
        // A quarter of the upstreams in the view refuse half of their requests.
        scene.shared = Some(Shared {
            refused_share: 0.12,
            spread: 0.23,
            age_ms: 1_500,
        });
        // Answers and refusals take 190 ms, and the VM sees 33 requests a second.
        for number in 0..66 {
            scene.ms += 30;
            let upstream = number % 10;
            scene.record(upstream, Outcome::Answered(190));
            if refuses(number) {
                scene.record(upstream, Outcome::Refused);
            }
            scene.admit(ROUTE, Ipv4Addr::from(0x0A00_0000));
        }
        scene.shares()[1]
    };
    let half = share_with(&|number| number % 10 % 2 == number / 10 % 2);
    assert!(half < 0.3, "all upstreams refuse half: {half}");
    for failing in 1..=3 {
        let few = share_with(&|number| number % 10 < failing);
        assert!(few >= 1.0, "{failing} of ten fail: {few}");
    }
}

/// Guards against ticks that ignore the objection of the shared view.
#[test]
fn shared_view_objects_at_ticks_as_well() {
    let share_with = |shared| {
        let mut scene = Scene::calm();
        for number in 0..200 {
            scene.ms += 10;
            scene.record(number % UPSTREAMS, Outcome::Answered(160));
            if number % UPSTREAMS < 7 {
                scene.record(number % UPSTREAMS, Outcome::Refused);
            }
            scene.controller.tick(at(scene.ms), |_| shared);
        }
        scene.shares()[1]
    };
    assert!(share_with(None) < 0.3);
    let concentrated = Shared {
        refused_share: 0.1,
        spread: 0.1,
        age_ms: 1_000,
    };
    assert!(share_with(Some(concentrated)) >= 1.0);
}

/// Guards against a change of terms in a surge, after which the long answers of the surge would count
/// as usual and everything be admitted.
#[test]
fn changed_terms_in_a_surge_keep_what_is_usual() {
    let mut scene = Scene::calm();
    scene.shortage(12);
    let (plan, mut terms) = two_class_plan();
    terms.routes[1].goal_ms = Some(400);
    scene.controller.apply_terms(&plan, &terms);
    assert!(scene.shares()[1] >= 1.0);
    scene.shortage(12);
    assert!(scene.shares()[1] < 0.3, "{:?}", scene.shares());
}

/// Guards against a goal or a limit of 0, which means none, as one that is always exceeded.
#[test]
fn goal_and_limit_of_zero_are_none() {
    let (plan, mut terms) = two_class_plan();
    terms.routes.iter_mut().for_each(|r| r.goal_ms = Some(0));
    let mut scene = Scene::calm();
    scene.controller.apply_terms(&plan, &terms);
    scene.run(20, 40, |_| false);
    scene.run(30, 160, |_| false);
    assert!(scene.shares()[1] >= 1.0);

    let mut gateway = capped_gateway();
    let terms = Terms {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceTerms {
            name: service(),
            max_flows: Some(0),
        }],
    };
    let applied = gateway.apply_terms(Arc::new(terms));
    assert_eq!(applied, TermsEffect::Applied);
    let opened = gateway.decide(at(SETTLED_MS), &opening_packet(1, 0));
    assert_eq!(opened.reason, Reason::Placed);
}

/// Guards against retries that get another chance by arriving together.
#[test]
fn caller_gets_the_same_decision_within_an_epoch_and_others_later() {
    let mut scene = Scene::calm();
    scene.shortage(6);
    let share = scene.shares()[1];
    assert!((0.15..0.6).contains(&share), "{share}");
    let decide = |scene: &mut Scene| -> Vec<bool> {
        let clients = (0..200).map(|n| Ipv4Addr::from(0x0A00_0000 + n));
        clients.map(|c| scene.admit(ROUTE, c)).collect()
    };
    let first = decide(&mut scene);
    assert_eq!(first, decide(&mut scene));
    scene.shortage(6);
    assert_ne!(first, decide(&mut scene));
}

/// Returns the shares of the flows that were admitted, of a caller with 60 flows a step from
/// `addresses` addresses, and of 100 callers with two flows a second.
fn run_callers(scene: &mut Scene, addresses: u32) -> [f32; 2] {
    let mut counts = [(0_u16, 0_u16); 2];
    for step in 0..40 {
        scene.run(1, 160, |number| number % 14 == 0);
        let crowd = (0..20).map(|n| (1, 0x0B00_0000 + 5 * n + step % 5));
        let own = (0..60).map(|n| (0, 0x0C00_0000 + (step * 60 + n) % addresses));
        for (who, client) in crowd.chain(own) {
            let is_admitted = scene.admit(ROUTE, Ipv4Addr::from(client));
            if step >= 20 {
                counts[who].0 += u16::from(is_admitted);
                counts[who].1 += 1;
            }
        }
    }
    counts.map(|(admitted, all)| f32::from(admitted) / f32::from(all.max(1)))
}

/// Guards against a caller that takes the room of the others, with one address or with many.
#[test]
fn caller_with_most_flows_is_refused_first_and_many_addresses_gain_nothing() {
    let mut scene = Scene::calm();
    scene.shortage(4);
    scene.run(10, 160, |number| number % 14 == 0);
    let share = scene.shares()[1];
    let [heavy, crowd] = run_callers(&mut scene, 1);
    assert!(crowd > 0.99, "{heavy} {crowd} of {share}");
    // 600 of 800 flows a second are of the caller with most flows.
    let total = heavy * 0.75 + crowd * 0.25;
    assert!((total - share).abs() < 0.05, "{total} of {share}");

    let mut scene = Scene::calm();
    scene.shortage(4);
    scene.run(10, 160, |number| number % 14 == 0);
    let share = scene.shares()[1];
    let [many, crowd] = run_callers(&mut scene, 1_000);
    assert!(many < share + 0.1, "{many} {crowd} of {share}");
    assert!(crowd > share - 0.15, "{many} {crowd} of {share}");
}

/// Guards against memory that grows with the number of callers.
#[test]
fn table_of_callers_is_bounded() {
    let mut scene = Scene::calm();
    for number in 0..20_000_u32 {
        scene.ms += u64::from(number % 8 == 0);
        scene.admit(ROUTE, Ipv4Addr::from(number));
        assert!(scene.controller.caller_count() <= MAX_CALLERS);
    }
    assert!(scene.controller.caller_count() > MAX_CALLERS / 2);
}

/// Guards against terms of another plan, and against a plan that takes away its terms or state.
#[test]
fn terms_apply_only_to_their_plan_and_are_optional() {
    let (plan, terms) = two_class_plan();
    let mut gateway: Gateway = gateway(&[(5, "a")]);
    assert!(gateway.apply_plan(Arc::new(Plan { version: 2, ..plan })));
    let applied = gateway.apply_terms(Arc::new(terms.clone()));
    assert_eq!(applied, TermsEffect::Ignored);
    assert!(gateway.admission().statuses().next().is_none());
    let opened = gateway.decide(at(SETTLED_MS), &opening_packet(1, 0));
    assert_eq!(opened.reason, Reason::Placed);
    let terms = Terms {
        version: 2,
        ..terms
    };
    let applied = gateway.apply_terms(Arc::new(terms));
    assert_eq!(applied, TermsEffect::Applied);
    assert_eq!(gateway.terms_version(), Some(2));
    // An older control VM sends a plan without terms.
    let plan = Plan {
        version: 3,
        ..two_class_plan().0
    };
    assert!(gateway.apply_plan(Arc::new(plan)));
    let has_classes = |gateway: &Gateway| gateway.admission().statuses().next().is_some();
    gateway.tick(at(SETTLED_MS));
    assert!(has_classes(&gateway) && gateway.terms_version().is_none());
    (0..10).for_each(|_| gateway.tick(at(SETTLED_MS)));
    assert!(!has_classes(&gateway));
}

/// Returns a gateway with two upstreams that hold up to 20 flows.
fn capped_gateway() -> Gateway {
    let mut gateway = gateway(&[(5, "a"), (6, "a")]);
    let terms = Terms {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceTerms {
            name: service(),
            max_flows: Some(20),
        }],
    };
    let applied = gateway.apply_terms(Arc::new(terms));
    assert_eq!(applied, TermsEffect::Applied);
    gateway
}

/// Guards against flows on an upstream that can't hold them, and against an upstream that stays full
/// after flows have ended.
#[test]
fn upstreams_at_the_cap_get_no_flow_until_one_ends() {
    let mut gateway = capped_gateway();
    let mut counts = [0; 2];
    let mut upstream_of = |gateway: &mut Gateway, port| {
        let decision = gateway.decide(at(SETTLED_MS), &opening_packet(port, 0));
        chosen_upstream(decision).inspect(|id| counts[usize::from(*id == 6)] += 1)
    };
    let placed: Vec<u64> = (1..=38)
        .map(|p| upstream_of(&mut gateway, p).unwrap())
        .collect();
    assert_eq!(upstream_of(&mut gateway, 39), None);
    assert_eq!(counts, [19, 19]);
    let refused = gateway.decide(at(SETTLED_MS), &opening_packet(39, 0));
    assert_eq!(action_and_reason(refused), (Action::Reset, Reason::FlowCap));

    let token = u32::try_from(placed[0]).unwrap();
    for (sequence, kind) in [(101, Kind::Data), (102, Kind::Finish)] {
        let mut segment = data_packet(1, token, sequence, 0, 1);
        segment.kind = kind;
        gateway.decide(at(SETTLED_MS + 100), &segment);
    }
    let again = gateway.decide(at(SETTLED_MS + 600), &opening_packet(40, 0));
    assert_eq!(chosen_upstream(again), Some(placed[0]));
}

/// Guards against counts that ignore the flows of other VMs, or count shared flows twice for long.
#[test]
fn cap_counts_flows_of_other_vms_and_those_placed_since() {
    let mut caps = Caps::default();
    let terms = Terms {
        services: vec![ServiceTerms {
            name: service(),
            max_flows: Some(100),
        }],
        ..Terms::default()
    };
    caps.apply_terms(&terms);
    let service = service();
    let recount = |caps: &mut Caps, ms, own, shared| {
        caps.recount(at(ms), [(5, &service, own, shared)].into_iter());
        caps.is_full(5)
    };
    assert!(!recount(&mut caps, 1_000, 3, Some(93)));
    caps.record_placed(&service, 5);
    assert!(!caps.is_full(5));
    caps.record_placed(&service, 5);
    assert!(caps.is_full(5));
    assert!(recount(&mut caps, 1_500, 5, Some(93)), "not yet shared");
    assert!(!recount(&mut caps, 2_600, 5, Some(94)), "shared by now");
    assert!(
        !recount(&mut caps, 3_100, 5, None),
        "only own flows are known"
    );
}
