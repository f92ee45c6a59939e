//! Each gateway has an even share of the rate, whatever its callers want.

use rattanstall::bucket::{Bucket, WHOLE_PPM};
use rattanstall::clock::Millis;

use super::{Delivery, Keeper, MAX_WAIT, Turn, Waiting, World};

/// Tokens of one request.
pub(super) const TOKENS: u64 = 1_000;

pub(super) struct Split(Vec<Bucket>);

impl Split {
    pub(super) fn new(world: &World) -> Self {
        let gateways = world.scenario.gateways as u64;
        let rate = u64::from(world.rate().0);
        let bucket = || {
            // Each holds one request.
            let mut bucket = Bucket::new(Millis::ZERO, rate, TOKENS * gateways);
            bucket.set_share(Millis::ZERO, WHOLE_PPM.div_ceil(gateways));
            bucket
        };
        Self((0..gateways).map(|_| bucket()).collect())
    }
}

impl Keeper for Split {
    fn tick(&mut self, _: &mut World) {}

    fn receive(&mut self, _: &mut World, _: Delivery) {}

    fn serve(&mut self, world: &mut World, gateway: usize, req: &mut Waiting) -> Turn {
        match self.0[gateway].charge(world.now(), TOKENS) {
            Ok(()) => Turn::Sent,
            Err(_) if world.now < req.arrived_at + MAX_WAIT => Turn::Waits,
            Err(_) => Turn::Refused,
        }
    }
}
