//! The gateway: serves callers' HTTP requests, checks API keys and limits, routes to
//! agents, and takes part in control (configuration, shares, placement).
//!
//! One thread owns the control state ([`crate::control`]) and applies its effects.
//! The request threads of the HTTP server read the view that it publishes, without locks.

mod answer;
mod background_calls;
mod call;
mod driver;
mod front;
mod links;
mod model;
mod peers;
mod service;
mod shared;

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;

use crate::admin::Admin;
use crate::claim::Claims;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::http::serve;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::GatewaySettings;
use crate::signals::Signals;
use crate::tls::Identity;
use crate::transport::bind;
use crate::wire::Member;

use driver::Driver;
use front::Front;
use links::Links;
use peers::Peers;
use shared::Shared;

/// Threads of the runtime for connections to agents and other gateways.
const IO_THREADS: usize = 2;
/// Interval at which a draining gateway checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a gateway until it is told to stop and its last request has ended.
pub fn run(settings: GatewaySettings, signals: Signals) -> Result<()> {
    let io = io_runtime()?;
    let identity = Identity::load(&settings.tls)?;
    signals.begin_service();
    let metrics = Arc::new(Metrics::new("rattanstall-gateway")?);
    let platform = Platform::new(settings.platform);
    let me = Member {
        name: settings.name.clone(),
        boot: rand::random(),
    };
    let (events, event_rx) = mpsc::unbounded_channel();
    let (admin_requests, admin_request_rx) = mpsc::unbounded_channel();
    let guard = io.enter();
    let socket = bind(settings.peer, &identity)?;
    let claims = Claims::start(platform.clone());
    let clock = Clock::system();
    let shared = Arc::new(Shared::new(clock, claims, metrics.clone()));
    let links = Links::new(socket.clone(), shared.clone(), events.clone());
    let peers = Peers::new(socket.clone(), me.clone(), events.clone());
    drop(guard);
    let admin = Admin::start(settings.admin, admin_requests.clone(), metrics)?;
    let front = Front::new(shared.clone());
    let server = serve(settings.listen, settings.threads, Arc::new(front))?;
    log::info!("gateway {} is up", settings.name);
    let driver = Driver {
        settings: settings.clone(),
        me,
        platform,
        shared: shared.clone(),
        links,
        peers,
        events,
        admin_requests,
        signals,
    };
    driver.run(event_rx, admin_request_rx)?;
    server.stop();
    admin.stop();
    socket.close(0u32.into(), b"stopped");
    io.block_on(socket.wait_idle());
    log::info!("gateway {} stopped", settings.name);
    Ok(())
}

fn io_runtime() -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .thread_name("peer-io")
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the runtime", e))
}
