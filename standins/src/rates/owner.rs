//! One gateway grants the requests of all, as the gateways do.

use rattanstall::clock::Millis;
use rattanstall::direct::balance::rendezvous_weight;
use rattanstall::direct::gossip::Message;
use rattanstall::direct::notices::{Notice, Notices, Permit, Stated};
use rattanstall::direct::rate_owner::{Grant, NamedRate, RateOwner};

use super::{Delivery, Keeper, MAX_WAIT, RUN, Turn, Waiting, World};

/// How long a request waits for answers.
const MAX_ASK: u64 = 200;
/// Time from a request to the head of its response.
const RESPONSE_TIME: u64 = 30;

pub(super) struct OwnedLimit {
    notices: Vec<Notices>,
    owners: Vec<RateOwner>,
    /// Answers that each gateway has got.
    answers: Vec<u64>,
}

/// The owner among the gateways that are not gone.
pub(super) fn owner_among(gateways: usize, is_gone: impl Fn(usize) -> bool) -> usize {
    let here = (0..gateways).filter(|at| !is_gone(*at));
    let weight = |at: &usize| rendezvous_weight(RUN.0, &format!("gateway-{at:03}"));
    here.max_by_key(weight).unwrap_or(0)
}

impl OwnedLimit {
    pub(super) fn new(world: &World) -> Self {
        let gateways = world.scenario.gateways;
        let mut keeper = Self {
            notices: vec![Notices::default(); gateways],
            owners: vec![RateOwner::default(); gateways],
            answers: vec![0; gateways],
        };
        (0..gateways).for_each(|at| keeper.hear(world, at));
        keeper
    }

    /// A response names the rate.
    fn hear(&mut self, world: &World, gateway: usize) {
        let notice = Notice {
            limit: Some(Stated::Value(world.rate())),
            ..Notice::default()
        };
        let sent_at = Millis(world.now.saturating_sub(RESPONSE_TIME));
        self.notices[gateway].hear(world.now(), RUN, &notice, sent_at);
    }

    fn grant(&mut self, world: &World, owner: usize, named: NamedRate, wanted: u32) -> Grant {
        let gone = world.frozen.filter(|at| world.is_gone(*at));
        self.owners[owner].set_membership(gone.map_or(0, |at| at as u64 + 1));
        self.owners[owner].grant(world.now(), RUN, named, wanted)
    }

    fn ask(&mut self, world: &mut World, gateway: usize) {
        let Some((named, wanted)) = self.notices[gateway].ask(world.now(), RUN) else {
            return;
        };
        let owner = owner_among(world.scenario.gateways, |at| world.is_gone(at));
        if owner == gateway {
            let grant = self.grant(world, owner, named, wanted);
            self.notices[gateway].granted(world.now(), RUN, grant, wanted);
            self.answers[gateway] += 1;
            return;
        }
        let message = Message::GrantsWanted {
            run: RUN,
            rate: named.rate,
            sent_age: world.now().since(named.sent_at),
            heard_age: world.now().since(named.heard_at),
            wanted,
        };
        world.send(gateway, owner, message);
    }
}

impl Keeper for OwnedLimit {
    fn tick(&mut self, _: &mut World) {}

    fn receive(&mut self, world: &mut World, delivery: Delivery) {
        let (from, to) = (delivery.from, delivery.to);
        match delivery.message {
            Message::GrantsWanted {
                run,
                rate,
                sent_age,
                heard_age,
                wanted,
            } => {
                let owner = owner_among(world.scenario.gateways, |at| world.is_gone(at));
                if owner != to {
                    return;
                }
                let before = |age: Millis| Millis(world.now.saturating_sub(age.0));
                let named = NamedRate {
                    rate,
                    sent_at: before(sent_age),
                    heard_at: before(heard_age),
                };
                let grant = self.grant(world, to, named, wanted);
                let answer = Message::Grants {
                    run,
                    requests: grant.requests,
                    next_in: grant.next_in,
                    wanted,
                };
                world.send(to, from, answer);
            }
            Message::Grants {
                run,
                requests,
                next_in,
                wanted,
            } => {
                let grant = Grant { requests, next_in };
                self.notices[to].granted(world.now(), run, grant, wanted);
                self.answers[to] += 1;
            }
            _ => {}
        }
    }

    fn serve(&mut self, world: &mut World, gateway: usize, req: &mut Waiting) -> Turn {
        let turn = self.serve_once(world, gateway, req);
        let is_waiting = req.mark != u64::MAX;
        if turn != Turn::Waits && is_waiting {
            self.notices[gateway].end_wait(RUN);
        }
        turn
    }
}

impl OwnedLimit {
    fn serve_once(&mut self, world: &mut World, gateway: usize, req: &mut Waiting) -> Turn {
        let waited = world.now - req.arrived_at;
        loop {
            let gateways = world.scenario.gateways;
            match self.notices[gateway].begin(world.now(), RUN, gateways) {
                Permit::Now => {
                    self.hear(world, gateway);
                    return Turn::Sent;
                }
                Permit::At(at) if at.0 > req.arrived_at + MAX_WAIT => return Turn::Refused,
                Permit::At(_) => return Turn::Waits,
                Permit::Never => return Turn::Refused,
                Permit::Ask if waited > MAX_ASK => return Turn::Refused,
                Permit::Ask => {}
            }
            if req.mark == self.answers[gateway] {
                self.notices[gateway].unanswered(world.now(), RUN);
                return Turn::Waits;
            }
            if req.mark == u64::MAX {
                self.notices[gateway].begin_wait(RUN);
            }
            req.mark = self.answers[gateway];
            self.ask(world, gateway);
            if req.mark == self.answers[gateway] {
                return Turn::Waits;
            }
        }
    }
}
