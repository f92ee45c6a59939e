//! Seeded schedules, without network, of what the gateways tell each other about parts
//! of prompts that end endpoints: datagrams are lost, gateways are lost, restart and are
//! cut off.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/part_fleet.rs"]
mod part_fleet;
#[path = "support/registration.rs"]
mod registration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use rattanstall::clock::Millis;
use rattanstall::direct::block_record;
use rattanstall::direct::suspects::{Block, BlockCause, BlockState, Evidence, PartId};

use part_fleet::{Counts, PartFleet};

/// Ends every endpoint that begins to answer it.
const BAD: PartId = PartId(0xbad);
/// A part of all requests, the sound ones too.
const COMMON: PartId = PartId(0x50);
/// One datagram in this many is lost.
const LOSS: usize = 10;
/// How often a row is sent.
const SENDS: u64 = 3;
/// The time within which a block has to be in force at all gateways.
const BLOCK_TIME: Millis = Millis(1_000);
/// The time within which a gateway has to know the blocks after it has been away.
const RETURN_TIME: Millis = Millis(3_000);

/// Sound requests are answered at random gateways, 50 a second.
fn pass_with_traffic(fleet: &mut PartFleet, span: Millis) {
    for _ in 0..span.0 / 20 {
        let at = fleet.draw(fleet.gateways.len());
        fleet.answer(at, COMMON);
        fleet.run(Millis(20));
    }
}

/// An endpoint ends under a request with the bad part; two sound requests that it was
/// about to answer break with it. No two requests are alike.
fn crash_by(fleet: &mut PartFleet, bad: PartId) {
    let mut parts = Vec::new();
    for leading in [vec![COMMON, bad], vec![COMMON], vec![COMMON]] {
        let own = PartId(fleet.draw(usize::MAX) as u64);
        let at = fleet.draw(fleet.gateways.len());
        parts.push((at, [leading, vec![own]].concat()));
    }
    fleet.crash(&parts);
}

/// Three crashes within half a second.
fn crash_three_times(fleet: &mut PartFleet) {
    for at in 0..3 {
        if at > 0 {
            pass_with_traffic(fleet, Millis(160));
        }
        crash_by(fleet, BAD);
    }
}

/// Guards against a block that some gateways learn late or never, because a datagram was
/// lost: requests with the part would go on ending endpoints there.
#[test]
fn all_gateways_block_a_part_within_a_second_of_the_third_crash() {
    for (gateways, seeds) in [(3, 40), (22, 20), (100, 4)] {
        for seed in 0..seeds {
            let mut fleet = PartFleet::new(seed, gateways, LOSS);
            fleet.store.is_away = true;
            pass_with_traffic(&mut fleet, Millis(1_000));
            crash_three_times(&mut fleet);
            fleet.run(BLOCK_TIME);
            let differing = fleet.differing(&[BAD]);
            assert!(
                differing.is_empty(),
                "{gateways}, seed {seed}: {differing:?}"
            );
        }
    }
}

/// Guards against a block that is lost with the only gateway that saw the crashes.
#[test]
fn a_block_stands_when_the_only_witness_dies() {
    for (gateways, seeds) in [(3, 40), (22, 20), (100, 4)] {
        for seed in 0..seeds {
            let mut fleet = PartFleet::new(seed, gateways, 0);
            fleet.store.is_away = true;
            for _ in 0..3 {
                let own = PartId(fleet.draw(usize::MAX) as u64);
                fleet.crash(&[(0, vec![COMMON, BAD, own])]);
                fleet.answer(1, COMMON);
                fleet.run(Millis(150));
            }
            fleet.kill(0);
            fleet.run(BLOCK_TIME);
            let differing = fleet.differing(&[BAD]);
            assert!(
                differing.is_empty(),
                "{gateways}, seed {seed}: {differing:?}"
            );
        }
    }
}

