//! Checks, without network, of when a gateway that starts relies on the blocks it knows.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use std::sync::Arc;

use futures_util::FutureExt as _;
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::part_table::{PartLists, PartTable};
use rattanstall::direct::suspects::{Block, BlockCause, BlockState, PartId};
use rattanstall::direct::view::LoadTable;

use fleet::{document, settings};

const NOW: Millis = Millis(5_000);
const PART: PartId = PartId(7);

fn started() -> Control {
    Control::new(Arc::new(settings(0)))
}

fn recorded(blocks: Vec<Block>) -> Event {
    Event::BlocksRecorded {
        revision: blocks.len() as u64,
        blocks,
    }
}

fn tick() -> Event {
    Event::Tick(LoadTable::new())
}

fn are_known(effects: &[Effect]) -> bool {
    effects.iter().any(|e| matches!(e, Effect::BlocksKnown))
}

// Guards against requests with a blocked part that are let in right after a start.
#[test]
fn recorded_blocks_are_published_before_they_count_as_known() {
    let mut control = started();
    assert!(!are_known(
        &control.reduce(NOW, Event::Configuration(document(1)))
    ));
    assert!(!are_known(&control.reduce(NOW, tick())));
    let block = Block {
        part: PART,
        generation: 1,
        state: BlockState::Blocked,
        cause: BlockCause::Operator,
        since: Millis(1_000),
    };
    let mut effects = control.reduce(NOW, recorded(vec![block]));
    // Publications have a shortest interval.
    effects.extend(control.reduce(NOW + Millis(50), tick()));
    let published = effects.iter().position(
        |e| matches!(e, Effect::PublishParts(PartLists { blocked, .. }) if blocked == &[PART]),
    );
    let known = effects
        .iter()
        .position(|e| matches!(e, Effect::BlocksKnown));
    assert!(published.is_some() && published < known, "{effects:?}");
    assert!(!are_known(&control.reduce(NOW + Millis(100), tick())));
}

// Guards against a first start of all gateways that is slowed as nothing is recorded.
#[test]
fn a_record_that_does_not_exist_is_known_at_once() {
    let mut control = started();
    assert!(are_known(&control.reduce(NOW, recorded(Vec::new()))));
}

// Guards against a store that does not answer and keeps gateways out.
#[test]
fn a_gateway_waits_for_the_record_for_a_second() {
    let mut control = started();
    assert!(!are_known(&control.reduce(NOW, tick())));
    let configured = NOW + Millis(3_000);
    let effects = control.reduce(configured, Event::Configuration(document(1)));
    assert!(!are_known(&effects));
    let early = control.reduce(configured + Millis(999), tick());
    assert!(!are_known(&early));
    let due = control.reduce(configured + Millis(1_000), tick());
    assert!(are_known(&due));
    let later = control.reduce(configured + Millis(1_050), recorded(Vec::new()));
    assert!(!are_known(&later));
}

// Guards against requests that go on waiting once the blocks are known.
#[test]
fn the_wait_for_blocks_ends_once_they_are_known() {
    let table = PartTable::default();
    let mut waiting = Box::pin(table.wait_for_blocks());
    assert!(!table.are_blocks_known());
    assert_eq!(waiting.as_mut().now_or_never(), None);
    table.set_blocks_known();
    assert!(table.are_blocks_known());
    assert_eq!(waiting.now_or_never(), Some(()));
    assert_eq!(table.wait_for_blocks().now_or_never(), Some(()));
}
