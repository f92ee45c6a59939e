//! The lease of this gateway, and the registration that depends on it.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::format_compact;
use tokio::time::{sleep, timeout};

use super::{BackgroundCalls, RETRY_DELAY, log_store_failure};
use crate::clock::Millis;
use crate::direct::control::Event;
use crate::direct::dialect::{Lease, StoreError, Transaction};
use crate::direct::members::Member;
use crate::direct::membership::registration::Write;
use crate::direct::sync::member_key;
use crate::journal;

/// Renewals per lease duration; two of them may fail before the lease expires.
const RENEWALS_PER_LEASE: u64 = 4;

/// A lease that the store keeps for this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    /// Its identifier.
    pub(super) id: u64,
    ttl: Millis,
    /// The era of the store in which it was opened. In a later one it may belong to
    /// somebody else.
    era: u64,
    held_until: Millis,
    /// Whether the registration depends on it.
    is_registered: bool,
}

impl BackgroundCalls {
    /// Holds a lease, and opens a new one when it is lost.
    pub(super) async fn maintain_lease(self: Rc<Self>) {
        loop {
            match self.open_lease().await {
                Ok(held) => {
                    self.lease.set(Some(held));
                    self.send_event(Event::LeaseOpened(held.id));
                    self.renew_until_lost(held).await;
                    if self.lease.take().is_none() {
                        // `end_lease` took it because the process is stopping.
                        return;
                    }
                    self.send_event(Event::LeaseLost);
                }
                Err(error) => {
                    log_store_failure("lease", &error);
                    sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    async fn open_lease(&self) -> Result<HeldLease, StoreError> {
        self.restore_secret().await?;
        let sent_at = self.shared.now();
        let Lease { id, ttl } = self
            .store
            .open_lease(self.shared.settings.bounds.lease)
            .await?;
        journal::write(
            "lease.opened",
            &[("lease", id.into()), ("ttl_ms", ttl.into())],
        );
        Ok(HeldLease {
            id,
            ttl,
            era: self.store.era(),
            held_until: sent_at + ttl,
            is_registered: false,
        })
    }

    /// Renews a lease until the store reports that it no longer exists.
    async fn renew_until_lost(&self, lease: HeldLease) {
        let HeldLease { id, ttl, era, .. } = lease;
        let interval = Millis(ttl.0 / RENEWALS_PER_LEASE);
        let mut held_until = lease.held_until;
        loop {
            let renewed_in = timeout(interval.as_duration(), self.store.new_era()).await;
            if renewed_in.is_ok() || self.store.era() != era {
                journal::write("lease.ended", &[("lease", id.into())]);
                return;
            }
            // The store counts from the arrival of the call, so the lease runs for at
            // least its whole duration from here.
            let sent_at = self.shared.now();
            match self.store.renew_lease(id).await {
                Ok(()) if self.store.era() != era => {}
                Ok(()) => {
                    held_until = sent_at + ttl;
                    self.lease_renewed(held_until);
                    self.send_event(Event::StoreAnswered);
                }
                Err(StoreError::NotFound) => {
                    journal::write("lease.ended", &[("lease", id.into())]);
                    return;
                }
                Err(error) => {
                    log_store_failure("renew", &error);
                    self.send_event(Event::StoreLost);
                    let has_expired = self.shared.now() >= held_until;
                    let delay = if has_expired {
                        RETRY_DELAY
                    } else {
                        Millis(interval.0 / 4)
                    };
                    sleep(delay.as_duration()).await;
                }
            }
        }
    }

    fn lease_renewed(&self, held_until: Millis) {
        let Some(held) = self.lease.get() else {
            return;
        };
        self.lease.set(Some(HeldLease { held_until, ..held }));
        if held.is_registered {
            self.send_event(Event::LeaseHeld(held_until));
        }
    }

    /// Writes the registration under the lease, if its key has the expected revision.
    pub async fn register(self: Rc<Self>, write: Write) {
        let lease = write.lease;
        let written = match self.write_registration(write).await {
            Err(StoreError::Conflict) => self.find_registration(lease).await,
            written => written,
        };
        match written {
            Ok(event) => self.send_event(event),
            Err(error) => {
                log_store_failure("registration", &error);
                self.send_event(Event::RegistrationFailed(lease));
            }
        }
    }

    async fn write_registration(&self, write: Write) -> Result<Event, StoreError> {
        let held = self.lease.get().filter(|held| held.id == write.lease);
        let held = held.ok_or(StoreError::NotFound)?;
        let member = Member {
            name: self.shared.settings.name.clone(),
            address: self.shared.settings.internal,
            boot: self.boot,
        };
        let value = serde_json::to_vec(&member)
            .map_err(|e| StoreError::Malformed(format_compact!("{e}")))?;
        let key = member_key(&member.name);
        let transaction = Transaction {
            expected: vec![(key.clone(), write.expected)],
            puts: vec![(key, Bytes::from(value), write.lease)],
        };
        let revision = self.store.commit(&transaction).await?;
        if self.store.era() != held.era {
            return Err(StoreError::Restored);
        }
        if let Some(held) = self.lease.get().filter(|held| held.id == write.lease) {
            self.lease.set(Some(HeldLease {
                is_registered: true,
                ..held
            }));
            self.send_event(Event::LeaseHeld(held.held_until));
        }
        Ok(Event::RegistrationWritten {
            lease: write.lease,
            revision,
        })
    }

    async fn find_registration(&self, lease: u64) -> Result<Event, StoreError> {
        let key = member_key(&self.shared.settings.name);
        let found = match self.store.read_key(&key).await {
            Ok(item) => item.revision,
            Err(StoreError::NotFound) => 0,
            Err(error) => return Err(error),
        };
        Ok(Event::RegistrationConflicted { lease, found })
    }

    /// Ends the lease, so that other gateways don't have to wait until it expires.
    pub async fn end_lease(&self) {
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.end_lease(lease.id).await
        {
            log_store_failure("end lease", &error);
        }
    }
}
