//! Sends signals to gateways and agents and checks that open responses are complete.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use http::StatusCode;
use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder, loopback_address, program_dir, spawn};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// Duration of a call to the service, in milliseconds.
const CALL_MS: u64 = 1_500;
/// Tokens of a stream, each of which takes one step.
const STREAM_TOKENS: u64 = 30;
const STEP_US: u64 = 50_000;

async fn start() -> (Fleet, String) {
    let builder = FleetBuilder::default().gateways(2).engines(1).models(1);
    let services = vec![("orders".to_owned(), CALL_MS)];
    let builder = builder.step_us(STEP_US).services(services);
    let fleet = builder.start().expect("the fleet starts");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ostekaelderen.toml");
    let document = Document::read(&file).expect("a valid file");
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    (fleet, key)
}

/// Sends signals to all gateways and agents while a stream and two calls are open, which
/// must end complete.
async fn check_that_responses_are_complete(signals: &[Signal]) {
    let (fleet, key) = start().await;
    let caller = Caller::new(fleet.gateways[0].listen);
    let options = RequestOptions {
        key: Some(&key),
        ..RequestOptions::default()
    };
    let body = chat("m0", "Which cheese goes with quince?", STREAM_TOKENS, true);
    let stream = caller.post("/v1/chat/completions", &options, &body);
    let body = json!({ "wheel": "Vesterhavsost" });
    let order = caller.post("/orders/new", &options, &body);
    let body = json!({ "wheel": "Danbo" });
    let lookup = caller.post("/stock/danbo", &options, &body);
    let signals = async {
        for signal in signals {
            tokio::time::sleep(Duration::from_millis(300)).await;
            for process in fleet.gateways.iter().chain(&fleet.agents) {
                process.signal(*signal);
            }
        }
    };
    let (stream, order, lookup, ()) = tokio::join!(stream, order, lookup, signals);
    let stream = stream.expect("a response to the stream");
    assert_eq!((stream.status, stream.is_complete), (StatusCode::OK, true));
    assert!(stream.body.ends_with(b"[DONE]\n\n"));
    for call in [order, lookup] {
        let call = call.expect("a response to the call");
        assert_eq!((call.status, call.is_complete), (StatusCode::OK, true));
    }
    fleet.stop().expect("all processes exit with code 0");
}

// Guards against SIGHUP ending a gateway or an agent, which cuts all of their open responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_of_gateways_and_agents_cuts_no_response() {
    check_that_responses_are_complete(&[Signal::HUP]).await;
}

// Guards against other signals that end a gateway or an agent at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_signals_of_gateways_and_agents_cut_no_response() {
    let signals = [Signal::USR1, Signal::USR2, Signal::ALARM, Signal::PIPE];
    check_that_responses_are_complete(&signals).await;
}

// Guards against a second stop signal, or one that is not SIGTERM, ending a gateway or an
// agent at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_signals_of_gateways_and_agents_cut_no_response() {
    let signals = [Signal::QUIT, Signal::HUP, Signal::TERM, Signal::INT];
    check_that_responses_are_complete(&signals).await;
}

/// A program that runs alone.
struct Program {
    name: &'static str,
    process: Child,
}

impl Program {
    /// Starts a program of the build and waits until it blocks on its files or serves.
    fn start(name: &'static str, args: &[&str]) -> Self {
        let program = program_dir().expect("a directory").join(name);
        let process = spawn(Command::new(program).args(args));
        let process = process.expect("the program starts");
        std::thread::sleep(Duration::from_millis(300));
        Self { name, process }
    }

    /// Sends a signal and returns how the process has ended some time later, if it has.
    fn signal(&mut self, signal: Signal) -> Option<ExitStatus> {
        kill_process(Pid::from_child(&self.process), signal).expect("a living process");
        std::thread::sleep(Duration::from_millis(300));
        self.process.try_wait().expect("a child process")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A file that nobody writes, so that reading it blocks.
fn blocking_file(name: &str) -> PathBuf {
    let id = std::process::id();
    let file = std::env::temp_dir().join(format!("rattanstall-{name}-{id}"));
    let made = spawn(Command::new("mkfifo").arg(&file))
        .expect("mkfifo runs")
        .wait();
    assert!(made.expect("a child process").success());
    file
}

// Guards against a stop signal ending a program by the system's default action before the
// program has read its files, and against a stand-in that outlives its terminal.
#[test]
fn stop_signals_end_a_starting_program_in_order() {
    let file = blocking_file("starting");
    let path = file.to_str().expect("a printable path");
    let listen = format!("{}:0", loopback_address(std::process::id()));
    let setup = ["--listen", &listen, "--setup", path];
    let programs: [(&str, &[&str], bool); 5] = [
        ("rattanstall-gateway", &["--settings", path], true),
        ("rattanstall-agent", &["--settings", path], true),
        ("standin-platform", &setup, false),
        ("standin-endpoint", &setup[..2], false),
        ("standin-service", &setup[..2], false),
    ];
    std::thread::scope(|scope| {
        for (name, args, is_daemon) in programs {
            for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
                scope.spawn(move || {
                    let mut program = Program::start(name, args);
                    let ended = program.signal(signal).map(|status| status.code());
                    let expected = match is_daemon && signal == Signal::HUP {
                        true => None,
                        false => Some(Some(0)),
                    };
                    assert_eq!(ended, expected, "{signal:?} at {}", program.name);
                });
            }
        }
    });
    let _ = std::fs::remove_file(file);
}

/// Starts a gateway of a fleet again with its log connected to this, and stops it.
async fn check_that_a_gateway_serves_and_stops(log: Stdio) {
    let (mut fleet, _) = start().await;
    fleet.gateways[0].kill();
    let settings = fleet.dir().join("gw-0.toml");
    let program = program_dir()
        .expect("a directory")
        .join("rattanstall-gateway");
    let mut command = Command::new(program);
    let process = spawn(command.arg("--settings").arg(settings).stderr(log));
    let process = process.expect("the program starts");
    let name = "rattanstall-gateway";
    let mut program = Program { name, process };
    let deadline = Instant::now() + Duration::from_secs(20);
    let is_up = async || {
        // A gateway that waits for its log accepts and never responds.
        let state = tokio::time::timeout(Duration::from_secs(2), fleet.gateways[0].state());
        matches!(state.await, Ok(Some(_)))
    };
    while !is_up().await {
        assert!(Instant::now() < deadline, "it does not serve");
        assert_eq!(program.process.try_wait().expect("a child process"), None);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut ended = program.signal(Signal::TERM);
    while ended.is_none() {
        assert!(Instant::now() < deadline, "it does not stop");
        tokio::time::sleep(Duration::from_millis(50)).await;
        ended = program.process.try_wait().expect("a child process");
    }
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}

// Guards against a gateway that ends because nobody reads its log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_serves_with_a_closed_log() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    check_that_a_gateway_serves_and_stops(writer.into()).await;
}

// Guards against a gateway that waits for a reader of its log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_serves_with_a_full_log() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    writer.write_all(&[b'.'; 64 << 10]).expect("filled");
    check_that_a_gateway_serves_and_stops(writer.into()).await;
}
