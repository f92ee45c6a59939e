//! Charges of the requests, and what the whole bucket says of them.

use super::{Fleet, Policy, Request, SHARE_WAIT};

impl Fleet {
    pub(super) fn serve(&mut self, at: usize) {
        let waiting = std::mem::take(&mut self.gateways[at].waiting);
        for request in waiting {
            if self.charge(at, &request) {
                self.note_admitted(&request);
            } else if self.now.since(request.arrived) >= SHARE_WAIT {
                self.note_refused(&request);
            } else {
                self.gateways[at].waiting.push(request);
            }
        }
    }

    fn charge(&mut self, at: usize, request: &Request) -> bool {
        if self.policy == Policy::SingleOwner {
            return self.charge_owner(at, request);
        }
        let now = self.now;
        let gateway = &mut self.gateways[at];
        let bucket = &mut gateway.buckets[request.workspace];
        now <= gateway.right_until && bucket.charge(now, request.cost).is_ok()
    }

    fn note_admitted(&mut self, request: &Request) {
        let tally = &mut self.tallies[request.workspace];
        tally.admitted += 1;
        tally.tokens += request.cost;
        let shadow = &mut self.shadows[request.workspace];
        if shadow.charge(self.now, request.cost).is_err() {
            tally.over_issued += 1;
        }
    }

    fn note_refused(&mut self, request: &Request) {
        let tally = &mut self.tallies[request.workspace];
        tally.refused += 1;
        let shadow = &mut self.shadows[request.workspace];
        if shadow.charge(self.now, request.cost).is_ok() {
            shadow.refund(self.now, request.cost);
            tally.refused_within_rate += 1;
        }
    }
}
