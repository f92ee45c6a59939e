//! Reads a prefix of the store and watches it from there.

use std::rc::Rc;

use tokio::time::{sleep, timeout};

use super::{Follower, Pace};
use crate::clock::Millis;
use crate::direct::control::{Event, Pauses};
use crate::direct::dialect::StoreError;
use crate::direct::queue::EventSender;
use crate::direct::store::Store;
use crate::journal;

/// Bounds of the delay after a failed call. It ends early when the store answers another
/// call: renewals of the lease, which cost it least, are tried more often.
const MIN_RETRY_DELAY: Millis = Millis(50);
const MAX_RETRY_DELAY: Millis = Millis(1_600);
/// The delay is kept for one in this many parts of it in any case.
const LEAST_DELAY_DIVISOR: u64 = 4;

/// Interval between checks whether changes are still relayed: several checks fit the
/// time for which the leader's last update is valid.
const RELAY_POLL_INTERVAL: Millis = Millis(100);

/// Follows a prefix until the process ends: reads a full list, watches from its
/// revision, and reads a new list whenever a watch fails.
pub async fn follow<F: Follower>(
    store: Rc<Store>,
    events: EventSender,
    pace: Rc<Pace>,
    follower: F,
) {
    let prefix = follower.prefix(&store);
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let mut page = match store.read_range(&prefix).await {
            Ok(page) => page,
            Err(error) => {
                log_failure(&prefix, "read", &error);
                if error == StoreError::Overtaken {
                    continue;
                }
                events.send(Event::StoreLost);
                wait_for_return(&store, retry_delay, pace.get()).await;
                retry_delay = Millis((retry_delay.0 * 2).min(MAX_RETRY_DELAY.0));
                continue;
            }
        };
        events.send(Event::StoreAnswered);
        let revision = page.revision;
        if revision < follower.known_revision() {
            // This list is older than the changes that the leader has relayed.
            sleep(MIN_RETRY_DELAY.as_duration()).await;
            continue;
        }
        retry_delay = MIN_RETRY_DELAY;
        page.items.retain(|i| follower.follows(&store, &i.key));
        for event in follower.on_list(&store, page) {
            events.send(event);
        }
        if let Some(event) = follower.on_caught_up(revision, true) {
            events.send(event);
        }
        watch(&store, &events, &pace, &follower, &prefix, revision).await;
        sleep(MIN_RETRY_DELAY.as_duration()).await;
    }
}

/// Waits before a failed read is repeated: until the delay is over or, after a part of it,
/// the store answers another call. All gateways notice that at about the same time.
async fn wait_for_return(store: &Store, delay: Millis, pauses: Pauses) {
    let least = Millis(delay.0 / LEAST_DELAY_DIVISOR);
    sleep(least.as_duration()).await;
    let rest = delay.since(least).as_duration();
    if timeout(rest, store.answered()).await.is_ok() {
        let spread = rand::random_range(0..=pauses.return_spread.0);
        sleep(Millis(spread).as_duration()).await;
    }
}

async fn watch<F: Follower>(
    store: &Store,
    events: &EventSender,
    pace: &Pace,
    follower: &F,
    prefix: &str,
    mut revision: u64,
) {
    loop {
        if let Some(relayed) = follower.relayed_up_to(revision) {
            revision = relayed;
            sleep(RELAY_POLL_INTERVAL.as_duration()).await;
            continue;
        }
        let wait = follower.watch_timeout(pace.get());
        match store.watch(prefix, revision, wait).await {
            Ok(mut page) => {
                revision = page.revision.max(revision);
                page.items.retain(|i| follower.follows(store, &i.key));
                let known = follower.known_revision();
                page.items.retain(|i| i.revision > known);
                for event in follower.on_changes(store, page.items, revision) {
                    events.send(event);
                }
                if let Some(event) = follower.on_caught_up(revision, false) {
                    events.send(event);
                }
                sleep(follower.pause(pace.get()).as_duration()).await;
            }
            Err(error) => {
                log_failure(prefix, "watch", &error);
                // The store has the changes since that revision: no new list is needed.
                if error != StoreError::Overtaken {
                    return;
                }
            }
        }
    }
}

fn log_failure(prefix: &str, what: &str, error: &StoreError) {
    journal::write(
        "store.call_failed",
        &[
            ("call", what.into()),
            ("prefix", prefix.into()),
            ("error", (&error.to_string()).into()),
        ],
    );
}
