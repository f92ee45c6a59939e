//! Stand-in for a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use rattanstall_standins::engine::{EngineSetup, EngineStandIn};
use rattanstall_standins::options::{parse, required, value};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    rattanstall_standins::exit_on_stop()?;
    let options = [
        ("listen", "address to listen on"),
        ("memory-bytes", "memory in bytes (default 1000)"),
        (
            "obeys-fence",
            "whether orders with old fencing numbers are refused (default true)",
        ),
        ("weights", "address of the weight store"),
        (
            "prefill-us",
            "prefill time of each prompt token in microseconds (default 50)",
        ),
        (
            "step-us",
            "duration of a step in microseconds (default 2000)",
        ),
        (
            "batch-us",
            "time that each further request adds to a step in microseconds (default 50)",
        ),
    ];
    let args = parse("Stands in for a model engine.", &options);
    let listen: SocketAddr = required(&args, "listen");
    let setup = EngineSetup {
        memory_bytes: value(&args, "memory-bytes", 1_000),
        obeys_fence: value(&args, "obeys-fence", true),
        weight_store: Some(required(&args, "weights")),
        prefill_us: value(&args, "prefill-us", 50),
        step_us: value(&args, "step-us", 2_000),
        batch_us: value(&args, "batch-us", 50),
    };
    rattanstall_standins::run(listen, Arc::new(EngineStandIn::new(setup)))?;
    Ok(())
}
