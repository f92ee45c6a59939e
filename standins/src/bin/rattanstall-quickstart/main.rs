//! Starts a small fleet with stand-ins and sends two requests through it.

use std::error::Error;
use std::path::Path;

use rattanstall::config::Document;
use rattanstall_standins::caller::{Ask, Caller, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use serde_json::json;

const CONFIGURATION: &str = "examples/ostekaelderen.toml";

fn main() -> Result<(), Box<dyn Error>> {
    let is_kept = std::env::args().skip(1).any(|arg| arg == "--keep");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let fleet = FleetBuilder::default().start()?;
    runtime.block_on(show(&fleet))?;
    if is_kept {
        print_addresses(&fleet);
        runtime.block_on(rattanstall::signals::wait_for_stop());
    }
    fleet.stop()?;
    println!("quickstart: ok");
    Ok(())
}

async fn show(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let document = Document::read(Path::new(CONFIGURATION))?;
    let revision = fleet.apply(document).await;
    println!("configuration {CONFIGURATION} in force as revision {revision}");
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    let caller = Caller::new(fleet.gateways[0].listen);
    let ask = Ask {
        key: Some(&key),
        ..Ask::default()
    };
    let body = chat("m0", "Which cheese goes with quince?", 5, true);
    let answer = caller.post("/v1/chat/completions", &ask, &body).await?;
    println!("--- streamed model answer: {}", answer.status);
    println!("{}", String::from_utf8_lossy(&answer.body));
    let is_whole = answer.is_whole && answer.body.ends_with(b"[DONE]\n\n");
    let ask = Ask {
        idempotency_key: Some("basket-1"),
        ..ask
    };
    let order = json!({ "wheel": "Vesterhavsost", "count": 1 });
    let answer = caller.post("/orders/new", &ask, &order).await?;
    println!("--- order: {}", answer.status);
    println!("{}", String::from_utf8_lossy(&answer.body));
    match is_whole && answer.status == 200 {
        true => Ok(()),
        false => Err(format!("an answer is missing; logs: {}", fleet.dir().display()).into()),
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
