//! A gateway that connects to its endpoints directly over HTTP.
//!
//! It serves the same purpose as [`crate::gateway`], for platforms on which an
//! agent beside each endpoint is not worth its cost. The control thread runs one
//! reducer that owns the control state; the traffic thread forwards requests.
//! Names and formats of a platform are behind [`dialect::Dialect`].

pub mod admission;
pub mod answer;
mod background_calls;
pub mod balance;
pub mod balancing;
pub mod block_record;
pub mod buffers;
mod caller_stream;
pub mod connection;
pub mod control;
pub mod crash_watch;
pub mod dialect;
pub mod directory;
pub mod document;
mod driver;
pub mod era;
pub mod evacuation;
pub mod fan_out;
pub mod fleet;
mod forward;
pub mod framing;
mod front;
pub mod gossip;
pub mod health;
pub mod intake;
mod internal;
mod job;
pub mod leader;
pub mod ledger;
pub mod load_exchange;
pub mod loans;
pub mod members;
pub mod membership;
pub mod notices;
mod origin;
pub mod pace;
pub mod part_table;
pub mod placement;
pub mod queue;
mod quota;
pub mod rate_owner;
pub mod rates;
mod readiness;
pub mod refusal;
pub mod registry;
mod relay;
pub mod reload;
pub mod request;
pub mod resume;
pub mod retry_budget;
mod run_hash;
pub mod settings;
pub mod shared;
pub mod shares;
mod side_server;
pub mod store;
pub mod stream_records;
pub mod streams;
mod supervision;
pub mod suspects;
pub mod sync;
pub mod version_record;
pub mod view;
pub mod workload;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::clock::{Clock, Millis};
use crate::error::{Error, Result};
use crate::metrics::Metrics;
use crate::signals::Signals;
use crate::{journal, logs};

use balancing::pace_report::{PaceLog, PaceReport};
use dialect::Dialect;
use front::Front;
use internal::InternalServer;
pub use internal::{PEER_TOKEN_HEADER, peer_token};
use queue::event_queue;
use readiness::Readiness;
use reload::Reloader;
use shared::Shared;
use side_server::serve;
use supervision::Supervisor;

/// How long a stopping gateway keeps accepting connections. The load balancer
/// checks readiness every second and removes a process after two failed checks.
const DRAIN_ANNOUNCE_TIME: Millis = Millis(2_500);
/// How long a stopping process waits for the end of its lease to reach the store.
const LEASE_END_WAIT: Millis = Millis(20);
/// How long before the end of the grace period a stopping gateway exits, even if
/// requests are still open.
const GRACE_MARGIN: Millis = Millis(400);
/// How long a stopping gateway lets its other servers write their last responses.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a stopping gateway checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the traffic thread publishes this gateway's load.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until a stop signal arrives and its open requests have ended or the
/// grace period is nearly over.
pub fn run(reloader: Reloader, dialect: Arc<dyn Dialect>, signals: &Signals) -> Result<()> {
    signals.begin_service();
    let ended = run_until_stopped(reloader, dialect, signals);
    journal::flush_at_end();
    ended
}

fn run_until_stopped(
    reloader: Reloader,
    dialect: Arc<dyn Dialect>,
    signals: &Signals,
) -> Result<()> {
    let settings = reloader.settings().gateway.clone();
    let _log = logs::start_in_journal()?;
    journal::write(
        "process.started",
        &[
            ("name", (&settings.name).into()),
            ("zone", (&settings.zone).into()),
            ("program", env!("CARGO_PKG_VERSION").into()),
        ],
    );
    let metrics = Arc::new(Metrics::new("rattanstall-gateway")?);
    let settings = Arc::new(settings);
    let clock = Clock::system();
    let (events, queue) = event_queue(clock.clone());
    let shared = Arc::new(Shared::new(
        clock,
        settings,
        reloader.live(),
        dialect,
        metrics,
        events.clone(),
    ));
    reload::start_thread(reloader, shared.clone(), signals.clone())?;
    let supervisor = Supervisor::start();
    let (control, watched) = (shared.clone(), supervisor.clone());
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _watched = watched.watch("control");
            if let Err(error) = driver::run(control, events, queue, &watched) {
                log::error!("{error}");
                watched.fail("control");
            }
        })
        .map_err(|e| Error::io("starting the control thread", e))?;
    // Bound before the readiness port, so that the load balancer sends no
    // connections that would be refused.
    let listener = bind_listener(&shared)?;
    let readiness = Readiness::new(shared.clone());
    serve(shared.settings.readiness, Arc::new(readiness))?;
    let internal = Arc::new(InternalServer::new(shared.clone()));
    serve(shared.settings.internal, internal.clone())?;
    serve_metrics(&shared, internal);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the traffic runtime", e))?;
    let traffic = serve_callers(shared, listener, signals, &supervisor);
    LocalSet::new().block_on(&runtime, traffic)?;
    std::thread::sleep(FLUSH_DELAY);
    journal::write("process.stopped", &[]);
    Ok(())
}

