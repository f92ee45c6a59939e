//! What one gateway concludes from reports of crashes, answers and blocks, without
//! network.

#[path = "support/suspect_fleet.rs"]
#[allow(dead_code)]
mod suspect_fleet;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use rattanstall::clock::Millis;
use rattanstall::direct::suspects::{
    Block, BlockCause, BlockState, CrashReport, Evidence, MAX_CRASH_PARTS, PartId, PartProgress,
};

use suspect_fleet::{draw, report};

const SEED: u64 = 27;
const POPULAR: PartId = PartId(1);
const CRASHING: PartId = PartId(901);

/// One report, answer or block of one gateway, as all others get it.
#[derive(Clone, Debug)]
enum News {
    Crash(Millis, CrashReport),
    Progress(Millis, PartProgress),
    Block(Millis, Block),
}

/// What a gateway knows after it got all news, each at its time or later in any order.
fn state_after(news: &[News]) -> (Vec<PartId>, Vec<PartId>, Vec<Block>) {
    let now = Millis(60_000);
    let mut evidence = Evidence::default();
    for one in news {
        match one {
            News::Crash(at, report) => {
                let age = now.since(*at);
                let report = CrashReport {
                    age,
                    ..report.clone()
                };
                evidence.record_crash(now, &report);
            }
            News::Progress(at, progress) => {
                let age = now.since(*at);
                evidence.record_progress(now, PartProgress { age, ..*progress });
            }
            News::Block(at, block) => {
                let since = now.since(*at);
                let block = Block {
                    since,
                    ..block.clone()
                };
                evidence.merge_block(now, &block);
            }
        }
    }
    evidence.decide(now);
    (evidence.blocked(), evidence.watched(), evidence.blocks(now))
}

/// Regression: gateways that got the same news in another order decided differently.
#[test]
fn the_order_of_news_does_not_matter() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED + seed);
        let part = |rng: &mut ChaCha8Rng| PartId(draw(rng, 6));
        let mut news = Vec::new();
        for _ in 0..4 + draw(&mut rng, 12) {
            let at = Millis(draw(&mut rng, 5_000));
            let one = match draw(&mut rng, 8) {
                0..5 => {
                    let parts: Vec<PartId> =
                        (0..1 + draw(&mut rng, 3)).map(|_| part(&mut rng)).collect();
                    News::Crash(at, report(draw(&mut rng, 6), Millis::ZERO, &parts))
                }
                5..7 => News::Progress(
                    at,
                    PartProgress {
                        part: part(&mut rng),
                        age: Millis::ZERO,
                    },
                ),
                _ => News::Block(
                    at,
                    Block {
                        part: PartId(10 + draw(&mut rng, 2)),
                        generation: 1 + draw(&mut rng, 3) as u32,
                        state: BlockState::Blocked,
                        cause: [BlockCause::Progress, BlockCause::Operator]
                            [draw(&mut rng, 2) as usize]
                            .clone(),
                        since: Millis::ZERO,
                    },
                ),
            };
            news.push(one);
        }
        let expected = state_after(&news);
        for _ in 0..4 {
            for at in (1..news.len()).rev() {
                news.swap(at, draw(&mut rng, at as u64 + 1) as usize);
            }
            let doubled: Vec<News> = news.iter().chain(&news).cloned().collect();
            assert_eq!(state_after(&news), expected, "seed {seed}");
            assert_eq!(state_after(&doubled), expected, "seed {seed}");
        }
    }
}

fn progress(part: PartId, age: u64) -> PartProgress {
    PartProgress {
        part,
        age: Millis(age),
    }
}

/// A gateway that has seen three endpoints end under parts, 200 ms apart from each
/// other; the last one at the time returned.
fn accused_of(parts: &[PartId]) -> (Millis, Evidence) {
    let mut evidence = Evidence::default();
    for run in 0..3 {
        let now = Millis(1_000 + run * 200);
        evidence.record_crash(now, &report(run, Millis::ZERO, parts));
        assert_eq!(
            evidence.decide(now).len(),
            if run < 2 { 0 } else { parts.len() }
        );
    }
    (Millis(1_400), evidence)
}

/// Guards against: an answer that got under way before the last crash lifted the block.
#[test]
fn only_an_answer_after_the_last_crash_lifts_a_block() {
    let part = CRASHING;
    let (now, mut evidence) = accused_of(&[part]);
    evidence.record_progress(now, progress(part, 1));
    assert_eq!(evidence.blocked(), [part]);
    evidence.record_progress(now + Millis(50), progress(part, 0));
    assert!(evidence.blocked().is_empty());
    // The crashes before the answer count no more.
    for run in 10..12 {
        let now = Millis(run * 1_000);
        evidence.record_crash(now, &report(run, Millis::ZERO, &[part]));
        assert!(evidence.decide(now).is_empty());
    }
}

