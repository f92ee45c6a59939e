//! The gateway's executable: arguments and start-up.

use std::process::ExitCode;

use rattanstall::cli::{Invocation, parse_daemon_args, report_result};
use rattanstall::error::Result;
use rattanstall::signals::{Action, Signals};
use rattanstall::{gateway, logs, settings};

const PROGRAM: &str = "rattanstall-gateway";

fn main() -> ExitCode {
    match parse_daemon_args(
        PROGRAM,
        "Serves callers and runs control tasks for the whole system.",
    ) {
        Invocation::Run(file) => report_result(PROGRAM, run(&file)),
        Invocation::Exit(code) => code,
    }
}

fn run(file: &std::path::Path) -> Result<()> {
    let signals = Signals::install(Action::Ignore, logs::log_signal)?;
    let settings: settings::GatewaySettings = settings::read(file)?;
    let _log = logs::start(&settings.log)?;
    gateway::run(settings, signals)
}
