//! The stand-ins and the cases of a review. `review/build-2.sh` builds them; `run.sh` in the
//! folder of each case starts one.

mod cases;
mod engine;
mod http;
mod json;
mod store;
mod world;

use std::process::ExitCode;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use engine::{Engine, State};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["engine", address, id, version, born, step, is_empty] => {
            let engine = Arc::new(Engine {
                id: id.to_owned(),
                version: version.to_owned(),
                born: born.parse().unwrap_or_default(),
                step: step.parse().unwrap_or(1),
                running: AtomicUsize::new(0),
                state: Mutex::new(State {
                    holds: is_empty != "true",
                    ..State::default()
                }),
            });
            match engine.run(address) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("{id}: {error}");
                    ExitCode::from(2)
                }
            }
        }
        ["case", name, record] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            match cases::run(name, record, has_trouble) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::from(1),
                Err(trouble) => {
                    eprintln!("the case could not run: {trouble}");
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprintln!("stand case NAME RECORD | stand engine ADDRESS ID VERSION BORN STEP EMPTY");
            ExitCode::from(2)
        }
    }
}