/// Serves metrics at a separate address, if the settings name one. If the address
/// cannot be bound, the gateway logs the error and serves callers without it.
fn serve_metrics(shared: &Shared, internal: Arc<InternalServer>) {
    let Some(address) = shared.settings.metrics else {
        return;
    };
    if let Err(error) = serve(address, internal) {
        let error = error.to_string();
        journal::write("metrics.unavailable", &[("error", (&error).into())]);
    }
}

fn bind_listener(shared: &Shared) -> Result<std::net::TcpListener> {
    let address = shared.settings.callers;
    let bound = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|e| Error::io(format!("binding TCP {address}"), e))
}

async fn serve_callers(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
    signals: &Signals,
    supervisor: &Supervisor,
) -> Result<()> {
    let listener =
        TcpListener::from_std(listener).map_err(|e| Error::io("accepting callers", e))?;
    let front = Front::new(shared.clone());
    supervisor.spawn(
        "connection sweep",
        front.intake().clone().sweep_connections(),
    );
    supervisor.spawn("load", publish_load(shared.clone(), front.clone()));
    let accepting = supervisor.spawn("accept", front.accept(listener));
    let failed = tokio::select! {
        () = signals.stopped() => None,
        part = supervisor.failure() => Some(part),
    };
    if let Some(part) = failed {
        journal::write("process.failed", &[("part", part.into())]);
    }
    drain(&shared).await;
    accepting.abort();
    shared.send_event(control::Event::Stop);
    sleep(LEASE_END_WAIT.as_duration()).await;
    match failed {
        None => Ok(()),
        Some(part) => Err(Error::io(
            format!("running {part}"),
            std::io::Error::other("it panicked"),
        )),
    }
}

/// Publishes the requests in flight to the control thread at a fixed interval.
async fn publish_load(shared: Arc<Shared>, front: Rc<Front>) {
    let mut pace_log = PaceLog::default();
    loop {
        sleep(LOAD_PUBLISH_INTERVAL).await;
        let now = shared.now();
        let fleet = front.forwarder().fleet.borrow();
        shared.set_own_loads(fleet.loads());
        let paces = fleet.pace_reports(now);
        drop(fleet);
        for report in pace_log.changes(now, &paces) {
            log_pace(report);
        }
        shared.set_paces(paces);
    }
}

fn log_pace(report: &PaceReport) {
    let rounded = |number: f64| (number * 100.0).round() / 100.0;
    journal::write(
        "endpoint.pace",
        &[
            ("endpoint", (&report.endpoint).into()),
            (
                "event_ms",
                rounded(report.event_ms.unwrap_or_default()).into(),
            ),
            ("relative", rounded(report.relative).into()),
            ("window", rounded(report.window).into()),
        ],
    );
}

/// Waits until the load balancer has stopped sending requests and no request is
/// open, at most until shortly before the end of the grace period.
async fn drain(shared: &Shared) {
    let since = shared.now();
    shared.set_draining();
    shared.send_event(control::Event::Drain);
    journal::write(
        "process.draining",
        &[("open", shared.open_requests().into())],
    );
    sleep(DRAIN_ANNOUNCE_TIME.as_duration()).await;
    let latest = shared.bounds().grace - GRACE_MARGIN;
    while shared.open_requests() > 0 && shared.now().since(since) < latest {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    journal::write(
        "process.drained",
        &[("open", shared.open_requests().into())],
    );
}
