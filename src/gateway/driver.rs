//! The control thread: passes events to the reducer and applies its effects.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::DRAIN_POLL_INTERVAL;
use super::background_calls::{BackgroundCalls, LeaderGuard};
use super::links::Links;
use super::peers::Peers;
use super::shared::Shared;
use crate::admin::AdminRequest;
use crate::agent::forward_signals;
use crate::control::{Control, Effect, Event};
use crate::error::{Error, Result};
use crate::escrow::{ShareEffect, ShareEvent};
use crate::placement::AgentOrder;
use crate::platform::Platform;
use crate::settings::GatewaySettings;
use crate::signals::Signals;
use crate::transport::FrameReader;
use crate::wire::{Hello, Member, OrderReply};

/// Interval between ticks of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for an agent's reply to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a stopping gateway keeps handling events so that its peers can take
/// over its shares.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

/// The control thread's settings, connections and channels.
pub struct Driver {
    pub settings: GatewaySettings,
    pub me: Member,
    pub platform: Platform,
    pub shared: Arc<Shared>,
    pub links: Links,
    pub peers: Peers,
    pub events: UnboundedSender<Event>,
    pub admin_requests: UnboundedSender<AdminRequest>,
    pub signals: Signals,
}

impl Driver {
    /// Runs until the gateway was told to stop and its last request has ended.
    pub fn run(
        self,
        events: UnboundedReceiver<Event>,
        admin_requests: UnboundedReceiver<AdminRequest>,
    ) -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::io("starting the control runtime", e))?;
        LocalSet::new().block_on(&runtime, self.run_local(events, admin_requests));
        Ok(())
    }

    async fn run_local(
        mut self,
        mut events: UnboundedReceiver<Event>,
        mut admin_requests: UnboundedReceiver<AdminRequest>,
    ) {
        let background = Rc::new(BackgroundCalls::new(
            self.platform.clone(),
            &self.settings,
            self.me.clone(),
            self.events.clone(),
            self.shared.clone(),
        ));
        background.clone().start();
        spawn_local(forward_signals(
            self.signals.clone(),
            self.admin_requests.clone(),
        ));
        let mut control = Control::new(self.me.clone(), self.settings.zone.clone());
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_draining = false;
        let (drained_tx, mut drained_rx) = tokio::sync::oneshot::channel();
        let mut drained_tx = Some(drained_tx);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {
                    let usage = self.shared.take_usage();
                    self.handle_event(&mut control, &background, Event::Tick(usage));
                }
                Some(event) = events.recv() => self.handle_event(&mut control, &background, event),
                Some(request) = admin_requests.recv() => match request {
                    AdminRequest::Dump(tx) => {
                        let _ = tx.send(self.dump(&control));
                    }
                    AdminRequest::Hint(revision) => {
                        self.handle_event(&mut control, &background, Event::RevisionHint(revision));
                    }
                    AdminRequest::Drain if is_draining => {}
                    AdminRequest::Drain => {
                        is_draining = true;
                        self.shared.set_draining();
                        background.resign();
                        let drained = drain(self.shared.clone(), self.settings.announce_ms);
                        let drained_tx = drained_tx.take();
                        spawn_local(async move {
                            drained.await;
                            if let Some(drained_tx) = drained_tx {
                                let _ = drained_tx.send(());
                            }
                        });
                    }
                },
                _ = &mut drained_rx, if is_draining => break,
            }
        }
        self.hand_over(&mut control, &background, &mut events).await;
    }

    /// Transfers the shares to the other gateways and revokes the lease, after the
    /// last request has ended.
    async fn hand_over(
        &mut self,
        control: &mut Control,
        background: &Rc<BackgroundCalls>,
        events: &mut UnboundedReceiver<Event>,
    ) {
        self.handle_event(control, background, Event::Drain);
        // A draining gateway transfers its shares at the next tick.
        self.handle_event(control, background, Event::Tick(Vec::new()));
        let deadline = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        while let Ok(Some(event)) = tokio::time::timeout_at(deadline, events.recv()).await {
            self.handle_event(control, background, event);
        }
        self.shared.set_charge_deadline(crate::clock::Millis::ZERO);
        background.revoke_lease().await;
    }

    fn handle_event(
        &mut self,
        control: &mut Control,
        background: &Rc<BackgroundCalls>,
        event: Event,
    ) {
        if let Event::Instances(instances) = &event {
            self.links.reconcile(instances);
            self.peers.reconcile(instances);
        }
        let now = self.shared.now();
        let effects = control.reduce(now, event);
        let mut is_publish_due = false;
        for effect in effects {
            match effect {
                Effect::Publish => is_publish_due = true,
                Effect::Share(effect) => {
                    // Publishing creates the buckets of new workspaces, which share
                    // effects need.
                    if std::mem::take(&mut is_publish_due) {
                        self.shared.publish(control.view());
                    }
                    self.apply_share_effect(control, background, effect);
                }
                other => self.apply_effect(background, other),
            }
        }
        if is_publish_due {
            self.shared.publish(control.view());
        }
    }

    fn apply_effect(&self, background: &Rc<BackgroundCalls>, effect: Effect) {
        match effect {
            Effect::SetKeyedRoutesUntil(until) => self.shared.set_keyed_routes_until(until),
            Effect::ReadHead => drop(spawn_local(background.clone().read_head())),
            Effect::ReadLog => drop(spawn_local(background.clone().read_log())),
            Effect::ReadShares => drop(spawn_local(background.clone().read_shares())),
            Effect::Send { to, message } => self.peers.send(&to, message),
            Effect::Order(agent_order) => self.send_order(agent_order, background.leader_guard()),
            // Applied by `handle_event`.
            Effect::Publish | Effect::Share(_) => {}
        }
    }

    fn apply_share_effect(
        &mut self,
        control: &mut Control,
        background: &Rc<BackgroundCalls>,
        effect: ShareEffect,
    ) {
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
                self.handle_event(control, background, Event::Share(split));
            }
            ShareEffect::SetChargeDeadline(until) => self.shared.set_charge_deadline(until),
            ShareEffect::WriteTerm {
                term,
                mod_revision,
                unleased,
            } => {
                spawn_local(background.clone().write_term(term, mod_revision, unleased));
            }
            // The reducer turns these into `Effect::Send`.
            ShareEffect::Send { .. } => {}
        }
    }

    fn send_order(&self, agent_order: AgentOrder, guard: LeaderGuard) {
        let links = self.shared.links();
        let link = links.iter().find(|l| l.name == agent_order.agent).cloned();
        let events = self.events.clone();
        spawn_local(async move {
            let exchange = async {
                let link = link.ok_or(())?;
                if !guard.is_leader() {
                    return Err(());
                }
                let hello = Hello::Order(agent_order.order.clone());
                let (_tx, mut rx): (_, FrameReader) = link.open(&hello).await.map_err(|_| ())?;
                rx.next::<OrderReply>().await.map_err(|_| ())
            };
            let reply = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
            log::info!(
                "order {:?} {} to {}: {reply:?}",
                agent_order.order.action,
                agent_order.order.model,
                agent_order.agent
            );
            if !matches!(reply, Ok(Ok(Some(Ok(()))))) {
                let _ = events.send(Event::OrderRefused(agent_order));
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
            "is_current": now <= self.shared.keyed_routes_until(),
            "live_peers": control.live_peers(now),
            "leader_fence": control.leader(),
            "moves": control.orders_issued(),
            "share_term": control.escrow().term(),
            "shares_active": control.escrow().is_active(),
            "may_charge": now <= self.shared.charge_deadline(),
            "shares": shares,
            "agents": agents,
            "models": view.catalogue.models.len(),
            "open_requests": self.shared.open_requests(),
            "draining": self.shared.is_draining(),
        })
    }
}

/// Waits for `announce_ms`, so that load balancers see the failing health check, and
/// then until no request is open.
async fn drain(shared: Arc<Shared>, announce_ms: u64) {
    log::info!("draining, {} requests open", shared.open_requests());
    sleep(Duration::from_millis(announce_ms)).await;
    while shared.open_requests() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
