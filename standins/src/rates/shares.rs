//! The rate is divided by demand, and gateways lend each other what they don't need, as
//! they do with the limits of workspaces.

use std::net::SocketAddr;

use rattanstall::bucket::{Bucket, Usage, WHOLE_PPM};
use rattanstall::clock::Millis;
use rattanstall::direct::gossip::{Message, WorkspaceUsage};
use rattanstall::direct::loans::{TakeOutcome, choose_lenders, take_tokens};
use rattanstall::direct::shares::{Limit, MemberUsage, Shares};

use super::split::TOKENS;
use super::{Delivery, Keeper, MAX_WAIT, Turn, Waiting, World};

const NAME: &str = "e";
const REPORT_INTERVAL: u64 = 250;
/// How long a request waits for loans, and between two rounds.
const LOAN_TIMEOUT: u64 = 24;
const LOAN_ROUND: u64 = 8;
/// Bytes of one limit in a report that the gateways send anyway.
const ROW_BYTES: u64 = 14;

pub(super) struct DividedLimit {
    buckets: Vec<Bucket>,
    shares: Vec<Shares>,
    usage: Vec<MemberUsage>,
    /// What each gateway could lend, as last reported.
    levels: Vec<u64>,
    turns: usize,
}

impl DividedLimit {
    pub(super) fn new(world: &World) -> Self {
        let gateways = world.scenario.gateways;
        let rate = u64::from(world.rate().0);
        let bucket = || {
            let mut bucket = Bucket::new(Millis::ZERO, rate, rate.max(2 * TOKENS));
            bucket.set_share(Millis::ZERO, WHOLE_PPM / gateways as u64);
            bucket
        };
        Self {
            buckets: (0..gateways).map(|_| bucket()).collect(),
            shares: vec![Shares::default(); gateways],
            usage: vec![MemberUsage::default(); gateways],
            levels: vec![0; gateways],
            turns: 0,
        }
    }

    fn report(&mut self, world: &mut World) {
        let gateways = self.buckets.len();
        for at in 0..gateways {
            if world.is_frozen(at) {
                continue;
            }
            let used: Usage = self.buckets[at].take_usage(world.now(), NAME);
            self.levels[at] = used.level;
            let asked = (used.used + used.refused) * 1_000 / REPORT_INTERVAL;
            self.usage[at] = MemberUsage {
                limits: Some(vec![WorkspaceUsage {
                    workspace: NAME.into(),
                    asked_per_s: asked,
                    level: used.level,
                }]),
                is_reachable: true,
            };
            world.bytes[at] += 2 * ROW_BYTES * (gateways as u64 - 1);
        }
        for at in 0..gateways {
            self.usage[at].is_reachable = !world.is_gone(at);
        }
        let limits = [Limit {
            workspace: NAME.into(),
            rate: u64::from(world.rate().0),
        }];
        for at in (0..gateways).filter(|at| !world.is_frozen(*at)) {
            let mut others = self.usage.clone();
            let own = others.swap_remove(at);
            let changed = self.shares[at].divide(world.now(), &limits, &own, &others, false);
            for (_, ppm) in changed {
                self.buckets[at].set_share(world.now(), ppm);
            }
        }
    }

    fn borrow(&mut self, world: &mut World, borrower: usize, tokens: u64) {
        self.turns += 1;
        let address = |at: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + at as u16));
        let others = (0..self.levels.len()).filter(|at| *at != borrower);
        let lenders: Vec<(SocketAddr, u64)> =
            others.map(|at| (address(at), self.levels[at])).collect();
        for (to, tokens) in choose_lenders(tokens, &lenders, self.turns) {
            let to = usize::from(to.port()) - 1_000;
            self.levels[to] = self.levels[to].saturating_sub(tokens);
            let workspace = NAME.into();
            world.send(borrower, to, Message::Borrow { workspace, tokens });
        }
    }
}

impl Keeper for DividedLimit {
    fn tick(&mut self, world: &mut World) {
        if world.now.is_multiple_of(REPORT_INTERVAL) {
            self.report(world);
        }
    }

    fn receive(&mut self, world: &mut World, delivery: Delivery) {
        let (from, to) = (delivery.from, delivery.to);
        match delivery.message {
            Message::Borrow { workspace, tokens } => {
                let tokens = self.buckets[to].lend(world.now(), tokens);
                let left = self.buckets[to].level();
                let lend = Message::Lend {
                    workspace,
                    tokens,
                    left,
                };
                world.send(to, from, lend);
            }
            Message::Lend { tokens, left, .. } => {
                self.levels[from] = left;
                self.buckets[to].receive_loan(world.now(), tokens);
            }
            _ => {}
        }
    }

    fn serve(&mut self, world: &mut World, gateway: usize, req: &mut Waiting) -> Turn {
        let waited = world.now - req.arrived_at;
        let lendable = match waited < LOAN_TIMEOUT {
            true => self.levels.iter().sum::<u64>() - self.levels[gateway],
            false => 0,
        };
        let bucket = &mut self.buckets[gateway];
        match take_tokens(bucket, world.now(), TOKENS, 0, lendable) {
            TakeOutcome::Taken { .. } => Turn::Sent,
            TakeOutcome::Borrow(missing) => {
                if req.mark == u64::MAX || world.now >= req.mark + LOAN_ROUND {
                    req.mark = world.now;
                    self.borrow(world, gateway, missing);
                }
                Turn::Waits
            }
            TakeOutcome::Exhausted if waited < MAX_WAIT => Turn::Waits,
            TakeOutcome::Exhausted => Turn::Refused,
        }
    }
}