/// Guards against a block of a sound part because only gateways that saw no crash know
/// that it is answered.
#[test]
fn crashes_of_other_causes_block_no_part_that_was_answered_elsewhere() {
    for (gateways, seeds) in [(3, 40), (22, 20), (100, 4)] {
        for seed in 0..seeds {
            for pause in [Millis::ZERO, Millis(30), Millis(250)] {
                let mut fleet = PartFleet::new(seed, gateways, LOSS);
                let knows = fleet.draw(gateways);
                fleet.answer(knows, COMMON);
                fleet.run(Millis(200));
                for _ in 0..4 {
                    let at = fleet.draw(gateways);
                    fleet.crash(&[(at, vec![COMMON])]);
                    fleet.run(pause);
                }
                fleet.run(BLOCK_TIME);
                let differing = fleet.differing(&[]);
                assert!(
                    differing.is_empty(),
                    "{gateways}, seed {seed}, {pause:?}: {differing:?}"
                );
            }
        }
    }
}

/// Guards against a flood: all gateways of a large fleet answered a part of a crash, and
/// all say so.
#[test]
fn few_gateways_say_that_they_answered_a_part() {
    for (gateways, most_answers) in [(22, 21), (100, 10), (490, 10)] {
        let mut fleet = PartFleet::new(1, gateways, 0);
        for at in 0..gateways {
            fleet.answer(at, COMMON);
        }
        fleet.run(Millis(100));
        fleet.gateways[0].forget_answers();
        fleet.crash(&[(0, vec![COMMON, BAD])]);
        fleet.run(Millis(300));
        let others = gateways as u64 - 1;
        let counts = fleet.counts;
        println!("{gateways} gateways, one crash: {counts:?}");
        assert!(counts.crashes <= SENDS * others, "{counts:?}");
        assert!(
            counts.progress <= SENDS * most_answers * others,
            "{counts:?}"
        );
    }
}

/// Guards against a gateway that comes back after a cut and goes on sending requests with
/// a part that the others blocked meanwhile.
#[test]
fn a_gateway_that_was_cut_off_knows_the_blocks_when_it_is_back() {
    for (gateways, seeds) in [(3, 20), (22, 10), (100, 2)] {
        for seed in 0..seeds {
            // Shorter and longer than its registration lasts.
            for cut in [Millis(900), Millis(2_000), Millis(6_000)] {
                let mut fleet = PartFleet::new(seed, gateways, LOSS);
                fleet.store.is_away = true;
                let away = fleet.draw(gateways);
                fleet.cut_off(away);
                for _ in 0..3 {
                    let at = (away + 1 + fleet.draw(gateways - 1)) % gateways;
                    let own = PartId(fleet.draw(usize::MAX) as u64);
                    fleet.crash(&[(at, vec![BAD, own])]);
                    fleet.run(Millis(150));
                }
                fleet.run(cut);
                assert!(fleet.blocked(away).is_empty(), "it was not cut off");
                fleet.reconnect(away);
                fleet.run(RETURN_TIME);
                let differing = fleet.differing(&[BAD]);
                assert!(
                    differing.is_empty(),
                    "{gateways}, seed {seed}, {cut:?}: {differing:?}"
                );
            }
        }
    }
}

/// Guards against crashes that only a gateway saw that was cut off from the others, but
/// not from the endpoints.
#[test]
fn what_a_gateway_saw_while_it_was_cut_off_reaches_the_others() {
    for (gateways, seeds) in [(3, 20), (22, 10), (100, 2)] {
        for seed in 0..seeds {
            let mut fleet = PartFleet::new(seed, gateways, LOSS);
            fleet.store.is_away = true;
            fleet.cut_off(0);
            for _ in 0..3 {
                fleet.crash(&[(0, vec![BAD])]);
                fleet.run(Millis(150));
            }
            fleet.run(Millis(4_000));
            fleet.reconnect(0);
            fleet.run(RETURN_TIME);
            let differing = fleet.differing(&[BAD]);
            assert!(
                differing.is_empty(),
                "{gateways}, seed {seed}: {differing:?}"
            );
        }
    }
}

