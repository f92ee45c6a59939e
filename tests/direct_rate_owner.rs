//! Limits of endpoints over all gateways, without network: the owner's grants, and what a
//! gateway makes of limits that it hears and grants that it gets or doesn't.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::dialect::{Report, Resident};
use rattanstall::direct::gossip::{Message, ModelUsage};
use rattanstall::direct::ledger::EngineCall;
use rattanstall::direct::members::Member;
use rattanstall::direct::notices::{
    LimitChange, LimitNews, Notice, NoticeBoard, Notices, Permit, RunId, Stated,
};
use rattanstall::direct::rate_owner::{Grant, NamedRate, RateOwner, RequestRate};
use rattanstall::direct::view::Usability;

use fleet::{ENGINES, GATEWAYS, elected_leader, from_peer, model, registered_gateway};
use registration::registration;

const RUN: RunId = RunId(7);

fn rate(per_s: f64) -> RequestRate {
    RequestRate((per_s * 1_000.0) as u32)
}

fn names(per_s: f64) -> Notice {
    Notice {
        limit: Some(Stated::Value(rate(per_s))),
        ..Notice::default()
    }
}

/// A rate that was named just now.
fn named(now: u64, per_s: f64) -> NamedRate {
    NamedRate {
        rate: rate(per_s),
        sent_at: Millis(now),
        heard_at: Millis(now),
    }
}

/// Times of grants that callers with this demand get, over 60 s.
fn grants(owner: &mut RateOwner, per_s: f64, demand_per_s: f64, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut granted = Vec::new();
    for now in 1..60_000 {
        if rng.random_range(0.0..1.0) < demand_per_s / 1_000.0 {
            let grant = owner.grant(Millis(now), RUN, named(now, per_s), 1);
            granted.extend((0..grant.requests).map(|_| now));
        }
    }
    granted
}

fn worst_window(times: &[u64], span: u64) -> usize {
    let windows = times.iter().enumerate();
    let counts =
        windows.map(|(n, begin)| times[n..].iter().take_while(move |t| **t < begin + span));
    counts.map(Iterator::count).max().unwrap_or(0)
}

// Guards against a sum over all gateways above the limit in some 4 s, also if their
// requests come up to 150 ms closer together than their grants, and against a limit that
// is not used.
#[test]
fn grants_keep_the_limit_in_any_span_and_use_it() {
    for per_s in [
        0.3, 0.5, 0.7, 1.0, 1.8, 2.0, 2.6, 2.9, 5.0, 9.7, 30.0, 100.0,
    ] {
        for seed in 0..10 {
            let mut owner = RateOwner::default();
            let times = grants(&mut owner, per_s, per_s * 4.0 + 2.0, seed);
            let worst = worst_window(&times, 4_150);
            let most = (per_s * 4.0).ceil() as usize;
            assert!(worst <= most, "{per_s} a second, seed {seed}: {worst}");
            let used = times.len() as f64 / 60.0 / per_s;
            // At 0.3 a second, one request in a span is the most that is not too many.
            let least = if per_s < 0.5 { 0.75 } else { 0.8 };
            assert!(used >= least && used <= 1.0, "{per_s}, seed {seed}: {used}");
        }
    }
}

// Guards against callers that are refused although they want less than the limit.
#[test]
fn callers_below_the_limit_are_rarely_refused() {
    for seed in 0..10 {
        let mut owner = RateOwner::default();
        let times = grants(&mut owner, 10.0, 5.0, seed);
        assert!(times.len() >= 270, "seed {seed}: {}", times.len());
    }
}

// Guards against an endpoint that is never asked again whether its limit still holds.
#[test]
fn an_endpoint_that_takes_nothing_gets_one_request_in_4_s() {
    let times = grants(&mut RateOwner::default(), 0.0, 50.0, 1);
    assert!((13..=15).contains(&times.len()), "{times:?}");
    assert_eq!(worst_window(&times, 4_000), 1);
}

