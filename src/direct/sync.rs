//! Following the platform's store: configuration and registrations.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use super::control::{Event, LeaderRecord};
use super::dialect::{Item, Page, StoreError};
use super::members::Member;
use super::store::Store;
use crate::clock::{Clock, Millis};
use crate::journal;

/// How long one watch waits. Each waiting watch counts as one call; a silent
/// connection is noticed by its keep-alive before that.
const WATCH_TIMEOUT: Millis = Millis(10_000);
/// Pause after a failed reading, and its longest: readings of all gateways
/// after an outage stay below the store's rate.
const MIN_RETRY_DELAY: Millis = Millis(50);
const MAX_RETRY_DELAY: Millis = Millis(400);

/// Time between two looks at whether changes still come by another way: several
/// in the time for which the leader's last message counts.
const RELAY_POLL_INTERVAL: Millis = Millis(100);

/// What is done with what is read.
pub trait Follower {
    /// The prefix that is followed.
    fn prefix(&self, store: &Store) -> CompactString;
    /// Takes in a whole reading.
    fn on_list(&self, store: &Store, page: Page) -> Vec<Event>;
    /// Takes in one change.
    fn on_change(&self, store: &Store, item: Item) -> Option<Event>;
    /// What to tell once all changes up to a revision are taken in, by a whole
    /// reading or by a watch.
    fn on_caught_up(&self, _revision: u64, _is_full_list: bool) -> Option<Event> {
        None
    }
    /// The revision up to which changes come by another way, if that goes at
    /// least as far as a revision: the store need not be watched then.
    fn relayed_up_to(&self, _revision: u64) -> Option<u64> {
        None
    }
    /// The revision up to which changes are known by another way: an answer of the
    /// store that took long may be older.
    fn known_revision(&self) -> u64 {
        0
    }
    /// The changes of one answer that matter, in their order.
    fn relevant_changes(&self, items: Vec<Item>) -> Vec<Item> {
        items
    }
}

/// Follows the operator's configuration.
pub struct ConfigurationFollower;

