//! Lists and watches of the platform's store: configuration, registrations and leader key.

mod follow;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::{CompactString, format_compact};

pub use follow::follow;

use super::control::{Event, LeaderRecord, Pauses};
use super::dialect::{Item, Page};
use super::members::Member;
use super::membership::registration::Seen;
use super::store::Store;
use super::version_record::VersionRecord;
use super::{block_record, version_record};
use crate::clock::{Clock, Millis, unix_now};
use crate::journal;

/// How long a watch call waits for changes. A waiting watch counts as one call. A
/// dead connection is detected earlier, by its keep-alive.
pub const WATCH_TIMEOUT: Millis = Millis(10_000);

/// Converts the items under a prefix of the store to events.
pub trait Follower {
    /// The prefix to follow.
    fn prefix(&self, store: &Store) -> CompactString;
    /// Whether a key under the prefix is one that is followed.
    fn follows(&self, _store: &Store, _key: &str) -> bool {
        true
    }
    /// Converts a full list.
    fn on_list(&self, store: &Store, page: Page) -> Vec<Event>;
    /// Converts one change.
    fn on_change(&self, store: &Store, item: Item) -> Option<Event>;
    /// The event to send after all changes up to a revision, from a full list or from
    /// a watch.
    fn on_caught_up(&self, _revision: u64, _is_full_list: bool) -> Option<Event> {
        None
    }
    /// The revision up to which other gateways tell changes, if that is at least the
    /// given one: the store need not be watched then.
    fn relayed_up_to(&self, _revision: u64) -> Option<u64> {
        None
    }
    /// The revision up to which relayed changes are known. A slow response from the
    /// store may be older.
    fn known_revision(&self) -> u64 {
        0
    }
    /// The pause between a response to a watch and the next watch.
    fn pause(&self, _pauses: Pauses) -> Millis {
        Millis::ZERO
    }
    /// How long a watch waits for changes.
    fn watch_timeout(&self, _pauses: Pauses) -> Millis {
        WATCH_TIMEOUT
    }
    /// The changes of one response that have to be processed, in their order.
    fn relevant_changes(&self, items: Vec<Item>) -> Vec<Item> {
        items
    }
    /// Converts the changes of one response, which contains all up to a revision.
    fn on_changes(&self, store: &Store, items: Vec<Item>, _revision: u64) -> Vec<Event> {
        let relevant = self.relevant_changes(items).into_iter();
        relevant
            .filter_map(|item| self.on_change(store, item))
            .collect()
    }
}

/// Follows the operator's keys: the configuration and the evacuated zones.
pub struct ConfigurationFollower;