// Guards against a new owner that grants a whole span beside the grants of the last one.
#[test]
fn a_new_owner_goes_on_where_the_last_one_stopped() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut owners, mut current) = ([RateOwner::default(), RateOwner::default()], 0);
        let mut times = Vec::new();
        for now in 1..40_000 {
            if rng.random_range(0..2_000) == 0 {
                current = 1 - current;
                owners.iter_mut().for_each(|o| o.set_membership(now));
            }
            let grant = owners[current].grant(Millis(now), RUN, named(now, 5.0), 1);
            times.extend((0..grant.requests).map(|_| now));
        }
        let worst = worst_window(&times, 4_000);
        assert!(worst <= 22, "seed {seed}: {worst}");
        assert!(times.len() >= 100, "seed {seed}: {}", times.len());
    }
}

// Guards against a lower limit that waits, a higher one that counts although a lower one may
// be newer, and one that never counts because some gateway hears seldom.
#[test]
fn the_newest_rate_binds_the_owner_and_the_lower_one_in_doubt() {
    let mut owner = RateOwner::default();
    let mut count = |from: u64, rates: &dyn Fn(u64) -> Vec<NamedRate>| {
        let mut granted = 0;
        for now in from..from + 4_000 {
            for named in rates(now) {
                granted += owner.grant(Millis(now), RUN, named, 1).requests;
            }
        }
        granted
    };
    assert!(count(1_000, &|now| vec![named(now, 50.0)]) >= 160);
    count(5_000, &|now| vec![named(now, 2.0)]);
    assert!(count(9_000, &|now| vec![named(now, 2.0), named(now, 50.0)]) <= 8);
    // One gateway last heard the lower rate at 13 s.
    let old = named(13_000, 2.0);
    count(13_000, &|now| vec![old, named(now, 50.0)]);
    assert!(count(17_000, &|now| vec![old, named(now, 50.0)]) >= 160);
    let all = |now| vec![old, named(now, 50.0), named(now, 1.0)];
    count(21_000, &all);
    assert!(count(25_000, &all) <= 4);
}

// Guards against a limit that ends, or rises, by an old response that overtook a newer one.
#[test]
fn a_limit_ends_or_rises_only_by_a_response_that_is_certainly_newer() {
    let mut notices = Notices::default();
    let named = notices.hear(Millis(100), RUN, &names(5.0), Millis(50));
    assert_eq!(named.limit, Some(LimitChange::Named(rate(5.0))));
    let known = |notices: &Notices| notices.limit(RUN).map(|(rate, _)| rate);
    // Sent before the limit was heard.
    assert_eq!(
        notices
            .hear(Millis(200), RUN, &Notice::default(), Millis(99))
            .limit,
        None
    );
    notices.hear(Millis(210), RUN, &names(9.0), Millis(99));
    assert_eq!(known(&notices), Some(rate(5.0)));
    // A lower one counts whenever it was written.
    notices.hear(Millis(220), RUN, &names(2.0), Millis(10));
    assert_eq!(known(&notices), Some(rate(2.0)));
    let raised = notices.hear(Millis(300), RUN, &names(9.0), Millis(220));
    assert_eq!(raised.limit, Some(LimitChange::Named(rate(9.0))));
    let ended = notices.hear(Millis(400), RUN, &Notice::default(), Millis(300));
    assert_eq!(ended.limit, Some(LimitChange::Ended));
    assert_eq!(notices.permit(Millis(400), RUN), Permit::Now);
}