/// Guards against a restarted gateway that has forgotten the blocks.
#[test]
fn a_restarted_gateway_knows_the_blocks_before_it_serves_three_seconds() {
    for (gateways, seeds) in [(3, 20), (22, 10), (100, 2)] {
        for seed in 0..seeds {
            // Faster and slower than the others notice.
            for down in [Millis(50), Millis(2_000)] {
                let mut fleet = PartFleet::new(seed, gateways, LOSS);
                fleet.store.is_away = true;
                crash_three_times(&mut fleet);
                fleet.run(BLOCK_TIME);
                let at = fleet.draw(gateways);
                fleet.kill(at);
                fleet.run(down);
                fleet.restart(at);
                assert!(fleet.blocked(at).is_empty(), "it has no memory");
                fleet.run(RETURN_TIME);
                let differing = fleet.differing(&[BAD]);
                assert!(
                    differing.is_empty(),
                    "{gateways}, seed {seed}, {down:?}: {differing:?}"
                );
            }
        }
    }
}

/// Guards against a mass failure, or a caller who invents parts, that fills the network
/// and the other gateways' time with reports.
#[test]
fn reports_of_a_mass_failure_are_bounded() {
    const CRASHES: usize = 64;
    const PARTS: usize = 128;
    for gateways in [22, 100] {
        let mut fleet = PartFleet::new(7, gateways, 0);
        for _ in 0..CRASHES {
            let parts = (0..PARTS).map(|_| PartId(fleet.draw(usize::MAX) as u64));
            let parts: Vec<PartId> = parts.collect();
            fleet.crash(&[(0, parts)]);
        }
        fleet.run(Millis(1_000));
        let others = gateways as u64 - 1;
        let (told, exchanged) = (fleet.counts, fleet.exchanged);
        println!("{gateways} gateways, {CRASHES} crashes: {told:?}, exchanged {exchanged:?}");
        // After a pause, and within a second.
        let bound = (12 + 20) * others;
        assert!(told.crashes <= bound, "{told:?}");
        assert!(told.bytes <= bound * 1_400, "{told:?}");
        // Each gateway tells three others, twice or three times.
        let bound = gateways as u64 * 3 * 3 * 8;
        assert!(exchanged.crashes <= bound, "{exchanged:?}");
        assert!(exchanged.bytes <= bound * 1_400, "{exchanged:?}");
    }
}

/// Guards against gateways that disagree for good because they heard of changes of a
/// block in different orders.
#[test]
fn blocks_merge_to_the_same_state_in_any_order() {
    let mut rng = ChaCha8Rng::seed_from_u64(27);
    let causes = [
        BlockCause::Crashes(vec!["e-1".into()]),
        BlockCause::Crashes(vec!["e-1".into(), "e-2".into()]),
        BlockCause::Progress,
        BlockCause::Operator,
    ];
    for _ in 0..200 {
        let mut draw = |limit: usize| (rng.next_u64() % limit as u64) as usize;
        let blocks = (0..12).map(|_| Block {
            part: PartId(draw(3) as u64),
            generation: draw(4) as u32,
            state: [BlockState::Blocked, BlockState::Lifted][draw(2)],
            cause: causes[draw(causes.len())].clone(),
            since: Millis(0),
        });
        let mut blocks: Vec<Block> = blocks.collect();
        let mut states = Vec::new();
        for _ in 0..5 {
            for at in (1..blocks.len()).rev() {
                blocks.swap(at, draw(at + 1));
            }
            let mut evidence = Evidence::default();
            for block in &blocks {
                evidence.merge_block(Millis(1_000), block);
            }
            states.push(evidence.blocks(Millis(1_000)));
        }
        states.dedup();
        assert_eq!(states.len(), 1, "{states:?}");
    }
}