impl ConfigurationFollower {
    fn decode(store: &Store, item: &Item) -> Option<Event> {
        let value = item.value.as_ref()?;
        match store.dialect().decode_configuration(value) {
            Ok(mut document) => {
                document.raw = value.clone();
                journal::write(
                    "configuration.read",
                    &[
                        ("version", document.version.into()),
                        ("revision", item.revision.into()),
                        ("bytes", value.len().into()),
                    ],
                );
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
        store.dialect().operator_prefix().into()
    }

    fn follows(&self, store: &Store, key: &str) -> bool {
        let dialect = store.dialect();
        key == dialect.configuration_key() || dialect.evacuated_zone(key).is_some()
    }

    /// The evacuations come first: no request is sent on a configuration without them.
    fn on_list(&self, store: &Store, page: Page) -> Vec<Event> {
        let zone_of = |item: &Item| store.dialect().evacuated_zone(&item.key).map(Into::into);
        let items = page.items.iter();
        let present = items.clone().filter(|item| item.value.is_some());
        let evacuations = Event::EvacuationsRead {
            revision: page.revision,
            zones: present.filter_map(zone_of).collect(),
        };
        let configurations = items.filter(|i| i.key == store.dialect().configuration_key());
        let configurations = configurations.filter_map(|item| Self::decode(store, item));
        std::iter::once(evacuations).chain(configurations).collect()
    }

    fn on_changes(&self, store: &Store, items: Vec<Item>, revision: u64) -> Vec<Event> {
        let (mut zones, mut configurations) = (Vec::new(), Vec::new());
        for item in items {
            match store.dialect().evacuated_zone(&item.key) {
                Some(zone) => zones.push((item.revision, zone.into(), item.value.is_some())),
                None => configurations.push(item),
            }
        }
        // Stable: changes with the same revision are of different keys.
        zones.sort_by_key(|(revision, ..)| *revision);
        let zones = zones.into_iter();
        let evacuations = Event::EvacuationsWatched {
            revision,
            changes: zones.map(|(_, zone, is_put)| (zone, is_put)).collect(),
        };
        let newest = self.relevant_changes(configurations).into_iter();
        let newest = newest.filter_map(|item| self.on_change(store, item));
        std::iter::once(evacuations).chain(newest).collect()
    }

    fn on_change(&self, store: &Store, item: Item) -> Option<Event> {
        Self::decode(store, &item)
    }

    /// Returns the newest item only, since each version is complete. This lets a
    /// gateway catch up when many large versions are written in quick succession.
    fn relevant_changes(&self, items: Vec<Item>) -> Vec<Item> {
        items
            .into_iter()
            .max_by_key(|i| i.revision)
            .into_iter()
            .collect()
    }
}

/// The relay progress, shared between control and the registration follower.
#[derive(Debug, Default)]
pub struct RelayProgress(Cell<Option<(u64, Millis)>>);

impl RelayProgress {
    /// Sets the revision up to which registrations are relayed, and until when that
    /// is valid.
    pub fn set(&self, relayed: Option<(u64, Millis)>) {
        self.0.set(relayed);
    }

    /// The revision up to which registrations are relayed; 0 if they are not.
    pub fn revision(&self) -> u64 {
        self.0.get().map_or(0, |(revision, _)| revision)
    }
}

/// The pauses between calls of the store, shared between control and the followers.
pub type Pace = Cell<Pauses>;

/// Follows the endpoint registrations.
pub struct RegistrationFollower {
    /// The progress of the leader's relay.
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

    fn pause(&self, pauses: Pauses) -> Millis {
        pauses.registry
    }

    fn watch_timeout(&self, pauses: Pauses) -> Millis {
        pauses.registry_watch
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
            // An entry that cannot be decoded counts as removed.
            Err(error) => {
                log_skipped(&item.key, &error);
                Some(Event::Deregistered(id))
            }
        }
    }
}

/// The prefix of the gateways' keys in the store.
pub const FLEET_PREFIX: &str = "rattanstall/";
/// The prefix of the gateways' leased registrations.
pub const MEMBER_PREFIX: &str = "rattanstall/gateways/";
/// The key of a gateway's registration.
pub fn member_key(name: &str) -> CompactString {
    format_compact!("{MEMBER_PREFIX}{name}")
}

/// The key that holds the name of the leader.
pub const LEADER_KEY: &str = "rattanstall/leader";
/// The key that holds the fleet's secret.
pub const SECRET_KEY: &str = "rattanstall/secret";

/// The key that holds the blocked parts.
pub const BLOCKS_KEY: &str = "rattanstall/blocks";
/// The key that holds the software versions of the services.
pub const VERSIONS_KEY: &str = "rattanstall/versions";

/// The record of blocked parts; without an item, it does not exist.
pub fn decode_blocks(item: Option<&Item>) -> Event {
    let value = item.and_then(|item| item.value.as_ref());
    let blocks = value.map(|value| block_record::decode(unix_now(), value));
    let blocks = blocks.unwrap_or_else(|| Ok(Vec::new()));
    Event::BlocksRecorded {
        revision: item.map_or(0, |i| if i.value.is_some() { i.revision } else { 0 }),
        blocks: blocks.unwrap_or_else(|error| {
            log_skipped(BLOCKS_KEY, &error.to_string());
            Vec::new()
        }),
    }
}

/// The record of software versions in this era of the store; without an item, it does not exist.
pub fn decode_versions(era: u64, item: Option<&Item>) -> Event {
    let value = item.and_then(|item| item.value.as_ref());
    let record = value.map(|value| version_record::decode(unix_now(), era, value));
    let record = record.unwrap_or_else(|| Ok(VersionRecord::missing(era)));
    Event::VersionsRecorded {
        revision: item.map_or(0, |i| if i.value.is_some() { i.revision } else { 0 }),
        record: record.unwrap_or_else(|error| {
            log_skipped(VERSIONS_KEY, &error.to_string());
            VersionRecord::missing(era)
        }),
    }
}

/// Follows the gateway registrations, the leader key, and the records of blocked parts and of
/// software versions.
pub struct FleetFollower {
    own_key: CompactString,
}

impl FleetFollower {
    /// Follows them for the gateway with this name.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_key: member_key(own_name),
        }
    }

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

    fn pause(&self, pauses: Pauses) -> Millis {
        pauses.fleet
    }

    fn on_list(&self, store: &Store, page: Page) -> Vec<Event> {
        let members = page.items.iter();
        let members = members.filter(|item| item.key.starts_with(MEMBER_PREFIX));
        let members = members.filter_map(Self::decode_member).collect();
        let leader = page.items.iter().find(|item| item.key == LEADER_KEY);
        let own = page.items.iter().find(|item| item.key == self.own_key);
        vec![
            Event::Members(members),
            Event::RegistrationSeen(Seen {
                revision: own.map_or(page.revision, |item| item.revision),
                is_present: own.is_some(),
            }),
            Event::LeaderKey(leader.and_then(Self::decode_leader)),
            decode_blocks(page.items.iter().find(|item| item.key == BLOCKS_KEY)),
            decode_versions(
                store.era(),
                page.items.iter().find(|item| item.key == VERSIONS_KEY),
            ),
        ]
    }

    fn on_change(&self, store: &Store, item: Item) -> Option<Event> {
        if item.key == LEADER_KEY {
            return Some(Event::LeaderKey(Self::decode_leader(&item)));
        }
        if item.key == BLOCKS_KEY {
            return Some(decode_blocks(Some(&item)));
        }
        if item.key == VERSIONS_KEY {
            return Some(decode_versions(store.era(), Some(&item)));
        }
        if item.key == self.own_key {
            return Some(Event::RegistrationSeen(Seen {
                revision: item.revision,
                is_present: item.value.is_some(),
            }));
        }
        let name = item.key.strip_prefix(MEMBER_PREFIX)?;
        match item.value {
            Some(_) => Self::decode_member(&item).map(Event::MemberPut),
            None => Some(Event::MemberRemoved(name.into())),
        }
    }
}

/// Logs an entry of the store that cannot be used.
pub fn log_skipped(key: &str, error: &str) {
    journal::write(
        "store.entry_skipped",
        &[("key", key.into()), ("why", error.into())],
    );
}
