//! The control thread: feeds the reducer and carries out its effects.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use super::control::{Control, Effect, Event};
use super::document::Document;
use super::shared::Shared;
use super::store::Store;
use super::sync::{ConfigurationFollower, RegistrationFollower, follow};
use crate::bucket::{Bucket, BucketCell, WHOLE_PPM};
use crate::clock::Millis;
use crate::error::{Error, Result};

/// Time between two looks at what is due.
const TICK: Millis = Millis(50);

/// Runs control until the process ends.
pub fn run(
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    queue: UnboundedReceiver<Event>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the control runtime", e))?;
    let store = Rc::new(Store::new(shared.settings.store, shared.dialect.clone()));
    let driver = Driver { shared, events };
    LocalSet::new().block_on(&runtime, driver.drive(store, queue));
    Ok(())
}

struct Driver {
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
}

impl Driver {
    async fn drive(self, store: Rc<Store>, mut queue: UnboundedReceiver<Event>) {
        let events = self.events.clone();
        spawn_local(follow(store.clone(), events.clone(), ConfigurationFollower));
        spawn_local(follow(store.clone(), events.clone(), RegistrationFollower));
        spawn_local(tick(events));
        let mut control = Control::new(&self.shared.settings.bounds);
        while let Some(event) = queue.recv().await {
            let effects = control.reduce(self.shared.now(), event);
            for effect in effects {
                self.carry_out(&mut control, effect);
            }
        }
    }

    fn carry_out(&self, control: &mut Control, effect: Effect) {
        match effect {
            Effect::Publish => {
                let view = control.view(self.shared.now());
                self.shared.publish(view);
            }
            Effect::SetLimits(document) => self.set_limits(&document),
        }
    }

    /// Gives each workspace with a limit its bucket; a bucket that is there
    /// keeps its level.
    fn set_limits(&self, document: &Document) {
        let now = self.shared.now();
        let old = self.shared.buckets();
        let limited = document.workspaces.iter().filter(|w| w.rate > 0);
        let buckets = limited.map(|workspace| {
            let known = old.binary_search_by(|b| b.workspace.cmp(&workspace.name));
            if let Ok(at) = known {
                old[at].with(|b| b.set_limits(now, workspace.rate, workspace.burst));
                return old[at].clone();
            }
            let mut bucket = Bucket::new(now, workspace.rate, workspace.burst);
            bucket.set_share(now, WHOLE_PPM / self.shared.gateways() as u64);
            Arc::new(BucketCell::new(workspace.name.clone(), bucket))
        });
        let buckets = buckets.collect();
        self.shared.set_buckets(buckets);
    }
}

async fn tick(events: UnboundedSender<Event>) {
    let mut ticks = interval(TICK.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if events.send(Event::Tick).is_err() {
            return;
        }
    }
}