// Guards against limits without meaning that count as none, or as an end.
#[test]
fn a_limit_that_cannot_be_read_is_one_of_our_own() {
    let invalid = Notice {
        limit: Some(Stated::Invalid),
        invalid: Some("field"),
        ..Notice::default()
    };
    let mut notices = Notices::default();
    let news = notices.hear(Millis(1), RUN, &invalid, Millis(0));
    assert_eq!(news.limit, Some(LimitChange::Named(rate(10.0))));
    assert_eq!(news.invalid, Some("field"));
    let mut notices = Notices::default();
    notices.hear(Millis(1), RUN, &names(2.0), Millis(0));
    notices.hear(Millis(5), RUN, &invalid, Millis(2));
    assert_eq!(notices.limit(RUN).map(|(rate, _)| rate), Some(rate(2.0)));
}

// Guards against requests without a grant, and grants that are used long after the owner
// has counted them.
#[test]
fn requests_need_a_grant_that_is_fresh() {
    let mut notices = Notices::default();
    notices.hear(Millis(0), RUN, &names(5.0), Millis(0));
    assert_eq!(notices.begin(Millis(1), RUN, 3), Permit::Ask);
    notices.begin_wait(RUN);
    let asked = notices.ask(Millis(1), RUN);
    assert_eq!(
        asked.map(|(named, wanted)| (named.rate, wanted)),
        Some((rate(5.0), 1))
    );
    assert_eq!(
        notices.ask(Millis(2), RUN),
        None,
        "the answer is on its way"
    );
    let grant = Grant {
        requests: 2,
        next_in: Millis(180),
    };
    notices.granted(Millis(5), RUN, grant, 3);
    assert_eq!(notices.begin(Millis(6), RUN, 3), Permit::Now);
    assert_eq!(notices.begin(Millis(7), RUN, 3), Permit::Now);
    assert_eq!(notices.begin(Millis(8), RUN, 3), Permit::At(Millis(185)));
    assert_eq!(notices.begin(Millis(185), RUN, 3), Permit::Ask);
    notices.ask(Millis(185), RUN);
    notices.granted(Millis(190), RUN, grant, 2);
    assert_eq!(notices.begin(Millis(295), RUN, 3), Permit::Ask, "expired");
}

// Guards against requests that are counted anew each time that they are woken, so that the
// owner gives grants which nobody uses.
#[test]
fn a_request_that_waits_is_counted_once() {
    let mut notices = Notices::default();
    notices.hear(Millis(0), RUN, &names(5.0), Millis(0));
    let denied = Grant {
        requests: 0,
        next_in: Millis(1),
    };
    notices.begin_wait(RUN);
    notices.begin_wait(RUN);
    for now in (10..200).step_by(10) {
        let asked = notices
            .ask(Millis(now), RUN)
            .expect("no answer is on its way");
        assert_eq!(asked.1, 2);
        assert!(notices.ask(Millis(now + 1), RUN).is_none());
        notices.granted(Millis(now + 2), RUN, denied, 2);
    }
    notices.end_wait(RUN);
    let asked = notices.ask(Millis(300), RUN);
    assert_eq!(asked.map(|(_, wanted)| wanted), Some(1));
}

// Guards against a gateway that can't ask and sends as if it were alone, or nothing.
#[test]
fn a_gateway_that_gets_no_answer_sends_half_of_an_even_share() {
    for gateways in [3, 22, 490] {
        let mut notices = Notices::default();
        notices.hear(Millis(0), RUN, &names(100.0), Millis(0));
        let mut sent = 0;
        for now in 1..60_000 {
            match notices.begin(Millis(now), RUN, gateways) {
                Permit::Now => sent += 1,
                Permit::Ask => {
                    notices.ask(Millis(now), RUN);
                    // As a request that has waited for the answer.
                    notices.unanswered(Millis(now), RUN);
                }
                Permit::At(at) => assert!(at > Millis(now)),
                Permit::Never => panic!("it does not leave"),
            }
        }
        let most = 100 * 60 / 2 / gateways + 1;
        assert!(
            sent <= most && sent * 10 >= most * 7,
            "{gateways}: {sent} of {most}"
        );
    }
}