impl ConfigurationFollower {
    fn decode(store: &Store, item: &Item) -> Option<Event> {
        let value = item.value.as_ref()?;
        match store.dialect().decode_configuration(value) {
            Ok(mut document) => {
                document.raw = value.clone();
                Some(Event::Configuration(Arc::new(document)))
            }
            Err(error) => {
                log_skipped(&item.key, &error);
                None
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    fn prefix(&self, store: &Store) -> CompactString {
        store.dialect().configuration_key().into()
    }

    fn on_list(&self, store: &Store, page: Page) -> Vec<Event> {
        let items = page.items.iter();
        items.filter_map(|item| Self::decode(store, item)).collect()
    }

    fn on_change(&self, store: &Store, item: Item) -> Option<Event> {
        Self::decode(store, &item)
    }

    /// Each version is complete, so that only the newest one is worth decoding:
    /// a gateway that is behind in a storm of large versions catches up.
    fn relevant_changes(&self, items: Vec<Item>) -> Vec<Item> {
        items
            .into_iter()
            .max_by_key(|i| i.revision)
            .into_iter()
            .collect()
    }
}

/// How far the leader relays the registrations, for the follower.
#[derive(Debug, Default)]
pub struct RelayProgress(Cell<Option<(u64, Millis)>>);

impl RelayProgress {
    /// Notes the revision up to which they are relayed, and until when.
    pub fn set(&self, relayed: Option<(u64, Millis)>) {
        self.0.set(relayed);
    }

    /// The revision up to which changes came this way; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.0.get().map_or(0, |(revision, _)| revision)
    }
}

/// Follows the endpoints' registrations.
pub struct RegistrationFollower {
    /// How far the leader relays them.
    pub relay: Rc<RelayProgress>,
    /// The process's clock.
    pub clock: Clock,
}

impl Follower for RegistrationFollower {
    fn on_caught_up(&self, revision: u64, is_full_list: bool) -> Option<Event> {
        Some(Event::RegistryRead {
            revision,
            is_full_list,
        })
    }

    fn known_revision(&self) -> u64 {
        self.relay.revision()
    }

    fn relayed_up_to(&self, revision: u64) -> Option<u64> {
        let (relayed, until) = self.relay.0.get()?;
        (relayed >= revision && self.clock.now() < until).then_some(relayed)
    }

    fn prefix(&self, store: &Store) -> CompactString {
        store.dialect().registrations_prefix().into()
    }

    fn on_list(&self, store: &Store, page: Page) -> Vec<Event> {
        let mut all = Vec::new();
        for item in &page.items {
            match store.dialect().decode_registration(item) {
                Ok(registration) => all.push(registration),
                Err(error) => log_skipped(&item.key, &error),
            }
        }
        vec![Event::Registrations(all)]
    }

    fn on_change(&self, store: &Store, item: Item) -> Option<Event> {
        let id = item
            .key
            .strip_prefix(store.dialect().registrations_prefix());
        let id = CompactString::from(id.unwrap_or(&item.key));
        if item.value.is_none() {
            return Some(Event::Deregistered(id));
        }
        match store.dialect().decode_registration(&item) {
            Ok(registration) => Some(Event::Registered(registration)),
            // An entry that cannot be used names no endpoint.
            Err(error) => {
                log_skipped(&item.key, &error);
                Some(Event::Deregistered(id))
            }
        }
    }
}

/// The prefix of what the gateways keep in the store.
pub const FLEET_PREFIX: &str = "rattanstall/";
/// The prefix of the gateways' leased registrations.
pub const MEMBER_PREFIX: &str = "rattanstall/gateways/";
/// The key of the leader.
pub const LEADER_KEY: &str = "rattanstall/leader";
/// The key of the fleet's secret.
pub const SECRET_KEY: &str = "rattanstall/secret";

/// Follows the gateways' registrations and the leader's key.
pub struct FleetFollower;

impl FleetFollower {
    fn decode_member(item: &Item) -> Option<Member> {
        let value = item.value.as_ref()?;
        match serde_json::from_slice(value) {
            Ok(member) => Some(member),
            Err(error) => {
                log_skipped(&item.key, &error.to_string());
                None
            }
        }
    }

    fn decode_leader(item: &Item) -> Option<LeaderRecord> {
        let value = item.value.as_ref()?;
        Some(LeaderRecord {
            holder: String::from_utf8_lossy(value).as_ref().into(),
            revision: item.revision,
        })
    }
}

impl Follower for FleetFollower {
    fn prefix(&self, _store: &Store) -> CompactString {
        FLEET_PREFIX.into()
    }

    fn on_list(&self, _store: &Store, page: Page) -> Vec<Event> {
        let members = page.items.iter();
        let members = members.filter(|item| item.key.starts_with(MEMBER_PREFIX));
        let members = members.filter_map(Self::decode_member).collect();
        let leader = page.items.iter().find(|item| item.key == LEADER_KEY);
        vec![
            Event::Members(members),
            Event::LeaderKey(leader.and_then(Self::decode_leader)),
        ]
    }

    fn on_change(&self, _store: &Store, item: Item) -> Option<Event> {
        if item.key == LEADER_KEY {
            return Some(Event::LeaderKey(Self::decode_leader(&item)));
        }
        let name = item.key.strip_prefix(MEMBER_PREFIX)?;
        match item.value {
            Some(_) => Self::decode_member(&item).map(Event::MemberPut),
            None => Some(Event::MemberRemoved(name.into())),
        }
    }
}

fn log_skipped(key: &str, error: &str) {
    journal::write(
        "store.entry_skipped",
        &[("key", key.into()), ("why", error.into())],
    );
}

/// Follows a prefix for as long as the process runs: a reading, then watches
/// from its revision; a new reading whenever a watch cannot go on.
pub async fn follow<F: Follower>(store: Rc<Store>, events: UnboundedSender<Event>, follower: F) {
    let prefix = follower.prefix(&store);
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let page = match store.read_range(&prefix).await {
            Ok(page) => page,
            Err(error) => {
                log_failure(&prefix, "read", &error);
                send(&events, Event::StoreLost);
                sleep(retry_delay.as_duration()).await;
                retry_delay = Millis((retry_delay.0 * 2).min(MAX_RETRY_DELAY.0));
                continue;
            }
        };
        send(&events, Event::StoreAnswered);
        let revision = page.revision;
        if revision < follower.known_revision() {
            sleep(MIN_RETRY_DELAY.as_duration()).await;
            continue;
        }
        retry_delay = MIN_RETRY_DELAY;
        for event in follower.on_list(&store, page) {
            send(&events, event);
        }
        if let Some(event) = follower.on_caught_up(revision, true) {
            send(&events, event);
        }
        watch(&store, &events, &follower, &prefix, revision).await;
    }
}

async fn watch<F: Follower>(
    store: &Store,
    events: &UnboundedSender<Event>,
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
        match store.watch(prefix, revision, WATCH_TIMEOUT).await {
            Ok(page) => {
                revision = page.revision.max(revision);
                let known = follower.known_revision();
                let items = follower.relevant_changes(page.items);
                for item in items.into_iter().filter(|i| i.revision > known) {
                    if let Some(event) = follower.on_change(store, item) {
                        send(events, event);
                    }
                }
                if let Some(event) = follower.on_caught_up(revision, false) {
                    send(events, event);
                }
            }
            Err(error) => {
                log_failure(prefix, "watch", &error);
                return;
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

fn send(events: &UnboundedSender<Event>, event: Event) {
    // Fails only while the process ends, when nobody decides any more.
    let _ = events.send(event);
}
