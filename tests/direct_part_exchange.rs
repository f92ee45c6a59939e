//! Seeded schedules, without network, of what the gateways tell each other about parts
//! of prompts that end endpoints: datagrams are lost, gateways are lost, restart and are
//! cut off.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/part_fleet.rs"]
mod part_fleet;
#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::suspects::PartId;

use part_fleet::PartFleet;

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