/// Regression: an operator's decision was undone by gateways that did not know it yet.
#[test]
fn an_operators_decision_wins_over_those_of_gateways_in_any_order() {
    let part = CRASHING;
    let (now, mut one) = accused_of(&[part]);
    let (_, mut other) = accused_of(&[part]);
    let block = one.set_by_operator(now, part, BlockState::Blocked);
    // Meanwhile the other gateway has lifted, set and lifted its block.
    other.record_progress(now, progress(part, 0));
    let mut later = now;
    for run in 10..20 {
        later = later + Millis(50);
        other.record_crash(later, &report(run, Millis::ZERO, &[part]));
        other.decide(later + Millis(300));
    }
    assert_eq!(other.blocked(), [part]);
    other.record_progress(later, progress(part, 0));
    assert!(other.blocked().is_empty());
    let now = later;
    let lifted = other.blocks(now);
    for lifted in &lifted {
        assert!(!one.merge_block(now + Millis(31), lifted));
    }
    assert!(other.merge_block(now + Millis(31), &block));
    one.record_progress(now + Millis(40), progress(part, 0));
    other.record_progress(now + Millis(40), progress(part, 0));
    assert_eq!((one.blocked(), other.blocked()), (vec![part], vec![part]));
    // An operator's end of the block makes the crashes so far count no more, everywhere.
    let lifted = one.set_by_operator(now + Millis(50), part, BlockState::Lifted);
    assert!(other.merge_block(now + Millis(51), &lifted));
    let later = now + Millis(500);
    assert!(one.decide(later).is_empty() && other.decide(later).is_empty());
    assert!(one.blocked().is_empty() && other.blocked().is_empty());
    // Later ones do, as after an answer.
    for run in 20..25 {
        let report = report(run, Millis::ZERO, &[part]);
        one.record_crash(now + Millis(run * 1_000), &report);
    }
    assert_eq!(one.decide(now + Millis(24_500)).len(), 1);
}

/// Regression: the time of an answer moved on while gateways exchanged it, and cleared
/// crashes that came after it.
#[test]
fn answers_do_not_get_younger_when_they_are_passed_on() {
    let part = CRASHING;
    let mut gateways = [
        Evidence::default(),
        Evidence::default(),
        Evidence::default(),
    ];
    gateways[0].record_progress(Millis(1_000), progress(part, 0));
    let mut now = Millis(1_000);
    let exchange = |gateways: &mut [Evidence], now: &mut Millis| {
        for from in 0..gateways.len() {
            let snapshot = gateways[from].snapshot(*now);
            *now = *now + Millis(100);
            let to = (from + 1) % gateways.len();
            for one in snapshot.crashes {
                gateways[to].record_crash(*now, &one);
            }
            for one in snapshot.progress {
                gateways[to].record_progress(*now, one);
            }
        }
    };
    exchange(&mut gateways, &mut now);
    gateways[0].record_crash(now, &report(1, Millis::ZERO, &[part]));
    for _ in 0..100 {
        exchange(&mut gateways, &mut now);
    }
    for gateway in &gateways {
        assert_eq!(gateway.watched(), [part]);
    }
}

/// Regression: a gateway that had been cut off made parts suspect again that others had
/// seen answered.
#[test]
fn late_reports_do_not_revive_cleared_parts() {
    let part = CRASHING;
    let mut evidence = Evidence::default();
    for run in 0..3 {
        let now = Millis(run * 1_000);
        evidence.record_crash(now, &report(run, Millis::ZERO, &[part]));
        evidence.record_progress(now + Millis(500), progress(part, 0));
    }
    let now = Millis(3_600_000);
    evidence.expire(now);
    for run in 0..3 {
        let age = now.since(Millis(run * 1_000));
        evidence.record_crash(now, &report(run, age, &[part]));
    }
    assert!(evidence.decide(now).is_empty());
    assert!(evidence.watched().is_empty());
}

/// Guards against: a gateway that had just started could not tell times before its start.
#[test]
fn crashes_before_a_gateways_start_count() {
    let part = CRASHING;
    let mut evidence = Evidence::default();
    let now = Millis(5);
    evidence.record_progress(now, progress(part, 9_000));
    for (run, age) in [
        (1, 10_000),
        (2, 7_200_000),
        (3, 8_000),
        (4, 4_000),
        (5, 2_000),
    ] {
        evidence.record_crash(now, &report(run, Millis(age), &[part]));
    }
    // Answered before three of the crashes, and after the others.
    assert_eq!(evidence.snapshot(now).crashes.len(), 3);
    assert!(evidence.decide(now).is_empty());
    for (run, age) in [(6, 1_500), (7, 1_000)] {
        evidence.record_crash(now, &report(run, Millis(age), &[part]));
    }
    assert_eq!(evidence.decide(now).len(), 1);
}

