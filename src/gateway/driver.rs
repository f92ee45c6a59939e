//! The control thread: feeds the reducer and carries out its effects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::DRAIN_POLL;
use super::duties::{Duties, LeaderGuard};
use super::links::Links;
use super::peers::Peers;
use super::shared::Shared;
use crate::admin::AdminCall;
use crate::agent::forward_signals;
use crate::control::{Control, Effect, Event};
use crate::error::{Error, Result};
use crate::escrow::{ShareEffect, ShareEvent};
use crate::placement::Placing;
use crate::platform::Platform;
use crate::settings::GatewaySettings;
use crate::transport::FrameReader;
use crate::wire::{Hello, Member, OrderReply};

/// Time between two ticks of the control state.
const TICK: Duration = Duration::from_millis(50);
/// How long an agent may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a stopping gateway waits for its peers to take its shares.
const HAND_OVER: Duration = Duration::from_millis(200);

/// Everything the control thread works with.
pub struct Driver {
    pub settings: GatewaySettings,
    pub me: Member,
    pub platform: Platform,
    pub shared: Arc<Shared>,
    pub links: Links,
    pub peers: Peers,
    pub events: UnboundedSender<Event>,
    pub calls: UnboundedSender<AdminCall>,
}

impl Driver {
    /// Runs until the gateway was told to stop and its last request is answered.
    pub fn run(
        self,
        events: UnboundedReceiver<Event>,
        calls: UnboundedReceiver<AdminCall>,
    ) -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::io("starting the control runtime", e))?;
        LocalSet::new().block_on(&runtime, self.run_local(events, calls));
        Ok(())
    }

    async fn run_local(
        mut self,
        mut events: UnboundedReceiver<Event>,
        mut calls: UnboundedReceiver<AdminCall>,
    ) {
        let duties = Rc::new(Duties::new(
            self.platform.clone(),
            &self.settings,
            self.me.clone(),
            self.events.clone(),
            self.shared.clone(),
        ));
        duties.clone().start();
        spawn_local(forward_signals(self.calls.clone()));
        let mut control = Control::new(self.me.clone(), self.settings.zone.clone());
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_stopping = false;
        let (stop_tx, mut stop_rx) = tokio::sync::oneshot::channel();
        let mut stop_tx = Some(stop_tx);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    let usage = self.shared.take_usage();
                    self.step(&mut control, &duties, Event::Tick(usage));
                }
                Some(event) = events.recv() => self.step(&mut control, &duties, event),
                Some(call) = calls.recv() => match call {
                    AdminCall::Dump(tx) => {
                        let _ = tx.send(self.dump(&control));
                    }
                    AdminCall::Hint(revision) => {
                        self.step(&mut control, &duties, Event::Hint(revision));
                    }
                    AdminCall::Drain if is_stopping => {}
                    AdminCall::Drain => {
                        is_stopping = true;
                        self.shared.set_draining();
                        duties.resign();
                        let stopping = drain(self.shared.clone(), self.settings.announce_ms);
                        let done = stop_tx.take();
                        spawn_local(async move {
                            stopping.await;
                            if let Some(done) = done {
                                let _ = done.send(());
                            }
                        });
                    }
                },
                _ = &mut stop_rx, if is_stopping => break,
            }
        }
        self.hand_over(&mut control, &duties, &mut events).await;
    }

    /// Gives shares and leases to the peers once no request needs them any more.
    async fn hand_over(
        &mut self,
        control: &mut Control,
        duties: &Rc<Duties>,
        events: &mut UnboundedReceiver<Event>,
    ) {
        self.step(control, duties, Event::Drain);
        self.step(control, duties, Event::Tick(Vec::new()));
        let deadline = tokio::time::Instant::now() + HAND_OVER;
        while let Ok(Some(event)) = tokio::time::timeout_at(deadline, events.recv()).await {
            self.step(control, duties, event);
        }
        self.shared.set_right_until(crate::clock::Millis::ZERO);
        duties.give_up_leases().await;
    }

    fn step(&mut self, control: &mut Control, duties: &Rc<Duties>, event: Event) {
        if let Event::Instances(instances) = &event {
            self.links.reconcile(instances);
            self.peers.reconcile(instances);
        }
        let now = self.shared.now();
        let effects = control.reduce(now, event);
        let mut is_changed = false;
        for effect in effects {
            match effect {
                Effect::Publish => is_changed = true,
                Effect::Share(effect) => {
                    // New workspaces need their buckets before their shares.
                    if std::mem::take(&mut is_changed) {
                        self.shared.publish(control.view());
                    }
                    self.carry_out_share(control, duties, effect);
                }
                other => self.carry_out(duties, other),
            }
        }
        if is_changed {
            self.shared.publish(control.view());
        }
    }

    fn carry_out(&self, duties: &Rc<Duties>, effect: Effect) {
        match effect {
            Effect::SetKeyedUntil(until) => self.shared.set_keyed_until(until),
            Effect::ReadHead => drop(spawn_local(duties.clone().read_head())),
            Effect::ReadLog => drop(spawn_local(duties.clone().read_log())),
            Effect::ReadShares => drop(spawn_local(duties.clone().read_shares())),
            Effect::Send { to, message } => self.peers.send(&to, message),
            Effect::Order(placing) => self.order(placing, duties.leader_guard()),
            Effect::Publish | Effect::Share(_) => {}
        }
    }

    fn carry_out_share(&mut self, control: &mut Control, duties: &Rc<Duties>, effect: ShareEffect) {
        let now = self.shared.now();
        match effect {
            ShareEffect::SetShare { workspace, ppm } => {
                if let Some(cell) = self.shared.bucket(&workspace) {
                    cell.with(|b| b.set_share(now, ppm));
                }
            }
            ShareEffect::Deposit { workspace, tokens } => {
                if let Some(cell) = self.shared.bucket(&workspace) {
                    cell.with(|b| b.deposit(now, tokens));
                }
            }
            ShareEffect::Split { to, workspace, ppm } => {
                let Some(cell) = self.shared.bucket(&workspace) else {
                    return;
                };
                let tokens = cell.with(|b| b.split(now, ppm));
                let split = ShareEvent::Split {
                    to,
                    workspace,
                    ppm,
                    tokens,
                };
                self.step(control, duties, Event::Share(split));
            }
            ShareEffect::SetChargeDeadline(until) => self.shared.set_right_until(until),
            ShareEffect::WriteTerm {
                term,
                modified,
                unleased,
            } => {
                spawn_local(duties.clone().write_term(term, modified, unleased));
            }
            ShareEffect::Send { .. } => {}
        }
    }

    fn order(&self, placing: Placing, guard: LeaderGuard) {
        let links = self.shared.links();
        let link = links.iter().find(|l| l.name == placing.agent).cloned();
        let events = self.events.clone();
        spawn_local(async move {
            let exchange = async {
                let link = link.ok_or(())?;
                if !guard.is_leader() {
                    return Err(());
                }
                let hello = Hello::Order(placing.order.clone());
                let (_tx, mut rx): (_, FrameReader) = link.open(&hello).await.map_err(|_| ())?;
                rx.next::<OrderReply>().await.map_err(|_| ())
            };
            let reply = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
            log::info!(
                "order {:?} {} to {}: {reply:?}",
                placing.order.action,
                placing.order.model,
                placing.agent
            );
            if !matches!(reply, Ok(Ok(Some(Ok(()))))) {
                let _ = events.send(Event::OrderRefused(placing));
            }
        });
    }

    fn dump(&self, control: &Control) -> Value {
        let now = self.shared.now();
        let view = self.shared.view();
        let shares: Vec<Value> = control
            .escrow()
            .shares()
            .map(|(workspace, ppm)| json!({ "workspace": workspace, "ppm": ppm }))
            .collect();
        let agents: Vec<Value> = view
            .agents
            .iter()
            .map(|a| {
                json!({
                    "name": a.name, "zone": a.zone, "kind": a.kind,
                    "draining": a.draining, "healthy": a.healthy,
                    "running": a.running, "waiting": a.waiting, "models": a.models,
                })
            })
            .collect();
        json!({
            "role": "gateway",
            "name": self.me.name,
            "zone": self.settings.zone,
            "revision": control.configuration().revision(),
            "is_current": now <= self.shared.keyed_until(),
            "live_peers": control.live_peers(now),
            "leader_fence": control.leader(),
            "moves": control.moves(),
            "share_term": control.escrow().term(),
            "shares_active": control.escrow().is_active(),
            "may_charge": now <= self.shared.right_until(),
            "shares": shares,
            "agents": agents,
            "models": view.catalogue.models.len(),
            "open_requests": self.shared.open_requests(),
            "draining": self.shared.is_draining(),
        })
    }
}

/// Waits until the balancer has had time to notice and no request is open.
async fn drain(shared: Arc<Shared>, announce_ms: u64) {
    log::info!("draining, {} requests open", shared.open_requests());
    sleep(Duration::from_millis(announce_ms)).await;
    while shared.open_requests() > 0 {
        sleep(DRAIN_POLL).await;
    }
}
