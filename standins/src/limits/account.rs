//! Charges of requests, and their comparison with the reference bucket.

use super::{Policy, Request, SHARE_WAIT, SimulatedFleet};

impl SimulatedFleet {
    /// Charges the waiting requests and refuses those that have waited too long.
    pub(super) fn charge_waiting(&mut self, gateway: usize) {
        let waiting = std::mem::take(&mut self.gateways[gateway].waiting);
        for request in waiting {
            if self.charge(gateway, &request) {
                self.record_admitted(&request);
            } else if self.now.since(request.arrived) >= SHARE_WAIT {
                self.record_refused(&request);
            } else {
                self.gateways[gateway].waiting.push(request);
            }
        }
    }

    fn charge(&mut self, gateway: usize, request: &Request) -> bool {
        if self.policy == Policy::SingleOwner {
            return self.charge_at_owner(gateway, request);
        }
        let now = self.now;
        let gateway = &mut self.gateways[gateway];
        let bucket = &mut gateway.buckets[request.workspace];
        now <= gateway.charge_deadline && bucket.charge(now, request.cost).is_ok()
    }

    fn record_admitted(&mut self, request: &Request) {
        let tally = &mut self.tallies[request.workspace];
        tally.admitted += 1;
        tally.tokens += request.cost;
        let reference = &mut self.reference_buckets[request.workspace];
        if reference.charge(self.now, request.cost).is_err() {
            tally.over_issued += 1;
        }
    }

    fn record_refused(&mut self, request: &Request) {
        let tally = &mut self.tallies[request.workspace];
        tally.refused += 1;
        let reference = &mut self.reference_buckets[request.workspace];
        if reference.charge(self.now, request.cost).is_ok() {
            reference.refund(self.now, request.cost);
            tally.refused_within_rate += 1;
        }
    }
}