/// Regression: a part that had been answered for hours was never blocked.
#[test]
fn a_part_that_was_answered_before_is_blocked_after_five_crashes() {
    let part = CRASHING;
    let mut evidence = Evidence::default();
    let mut crashes = 0;
    evidence.record_progress(Millis(3_600_000), progress(part, 0));
    while evidence.blocked().is_empty() {
        let now = Millis(3_600_100 + crashes * 300);
        evidence.record_crash(now, &report(crashes, Millis::ZERO, &[part]));
        evidence.decide(now);
        crashes += 1;
    }
    assert_eq!(crashes, 5);
}

/// Regression: of parts in the same crashes, the one that was answered shortly before
/// was blocked as well.
#[test]
fn a_part_without_answers_is_blocked_before_one_with_answers() {
    let mut evidence = Evidence::default();
    evidence.record_progress(Millis(900), progress(POPULAR, 0));
    for run in 0..9 {
        let parts = [POPULAR, CRASHING];
        evidence.record_crash(
            Millis(1_000 + run * 200),
            &report(run, Millis::ZERO, &parts),
        );
    }
    evidence.decide(Millis(5_000));
    assert_eq!(evidence.blocked(), [CRASHING]);
}

/// Regression: a sound part that had come with the crashing one stayed blocked for good.
#[test]
fn a_trial_frees_a_part_that_was_blocked_together_with_another() {
    let (guilty, sound) = (CRASHING, PartId(100));
    let (start, mut evidence) = accused_of(&[guilty, sound]);
    assert!(evidence.grant_trials(start + Millis(9_000)).is_empty());
    let now = start + Millis(10_000);
    let granted = evidence.grant_trials(now);
    assert_eq!(granted.len(), 2);
    evidence.record_progress(now + Millis(300), progress(sound, 0));
    evidence.record_crash(now + Millis(400), &report(9, Millis::ZERO, &[guilty]));
    evidence.decide(now + Millis(1_000));
    assert_eq!(evidence.blocked(), [guilty]);
    // At most one trial for good, at this gateway and at those that know of it.
    let mut other = Evidence::default();
    for block in &granted {
        other.merge_block(now, block);
    }
    for at in [20_000, 700_000, 86_400_000].map(Millis) {
        assert!(evidence.grant_trials(start + at).is_empty());
        assert!(other.grant_trials(start + at).is_empty());
    }
}

/// Regression: callers choose identifiers, so tables grew without bound.
#[test]
fn callers_that_invent_parts_fill_no_more_than_the_tables() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut evidence = Evidence::default();
    for run in 0..1_000 {
        let now = Millis(1_000 + run * 130);
        let parts: Vec<PartId> = (0..120).map(|_| PartId(draw(&mut rng, u64::MAX))).collect();
        evidence.record_crash(now, &report(run, Millis::ZERO, &parts));
        for part in &parts[..10] {
            let age = draw(&mut rng, 100);
            evidence.record_progress(now, progress(*part, age));
        }
        if run % 50 > 0 {
            continue;
        }
        evidence.decide(now);
        let snapshot = evidence.snapshot(now);
        assert!(snapshot.crashes.len() <= 512 && snapshot.progress.len() <= 4_096);
        assert!(evidence.watched().len() <= 512 * MAX_CRASH_PARTS);
    }
    for id in 0..2_000 {
        evidence.set_by_operator(Millis(300_000), PartId(id), BlockState::Blocked);
    }
    assert_eq!(evidence.blocks(Millis(300_000)).len(), 512);
}

/// Regression: prompts of a hundred parts hid the crashing one.
#[test]
fn a_part_is_found_among_prompts_of_a_hundred_parts() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED + seed);
        let mut evidence = Evidence::default();
        let mut crashes = 0;
        let mut named = 0;
        while evidence.blocked().is_empty() {
            let now = Millis(1_000 + crashes * 300);
            let mut parts: Vec<PartId> = (0..300)
                .map(|_| PartId(1_000 + draw(&mut rng, u64::MAX / 2)))
                .collect();
            // The gateway that sent the crashing request reports it first or last.
            let at = [0, 300][usize::from(crashes > 0)];
            parts.insert(at, CRASHING);
            evidence.record_crash(now, &report(crashes, Millis::ZERO, &parts));
            evidence.decide(now);
            crashes += 1;
            named += evidence.watched().len();
        }
        assert_eq!(evidence.blocked(), [CRASHING]);
        assert_eq!(crashes, 3);
        assert!(named > 0);
    }
}
