//! Availability zones that the operator evacuates.
//!
//! The operator writes a key for each evacuated zone to the platform's store. All gateways
//! watch these keys and pass the list on to each other. The list is always exchanged as a
//! whole, with the position in the store's history as of which it is complete, so that late,
//! repeated and reordered messages have no effect.

mod board;
mod pulse;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

pub use board::{Sending, ZoneBoard, ZoneState};
pub use pulse::Pulse;

/// The complete list of evacuated zones, as gateways tell it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneList {
    /// The position in the history of the store as of which the list is complete.
    pub stamp: u64,
    /// The zones, each with the time since the evacuation began; `None` if that is unknown.
    pub zones: Vec<(CompactString, Option<Millis>)>,
}

impl ZoneList {
    /// The list as the value of a header.
    pub fn to_header(&self) -> String {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads the value of a header; `None` if it isn't a list.
    pub fn from_header(value: &[u8]) -> Option<Self> {
        let digits = value.chunks(2).map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        });
        let bytes: Option<Vec<u8>> = digits.collect();
        postcard::from_bytes(&bytes?).ok()
    }
}

/// One evacuated zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuated {
    /// The zone.
    pub zone: CompactString,
    /// When this gateway learnt of the evacuation.
    pub learnt_at: Millis,
    /// When it is taken to have begun; `None` if that is unknown.
    pub began_at: Option<Millis>,
}

impl Evacuated {
    /// Whether nothing may be sent to the zone any more.
    pub fn is_closed(&self, now: Millis, grace: Millis) -> bool {
        self.began_at.is_none_or(|at| now >= at + grace)
    }
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneChanges {
    /// Zones that are evacuated now.
    pub evacuated: Vec<CompactString>,
    /// Zones whose evacuation has ended, also if it had begun in the same update.
    pub returned: Vec<CompactString>,
}

impl ZoneChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

/// The evacuated zones, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The position as of which the list is complete; `None` before the first list.
    stamp: Option<u64>,
    zones: Vec<Evacuated>,
}

impl Evacuations {
    /// Whether the list is known.
    pub fn is_known(&self) -> bool {
        self.stamp.is_some()
    }

    /// The position as of which the list is complete.
    pub fn stamp(&self) -> Option<u64> {
        self.stamp
    }

    /// The evacuated zones.
    pub fn zones(&self) -> &[Evacuated] {
        &self.zones
    }

    /// One evacuated zone.
    pub fn get(&self, zone: &str) -> Option<&Evacuated> {
        self.find(zone).ok().map(|at| &self.zones[at])
    }

    /// Takes over a list that was read from the store. It doesn't tell when the zones that
    /// are new in it were evacuated.
    pub fn read(&mut self, now: Millis, stamp: u64, zones: &[CompactString]) -> ZoneChanges {
        let zones = zones.iter().map(|zone| (zone.clone(), None));
        self.replace(now, stamp, zones.collect())
    }

    /// Takes over a list of another gateway, which may have arrived at `arrived_at` already.
    pub fn hear(&mut self, now: Millis, arrived_at: Millis, told: &ZoneList) -> ZoneChanges {
        let zones = told.zones.iter().map(|(zone, age)| {
            let began_at = age.map(|age| Millis(arrived_at.0.saturating_sub(age.0)));
            (zone.clone(), began_at)
        });
        self.replace(now, told.stamp, zones.collect())
    }

    /// Applies all changes up to a position, in their order. Evacuations that are new here
    /// are taken to have begun at `arrived_at`, the earliest time at which the news may have
    /// arrived, if that is known. Changes that the known list already contains are repeated
    /// without effect, since those after them are repeated as well.
    pub fn apply(
        &mut self,
        now: Millis,
        arrived_at: Option<Millis>,
        stamp: u64,
        changes: &[(CompactString, bool)],
    ) -> ZoneChanges {
        if self.stamp.is_none_or(|known| known >= stamp) {
            return ZoneChanges::default();
        }
        let known = self.zones.iter();
        let mut zones: Vec<(CompactString, Option<Millis>)> =
            known.map(|z| (z.zone.clone(), z.began_at)).collect();
        let mut ended = Vec::new();
        for (zone, is_evacuated) in changes {
            let at = zones.iter().position(|(known, _)| known == zone);
            match (at, is_evacuated) {
                (None, true) => zones.push((zone.clone(), arrived_at)),
                (Some(at), false) => ended.push(zones.remove(at).0),
                _ => {}
            }
        }
        let mut changes = self.replace(now, stamp, zones);
        ended.retain(|zone| self.get(zone).is_none() && !changes.returned.contains(zone));
        ended.dedup();
        changes.returned.extend(ended);
        changes
    }

    /// The list for other gateways; `None` before the first one.
    pub fn told(&self, now: Millis) -> Option<ZoneList> {
        let zones = self.zones.iter();
        let zones = zones.map(|z| (z.zone.clone(), z.began_at.map(|at| now.since(at))));
        Some(ZoneList {
            stamp: self.stamp?,
            zones: zones.collect(),
        })
    }

    /// Replaces the list by a newer one. A zone that is in both keeps its times.
    fn replace(
        &mut self,
        now: Millis,
        stamp: u64,
        mut new: Vec<(CompactString, Option<Millis>)>,
    ) -> ZoneChanges {
        if self.stamp.is_some_and(|known| known >= stamp) {
            return ZoneChanges::default();
        }
        self.stamp = Some(stamp);
        new.sort();
        new.dedup_by(|a, b| a.0 == b.0);
        let is_listed = |zone: &str| new.binary_search_by(|(z, _)| z.as_str().cmp(zone)).is_ok();
        let gone = self.zones.iter().filter(|z| !is_listed(&z.zone));
        let mut changes = ZoneChanges {
            returned: gone.map(|z| z.zone.clone()).collect(),
            ..ZoneChanges::default()
        };
        self.zones.retain(|z| is_listed(&z.zone));
        for (zone, began_at) in new {
            if let Err(at) = self.find(&zone) {
                changes.evacuated.push(zone.clone());
                let evacuated = Evacuated {
                    zone,
                    learnt_at: now,
                    began_at,
                };
                self.zones.insert(at, evacuated);
            }
        }
        changes
    }

    fn find(&self, zone: &str) -> Result<usize, usize> {
        self.zones.binary_search_by(|z| z.zone.as_str().cmp(zone))
    }
}
