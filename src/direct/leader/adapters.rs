//! Bringing adapters to engines that hold their models.

use compact_str::CompactString;

use super::{ADAPTER_KEEP, ADAPTER_TIME, AdapterOrder, Duty, Leader, Scene, WISH_LIFETIME, Wish};
use crate::clock::Millis;
use crate::direct::balance::rendezvous_weight;
use crate::direct::dialect::Operation;
use crate::direct::request::{ModelRef, adapter_hash};
use crate::direct::view::{EndpointView, Usability, load_of};

impl Leader {
    /// Brings adapters to engines that hold their model.
    pub(super) fn grant_wishes(&mut self, now: Millis, scene: &Scene<'_>) -> Vec<Duty> {
        self.wishes.retain(|w| now.since(w.at) < WISH_LIFETIME);
        let wishes = self.wishes.clone();
        let mut duties = Vec::new();
        let mut granted = Vec::new();
        for wish in &wishes {
            let Some(adapter) = &wish.wanted.adapter else {
                continue;
            };
            let open = scene.endpoints.iter().filter(|e| {
                e.usability == Usability::Open && e.registration.service == wish.service
            });
            let holders: Vec<&EndpointView> =
                open.filter(|e| e.holds_model(&wish.wanted.model)).collect();
            let model = &wish.wanted.model;
            let holder = holders.iter().find(|e| {
                let id = &e.registration.id;
                self.ledger.has_adapter(id, model, adapter)
            });
            if let Some(holder) = holder {
                if now.since(self.adapter_ordered_at(&holder.registration.id, model, adapter))
                    >= ADAPTER_TIME
                {
                    duties.push(Duty::Announce(self.holdings_of(holder)));
                    granted.push(wish.wanted.clone());
                }
                continue;
            }
            if let Some(duty) = self.bring(now, scene, wish, adapter, &holders) {
                duties.push(duty);
            }
        }
        self.wishes.retain(|w| !granted.contains(&w.wanted));
        duties
    }

    pub(super) fn bring(
        &mut self,
        now: Millis,
        scene: &Scene<'_>,
        wish: &Wish,
        adapter: &CompactString,
        holders: &[&EndpointView],
    ) -> Option<Duty> {
        let is_coming = self
            .ledger
            .all_under_way()
            .any(|o| o.model == wish.wanted.model && o.adapter.as_ref() == Some(adapter));
        if is_coming {
            return None;
        }
        let spec = scene.document.service(&wish.service)?.engine.as_ref()?;
        let free = holders
            .iter()
            .filter(|e| self.ledger.is_free(now, &e.registration.id));
        let free: Vec<&&EndpointView> = free.collect();
        let seed = u64::from(adapter_hash(&wish.wanted));
        let with_room = free
            .iter()
            .filter(|e| self.adapters_at(&e.registration.id) < spec.adapter_slots);
        let chosen = with_room.min_by_key(|e| {
            let id = &e.registration.id;
            let load = load_of(scene.loads, id).requests / 8;
            (
                load as usize + self.adapters_at(id),
                rendezvous_weight(seed, id),
            )
        });
        if let Some(endpoint) = chosen {
            let id = endpoint.registration.id.clone();
            let model = wish.wanted.model.clone();
            self.note_adapter(now, &id, adapter_hash(&wish.wanted));
            return self.order(now, &id, Operation::Load, model, Some(adapter.clone()));
        }
        self.make_room(now, &free)
    }

    /// Unloads the adapter that was asked for longest ago.
    pub(super) fn make_room(&mut self, now: Millis, holders: &[&&EndpointView]) -> Option<Duty> {
        let mut oldest: Option<(Millis, CompactString, CompactString, CompactString)> = None;
        for endpoint in holders {
            let id = &endpoint.registration.id;
            for resident in self.ledger.residents(id) {
                for adapter in &resident.adapters {
                    let wanted = ModelRef {
                        model: resident.model.clone(),
                        adapter: Some(adapter.clone()),
                    };
                    let hash = adapter_hash(&wanted);
                    let ordered = self.ordered_at(id, hash);
                    let at = ordered.max(self.used_at(hash));
                    if oldest.as_ref().is_none_or(|(known, ..)| at < *known) {
                        oldest = Some((at, id.clone(), resident.model.clone(), adapter.clone()));
                    }
                }
            }
        }
        let (at, id, model, adapter) = oldest?;
        if now.since(at) < ADAPTER_KEEP && at != Millis::ZERO {
            return None;
        }
        self.order(now, &id, Operation::Unload, model, Some(adapter))
    }

    /// Takes in which adapters requests used lately, at any engine.
    pub fn adapters_used(&mut self, now: Millis, hashes: &[u32]) {
        for hash in hashes {
            match self.adapters_in_use.binary_search_by_key(hash, |(h, _)| *h) {
                Ok(at) => self.adapters_in_use[at].1 = now,
                Err(at) => self.adapters_in_use.insert(at, (*hash, now)),
            }
        }
    }

    pub(super) fn used_at(&self, hash: u32) -> Millis {
        let at = self
            .adapters_in_use
            .binary_search_by_key(&hash, |(h, _)| *h);
        at.map_or(Millis::ZERO, |at| self.adapters_in_use[at].1)
    }

    pub(super) fn adapter_ordered_at(&self, endpoint: &str, model: &str, adapter: &str) -> Millis {
        let wanted = ModelRef {
            model: model.into(),
            adapter: Some(adapter.into()),
        };
        self.ordered_at(endpoint, adapter_hash(&wanted))
    }

    pub(super) fn ordered_at(&self, endpoint: &str, hash: u32) -> Millis {
        let mut ordered = self.adapter_orders.iter();
        let found = ordered.find(|u| u.endpoint == endpoint && u.name == hash);
        found.map_or(Millis::ZERO, |u| u.at)
    }

    pub(super) fn note_adapter(&mut self, now: Millis, endpoint: &CompactString, name: u32) {
        let known = self
            .adapter_orders
            .iter_mut()
            .find(|u| u.endpoint == *endpoint && u.name == name);
        match known {
            Some(one) => one.at = now,
            None => self.adapter_orders.push(AdapterOrder {
                endpoint: endpoint.clone(),
                name,
                at: now,
            }),
        }
    }

    pub(super) fn adapters_at(&self, endpoint: &str) -> usize {
        let residents = self.ledger.residents(endpoint).iter();
        residents.map(|r| r.adapters.len()).sum()
    }
}