/// Guards against blocks that are lost when all gateways restart at once, and against
/// gateways that all write to the store.
#[test]
fn blocks_outlive_a_restart_of_all_gateways() {
    for (gateways, seeds) in [(3, 20), (22, 10), (100, 2)] {
        for seed in 0..seeds {
            let mut fleet = PartFleet::new(seed, gateways, LOSS);
            crash_three_times(&mut fleet);
            fleet.run(BLOCK_TIME);
            fleet.restart_all();
            fleet.run(Millis(100));
            let differing = fleet.differing(&[BAD]);
            assert!(
                differing.is_empty(),
                "{gateways}, seed {seed}: {differing:?}"
            );
            fleet.run(Millis(20_000));
            // Three crashes with three witnesses each.
            let (attempts, writes) = (fleet.store.attempts, fleet.store.writes);
            assert!(
                attempts <= 10,
                "{gateways}, seed {seed}: {attempts} attempts"
            );
            assert!(writes <= 3, "{gateways}, seed {seed}: {writes} writes");
        }
    }
}

/// Guards against a block that is never recorded: the store is away when it is decided,
/// or the gateways that decided it are lost.
#[test]
fn a_block_is_recorded_later_if_the_store_or_its_witness_is_lost() {
    for (gateways, seeds) in [(3, 20), (22, 5)] {
        for seed in 0..seeds {
            for is_store_away in [true, false] {
                let mut fleet = PartFleet::new(seed, gateways, LOSS);
                fleet.store.is_away = is_store_away;
                for _ in 0..3 {
                    fleet.crash(&[(0, vec![BAD])]);
                    fleet.run(Millis(150));
                    if fleet.store.writes > 0 {
                        break;
                    }
                }
                if !is_store_away {
                    fleet.store.forget();
                    fleet.kill(0);
                }
                fleet.run(Millis(3_000));
                fleet.bring_store_back();
                // Each gateway that ranks later waits longer.
                fleet.run(Millis(4_000));
                assert_eq!(fleet.store.writes, 1, "{gateways}, seed {seed}");
                fleet.restart_all();
                fleet.run(Millis(100));
                let differing = fleet.differing(&[BAD]);
                assert!(
                    differing.is_empty(),
                    "{gateways}, seed {seed}: {differing:?}"
                );
            }
        }
    }
}

/// Guards against a record that one unknown entry makes unreadable, and against blocks
/// that seem new again after a restart.
#[test]
fn the_record_of_blocks_keeps_ages_and_skips_unknown_entries() {
    let block = Block {
        part: BAD,
        generation: 3,
        state: BlockState::Blocked,
        cause: BlockCause::Crashes(vec!["e-1".into()]),
        since: Millis(5_000),
    };
    let value = block_record::encode(Millis(70_000), std::slice::from_ref(&block)).unwrap();
    let aged = Block {
        since: Millis(9_000),
        ..block.clone()
    };
    let decoded = block_record::decode(Millis(74_000), &value).unwrap();
    assert_eq!(decoded, [aged]);
    // The reader's clock may be behind.
    let decoded = block_record::decode(Millis(60_000), &value).unwrap();
    assert_eq!(decoded, std::slice::from_ref(&block));
    let text = String::from_utf8(value.to_vec()).unwrap();
    let with_unknown = text.replace("\"blocks\":[", "\"blocks\":[{\"state\":\"Frozen\"},");
    assert_ne!(with_unknown, text);
    let decoded = block_record::decode(Millis(70_000), with_unknown.as_bytes()).unwrap();
    assert_eq!(decoded, [block]);
    assert!(block_record::decode(Millis(70_000), b"{").is_err());
}

/// Guards against gateways that tell each other the same evidence twice a second as long
/// as it counts, which is a day.
#[test]
fn gateways_that_learn_nothing_new_exchange_little() {
    const GATEWAYS: u64 = 22;
    let mut fleet = PartFleet::new(27, GATEWAYS as usize, LOSS);
    crash_three_times(&mut fleet);
    fleet.run(Millis(60_000));
    fleet.exchanged = Counts::default();
    fleet.run(Millis(20_000));
    // Each tells three others at most three times in 20 s.
    let told = fleet.exchanged.blocks;
    assert!((1..=GATEWAYS * 9).contains(&told), "{told} times");
    let differing = fleet.differing(&[BAD]);
    assert!(differing.is_empty(), "{differing:?}");
}
