//! The baseline of one owner for each bucket.

use rattanstall::bucket::{Bucket, WHOLE_PPM};
use rattanstall::escrow::Limit;

use super::{Fleet, LEASE, Request};

impl Fleet {
    pub(super) fn charge_owner(&mut self, at: usize, request: &Request) -> bool {
        let now = self.now;
        self.elect_owner();
        let Some((owner, _)) = self.owner.clone() else {
            return false;
        };
        let Some(owner_at) = self.position(&owner) else {
            return false;
        };
        let is_apart = self.gateways[owner_at].alone_until > now
            || self.gateways[at].alone_until > now
            || self.gateways[owner_at].frozen_until > now;
        if owner_at != at && is_apart {
            return false;
        }
        self.cost.messages += 2 * u64::from(owner_at != at);
        self.owned[request.workspace]
            .charge(now, request.cost)
            .is_ok()
    }

    /// The owner renews while it can; another one follows when the lease has lapsed.
    fn elect_owner(&mut self) {
        let now = self.now;
        if let Some((owner, until)) = self.owner.clone() {
            let renews = self.position(&owner).is_some_and(|at| {
                self.gateways[at].frozen_until <= now && self.reaches_service(at)
            });
            if renews && until > now {
                self.owner = Some((owner, now + LEASE));
            } else if until <= now {
                self.owner = None;
            }
        }
        if self.owner.is_none()
            && let Some(at) = (0..self.gateways.len()).find(|at| self.reaches_service(*at))
        {
            self.owner = Some((self.gateways[at].member.clone(), now + LEASE));
            let empty = |limit: &Limit| {
                let mut bucket = Bucket::new(now, limit.rate, limit.burst);
                bucket.set_share(now, WHOLE_PPM);
                bucket
            };
            self.owned = self.limits.iter().map(empty).collect();
        }
    }
}
