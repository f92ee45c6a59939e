//! Starts a small fleet with stand-ins and sends two requests through it.
//! `--keep` leaves the fleet running until it is stopped.

use std::error::Error;
use std::path::Path;

use rattanstall::config::Document;
use rattanstall::signals::{Action, Signals};
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use serde_json::json;

const CONFIGURATION_FILE: &str = "examples/ostekaelderen.toml";

fn main() -> Result<(), Box<dyn Error>> {
    let signals = Signals::install(Action::Stop, |_, _| {})?;
    let keep_running = std::env::args().skip(1).any(|arg| arg == "--keep");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // From here on, a signal must not leave the processes of the fleet behind.
    signals.begin_service();
    let fleet = FleetBuilder::default().start()?;
    let is_stopped = runtime.block_on(async {
        tokio::select! {
            sent = send_requests(&fleet) => sent.map(|()| false),
            () = signals.stopped() => Ok(true),
        }
    })?;
    if keep_running && !is_stopped {
        print_addresses(&fleet);
        runtime.block_on(signals.stopped());
    }
    fleet.stop()?;
    match is_stopped {
        true => println!("quickstart: stopped"),
        false => println!("quickstart: ok"),
    }
    Ok(())
}

async fn send_requests(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let document = Document::read(Path::new(CONFIGURATION_FILE))?;
    let revision = fleet.apply(document).await;
    println!("configuration {CONFIGURATION_FILE} in force as revision {revision}");
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    let caller = Caller::new(fleet.gateways[0].listen);
    let options = RequestOptions {
        key: Some(&key),
        ..RequestOptions::default()
    };
    let body = chat("m0", "Which cheese goes with quince?", 5, true);
    let res = caller.post("/v1/chat/completions", &options, &body).await?;
    println!("--- streamed model answer: {}", res.status);
    println!("{}", String::from_utf8_lossy(&res.body));
    let is_complete = res.is_complete && res.body.ends_with(b"[DONE]\n\n");
    let options = RequestOptions {
        idempotency_key: Some("basket-1"),
        ..options
    };
    let order = json!({ "wheel": "Vesterhavsost", "count": 1 });
    let res = caller.post("/orders/new", &options, &order).await?;
    println!("--- order: {}", res.status);
    println!("{}", String::from_utf8_lossy(&res.body));
    match is_complete && res.status == 200 {
        true => Ok(()),
        false => Err(format!(
            "a response is incomplete or not successful; logs: {}",
            fleet.dir().display()
        )
        .into()),
    }
}

fn print_addresses(fleet: &Fleet) {
    println!("platform    {}", fleet.platform.listen);
    for gateway in &fleet.gateways {
        let admin = gateway.admin.map(|a| a.to_string()).unwrap_or_default();
        println!(
            "{:<11} {} (operators: {admin})",
            gateway.name, gateway.listen
        );
    }
    println!("press ctrl-c to stop");
}
