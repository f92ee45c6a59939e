//! Loads adapters at engines that hold their base models.

use compact_str::CompactString;

use super::{
    ADAPTER_LOAD_TIME, ADAPTER_MIN_IDLE, Action, AdapterOrder, Leader, LeaderInput,
    WANTED_LIFETIME, WantedModel,
};
use crate::clock::Millis;
use crate::direct::balance::rendezvous_weight;
use crate::direct::dialect::Operation;
use crate::direct::request::{ModelRef, adapter_hash};
use crate::direct::view::{EndpointView, Usability, load_of};

impl Leader {
    /// Orders loads for the adapters that requests wait for, and announces those
    /// that have been loaded.
    pub(super) fn load_wanted_adapters(
        &mut self,
        now: Millis,
        input: &LeaderInput<'_>,
    ) -> Vec<Action> {
        self.wanted_models
            .retain(|w| now.since(w.at) < WANTED_LIFETIME);
        let wanted_models = self.wanted_models.clone();
        let mut actions = Vec::new();
        let mut announced = Vec::new();
        for wanted_model in &wanted_models {
            let Some(adapter) = &wanted_model.need.wanted.adapter else {
                continue;
            };
            let open = input.endpoints.iter();
            let open = open.filter(|e| e.usability == Usability::Open && wanted_model.fits(e));
            let with_base: Vec<&EndpointView> = open
                .filter(|e| e.holds_model(&wanted_model.need.wanted.model))
                .collect();
            let model = &wanted_model.need.wanted.model;
            let with_adapter = with_base.iter().find(|e| {
                let id = &e.registration.id;
                self.ledger.has_adapter(id, model, adapter)
            });
            if let Some(endpoint) = with_adapter {
                if now.since(self.adapter_ordered_at(&endpoint.registration.id, model, adapter))
                    >= ADAPTER_LOAD_TIME
                {
                    actions.push(Action::Announce(self.holdings_of(endpoint)));
                    announced.push(wanted_model.need.clone());
                }
                continue;
            }
            if let Some(action) = self.load_adapter(now, input, wanted_model, adapter, &with_base) {
                actions.push(action);
            }
        }
        self.wanted_models.retain(|w| !announced.contains(&w.need));
        actions
    }

    /// Orders the load of an adapter at the least loaded engine with a free slot,
    /// or evicts another adapter if all slots are taken. `with_base` are the engines
    /// that hold the base model.
    pub(super) fn load_adapter(
        &mut self,
        now: Millis,
        input: &LeaderInput<'_>,
        wanted_model: &WantedModel,
        adapter: &CompactString,
        with_base: &[&EndpointView],
    ) -> Option<Action> {
        let is_pending = self.ledger.pending_orders().any(|o| {
            o.model == wanted_model.need.wanted.model && o.adapter.as_ref() == Some(adapter)
        });
        if is_pending {
            return None;
        }
        let spec = input
            .document
            .service(&wanted_model.need.service)?
            .engine
            .as_ref()?;
        let free_engines = with_base
            .iter()
            .filter(|e| self.ledger.is_free(now, &e.registration.id));
        let free_engines: Vec<&&EndpointView> = free_engines.collect();
        let seed = u64::from(adapter_hash(&wanted_model.need.wanted));
        let with_free_slot = free_engines
            .iter()
            .filter(|e| self.adapter_count(&e.registration.id) < spec.adapter_slots);
        let chosen = with_free_slot.min_by_key(|e| {
            let id = &e.registration.id;
            // Eight open requests weigh as much as one adapter that the engine holds.
            let load = load_of(input.loads, id).requests / 8;
            (
                load as usize + self.adapter_count(id),
                rendezvous_weight(seed, id),
            )
        });
        if let Some(endpoint) = chosen {
            let id = endpoint.registration.id.clone();
            let model = wanted_model.need.wanted.model.clone();
            self.note_adapter_order(now, &id, adapter_hash(&wanted_model.need.wanted));
            return self.order(now, &id, Operation::Load, model, Some(adapter.clone()));
        }
        self.evict_adapter(now, &free_engines)
    }

    /// Unloads the least recently used adapter at these engines, unless it was used
    /// within `ADAPTER_MIN_IDLE`.
    pub(super) fn evict_adapter(
        &mut self,
        now: Millis,
        engines: &[&&EndpointView],
    ) -> Option<Action> {
        let mut least_recent: Option<(Millis, CompactString, CompactString, CompactString)> = None;
        for endpoint in engines {
            let id = &endpoint.registration.id;
            for resident in self.ledger.residents(id) {
                for adapter in &resident.adapters {
                    let wanted = ModelRef {
                        model: resident.model.clone(),
                        adapter: Some(adapter.clone()),
                    };
                    let hash = adapter_hash(&wanted);
                    let ordered = self.ordered_at(id, hash);
                    let at = ordered.max(self.adapter_last_used_at(hash));
                    if least_recent.as_ref().is_none_or(|(known, ..)| at < *known) {
                        least_recent =
                            Some((at, id.clone(), resident.model.clone(), adapter.clone()));
                    }
                }
            }
        }
        let (at, id, model, adapter) = least_recent?;
        // Zero means that this leader knows of no order for it and no use.
        if now.since(at) < ADAPTER_MIN_IDLE && at != Millis::ZERO {
            return None;
        }
        self.order(now, &id, Operation::Unload, model, Some(adapter))
    }

    /// Records the adapters that requests have recently used, at any engine.
    pub fn note_adapters_used(&mut self, now: Millis, hashes: &[u32]) {
        for hash in hashes {
            match self
                .adapters_last_used
                .binary_search_by_key(hash, |(h, _)| *h)
            {
                Ok(at) => self.adapters_last_used[at].1 = now,
                Err(at) => self.adapters_last_used.insert(at, (*hash, now)),
            }
        }
    }

    pub(super) fn adapter_last_used_at(&self, hash: u32) -> Millis {
        let at = self
            .adapters_last_used
            .binary_search_by_key(&hash, |(h, _)| *h);
        at.map_or(Millis::ZERO, |at| self.adapters_last_used[at].1)
    }

    pub(super) fn adapter_ordered_at(&self, endpoint: &str, model: &str, adapter: &str) -> Millis {
        let wanted = ModelRef {
            model: model.into(),
            adapter: Some(adapter.into()),
        };
        self.ordered_at(endpoint, adapter_hash(&wanted))
    }

    pub(super) fn ordered_at(&self, endpoint: &str, hash: u32) -> Millis {
        let mut orders = self.adapter_orders.iter();
        let found = orders.find(|o| o.endpoint == endpoint && o.hash == hash);
        found.map_or(Millis::ZERO, |o| o.at)
    }

    pub(super) fn note_adapter_order(&mut self, now: Millis, endpoint: &CompactString, hash: u32) {
        let known = self
            .adapter_orders
            .iter_mut()
            .find(|o| o.endpoint == *endpoint && o.hash == hash);
        match known {
            Some(one) => one.at = now,
            None => self.adapter_orders.push(AdapterOrder {
                endpoint: endpoint.clone(),
                hash,
                at: now,
            }),
        }
    }

    pub(super) fn adapter_count(&self, endpoint: &str) -> usize {
        let residents = self.ledger.residents(endpoint).iter();
        residents.map(|r| r.adapters.len()).sum()
    }
}