fn limited(per_s: f64) -> (Control, Arc<NoticeBoard>) {
    let board = Arc::new(NoticeBoard::default());
    let endpoint = registration("e000", 1, &[&model(0)]);
    board.hear(Millis(1), &endpoint, &names(per_s), Millis(0));
    (registered_gateway().with_notices(board.clone()), board)
}

// Guards against two gateways that both take themselves for the owner, or none.
#[test]
fn one_gateway_answers_for_each_endpoint() {
    let run = RunId::new("e000", 1);
    let (mut control, _) = limited(5.0);
    for sender in 1..GATEWAYS {
        let heard = from_peer(sender, 1, Message::Adapters(Vec::new()));
        control.reduce(Millis(10), heard);
    }
    let mut owned = 0;
    for n in 0..GATEWAYS as u64 * 20 {
        let run = RunId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let question = Event::GrantsWanted {
            run,
            named: named(20, 5.0),
            wanted: 1,
        };
        let effects = control.reduce(Millis(20), question);
        let asked = effects
            .iter()
            .any(|e| matches!(e, Effect::Send(_, Message::GrantsWanted { .. })));
        owned += usize::from(!asked);
    }
    assert!((5..=45).contains(&owned), "owns {owned} of 440");
    // A gateway that is not the owner in its own view doesn't answer.
    let question = Message::GrantsWanted {
        run,
        rate: rate(5.0),
        sent_age: Millis(1),
        heard_age: Millis(0),
        wanted: 1,
    };
    let is_owner = control
        .reduce(
            Millis(30),
            Event::GrantsWanted {
                run,
                named: named(30, 5.0),
                wanted: 1,
            },
        )
        .is_empty();
    let effects = control.reduce(Millis(31), from_peer(1, 2, question));
    let answers = effects
        .iter()
        .any(|e| matches!(e, Effect::Send(_, Message::Grants { .. })));
    assert_eq!(answers, is_owner);
}

// Guards against a limit that each gateway has to hear from the endpoint itself, and an end
// that is believed although the limit was named again since.
#[test]
fn gateways_tell_each_other_of_limits_and_their_ends() {
    let run = RunId::new("e000", 1);
    let (mut control, board) = limited(5.0);
    let limit = || board.with(|n| n.limit(run).map(|(rate, _)| rate));
    let told = |rate, age| {
        Message::RateLimits(vec![LimitNews {
            run,
            rate,
            age: Millis(age),
        }])
    };
    control.reduce(Millis(1_000), from_peer(1, 1, told(Some(rate(9.0)), 0)));
    assert_eq!(
        limit(),
        Some(rate(5.0)),
        "a higher one is the endpoint's to say"
    );
    control.reduce(Millis(1_100), from_peer(1, 2, told(Some(rate(2.0)), 0)));
    assert_eq!(limit(), Some(rate(2.0)));
    control.reduce(Millis(1_250), from_peer(1, 3, told(None, 50)));
    assert_eq!(limit(), Some(rate(2.0)), "it may have been named since");
    control.reduce(Millis(2_000), from_peer(1, 4, told(None, 50)));
    assert_eq!(limit(), None);
}

// Guards against placement that takes an endpoint with a low limit for any other.
#[test]
fn placement_knows_of_low_limits() {
    let usability = |per_s| {
        let (mut control, _) = limited(per_s);
        let view = control.view(Millis(10));
        let found = view.endpoints.iter().find(|e| e.registration.id == "e000");
        found.expect("an endpoint").usability
    };
    // Four slots serve about 1.6 requests a second.
    assert_eq!(usability(0.5), Usability::Limited(rate(0.5)));
    assert_eq!(usability(5.0), Usability::Open);
}

