//! The command line of the daemons.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

/// Exit code for a command line or settings that are not valid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure at run time.
pub const EXIT_FAILURE: u8 = 1;

/// What a daemon's command line asks for.
pub enum Invocation {
    /// Run with this settings file.
    Run(PathBuf),
    /// Nothing more to do; exit with this code.
    Exit(ExitCode),
}

/// Reads a daemon's command line: `--settings FILE`, `--help`, `--version`.
pub fn parse_daemon_args(program: &str, about: &str) -> Invocation {
    let mut opts = Options::new();
    opts.optopt("s", "settings", "settings file (TOML)", "FILE");
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    let usage = opts.usage(&format!("{about}\n\nUsage: {program} --settings FILE"));
    let matches = match opts.parse(std::env::args_os().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{program}: {error}\n\n{usage}");
            return Invocation::Exit(ExitCode::from(EXIT_USAGE));
        }
    };
    if matches.opt_present("help") {
        println!("{usage}");
        return Invocation::Exit(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Invocation::Exit(ExitCode::SUCCESS);
    }
    match matches.opt_str("settings") {
        Some(file) => Invocation::Run(file.into()),
        None => {
            eprintln!("{program}: --settings is missing\n\n{usage}");
            Invocation::Exit(ExitCode::from(EXIT_USAGE))
        }
    }
}

/// Prints the error, if there is one, and returns the exit code.
pub fn report_result(program: &str, result: crate::error::Result<()>) -> ExitCode {
    use crate::code::Code;
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {} {error}", error.code().number());
            let is_usage = error.code() == Code::BadSettings;
            ExitCode::from(if is_usage { EXIT_USAGE } else { EXIT_FAILURE })
        }
    }
}
