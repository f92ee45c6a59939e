//! The command line tool for operators.

mod commands;
mod endpoints;
mod parts;

use std::process::ExitCode;

use rattanstall::cli::{EXIT_USAGE, report_result};

const PROGRAM: &str = "rattanstallctl";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        eprintln!("{}", commands::overview());
        return ExitCode::from(EXIT_USAGE);
    };
    match name.as_str() {
        "--help" | "-h" | "help" => {
            println!("{}", commands::overview());
            return ExitCode::SUCCESS;
        }
        "--version" | "-V" => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    let Some(command) = commands::find(name) else {
        eprintln!(
            "{PROGRAM}: \"{name}\" is not a command\n\n{}",
            commands::overview()
        );
        return ExitCode::from(EXIT_USAGE);
    };
    match command.parse(rest) {
        Ok(Some(args)) => report_result(PROGRAM, command.run(&args)),
        Ok(None) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{PROGRAM} {name}: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