/// The models whose load a leader orders within 6 s after an endpoint named a limit, while
/// this many requests a second want each of its two models.
fn loads(limit: f64, demand_per_s: u32) -> Vec<compact_str::CompactString> {
    let board = Arc::new(NoticeBoard::default());
    let limited = registration("e000", 1, &[&model(0), &model(ENGINES)]);
    board.hear(Millis(1), &limited, &names(limit), Millis(0));
    let mut control = elected_leader().with_notices(board);
    let uses = [0, ENGINES].map(|number| ModelUsage {
        service: "s".into(),
        model: model(number),
        milli_per_s: demand_per_s * 1_000,
        took_ms: 500,
    });
    let (mut ordered, mut number) = (Vec::new(), 0);
    for at in (2_000..8_000).step_by(50) {
        number += 1;
        let demand = Message::Demand {
            is_first: true,
            uses: uses.to_vec(),
        };
        control.reduce(Millis(at), from_peer(1, number, demand));
        let mut effects = control.reduce(Millis(at), Event::Tick(Vec::new()));
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::ScheduleDecision => {
                    effects.extend(control.reduce(Millis(at), Event::Decide));
                }
                Effect::CallEngine(EngineCall::Report(endpoint)) => {
                    let number: usize = endpoint[1..].parse().expect("a number");
                    let models = [number, number + ENGINES].map(|held| Resident {
                        model: model(held),
                        adapters: Vec::new(),
                    });
                    let report = Report {
                        started_at: 1,
                        models: models.to_vec(),
                        ..Report::default()
                    };
                    let reported = Event::Reported { endpoint, report };
                    effects.extend(control.reduce(Millis(at), reported));
                }
                Effect::CallEngine(EngineCall::Order { endpoint, order }) => {
                    assert_ne!(endpoint, "e000", "an order to the limited endpoint");
                    ordered.push(order.model);
                }
                _ => {}
            }
        }
    }
    ordered
}

// Guards against a model whose only endpoint takes less than callers want, and that is
// loaded nowhere else.
#[test]
fn models_that_only_a_limited_endpoint_holds_are_loaded_elsewhere_if_it_takes_too_little() {
    let ordered = loads(0.5, 2);
    assert!(
        ordered.contains(&model(0)) && ordered.contains(&model(ENGINES)),
        "{ordered:?}"
    );
}

// Guards against engines that all lose their copies in the plan when they name limits that
// are high enough, so that models displace each other from the few that are left.
#[test]
fn a_limited_endpoint_that_takes_what_callers_want_keeps_its_models() {
    let ordered = loads(1.5, 0);
    assert!(ordered.is_empty(), "{ordered:?}");
}

// Guards against two gateways that each grant the whole limit, as they started when the
// store went away and neither has read the other's registration.
#[test]
fn gateways_that_the_store_did_not_introduce_learn_of_each_other() {
    let mut control = registered_gateway();
    let stranger = Member {
        name: "gw-stranger".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        boot: 1,
    };
    let told = |number| from_peer(1, number, Message::Members(vec![stranger.clone()]));
    control.reduce(Millis(1_000), told(1));
    assert_eq!(control.members().count(), GATEWAYS, "the store answers");
    for is_listed in [true, false] {
        let mut control = registered_gateway();
        control.reduce(Millis(2_000), Event::StoreLost);
        let effects = control.reduce(Millis(2_050), Event::Tick(Vec::new()));
        let is_told = |e: &&Effect| matches!(e, Effect::Send(_, Message::Members(_)));
        assert!(effects.iter().filter(is_told).count() >= 3);
        control.reduce(Millis(2_100), told(2));
        assert_eq!(control.members().count(), GATEWAYS + 1);
        control.reduce(Millis(3_000), Event::StoreAnswered);
        if is_listed {
            control.reduce(Millis(3_100), Event::MemberPut(stranger.clone()));
        }
        for at in [3_200, 9_000] {
            control.reduce(Millis(at), Event::Tick(Vec::new()));
        }
        let expected = GATEWAYS + usize::from(is_listed);
        assert_eq!(control.members().count(), expected, "listed: {is_listed}");
    }
}
