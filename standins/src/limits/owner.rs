//! Baseline policy with a single gateway that owns all buckets.

use rattanstall::bucket::{Bucket, WHOLE_PPM};
use rattanstall::escrow::Limit;

use super::{LEASE_TTL, Request, SimulatedFleet};

impl SimulatedFleet {
    pub(super) fn charge_at_owner(&mut self, gateway: usize, request: &Request) -> bool {
        let now = self.now;
        self.elect_owner();
        let Some((owner, _)) = self.owner.clone() else {
            return false;
        };
        let Some(owner_index) = self.position(&owner) else {
            return false;
        };
        let is_unreachable = self.gateways[owner_index].isolated_until > now
            || self.gateways[gateway].isolated_until > now
            || self.gateways[owner_index].frozen_until > now;
        if owner_index != gateway && is_unreachable {
            return false;
        }
        self.counters.messages += 2 * u64::from(owner_index != gateway);
        self.owner_buckets[request.workspace]
            .charge(now, request.cost)
            .is_ok()
    }

    /// Renews the owner's lease while it can, and elects another owner after it expires.
    fn elect_owner(&mut self) {
        let now = self.now;
        if let Some((owner, until)) = self.owner.clone() {
            let can_renew = self.position(&owner).is_some_and(|gateway| {
                self.gateways[gateway].frozen_until <= now && self.reaches_platform(gateway)
            });
            if can_renew && until > now {
                self.owner = Some((owner, now + LEASE_TTL));
            } else if until <= now {
                self.owner = None;
            }
        }
        if self.owner.is_none()
            && let Some(gateway) =
                (0..self.gateways.len()).find(|gateway| self.reaches_platform(*gateway))
        {
            self.owner = Some((self.gateways[gateway].member.clone(), now + LEASE_TTL));
            let empty_bucket = |limit: &Limit| {
                let mut bucket = Bucket::new(now, limit.rate, limit.burst);
                bucket.set_share(now, WHOLE_PPM);
                bucket
            };
            self.owner_buckets = self.limits.iter().map(empty_bucket).collect();
        }
    }
}
