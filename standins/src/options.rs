//! Command-line options of the stand-ins.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};

/// Parses options of the form `--name VALUE`; exits with code 2 if they are not valid.
pub fn parse(about: &str, options: &[(&str, &str)]) -> Matches {
    let mut opts = Options::new();
    for (name, text) in options {
        opts.optopt("", name, text, "VALUE");
    }
    opts.optflag("h", "help", "print this help");
    let matches = opts.parse(std::env::args_os().skip(1));
    match matches {
        Ok(matches) if matches.opt_present("help") => {
            println!("{}", opts.usage(about));
            std::process::exit(0);
        }
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", opts.usage(about));
            std::process::exit(2);
        }
    }
}

/// Returns the value of an option, or a default; exits with code 2 if it cannot be parsed.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> T
where
    T::Err: Display,
{
    let Some(text) = matches.opt_str(name) else {
        return default;
    };
    text.parse().unwrap_or_else(|error| {
        eprintln!("--{name}: \"{text}\": {error}");
        std::process::exit(2);
    })
}

/// Returns the value of a required option; exits with code 2 if it is missing or
/// cannot be parsed.
pub fn required<T: FromStr>(matches: &Matches, name: &str) -> T
where
    T::Err: Display,
{
    let Some(text) = matches.opt_str(name) else {
        eprintln!("--{name} is missing");
        std::process::exit(2);
    };
    text.parse().unwrap_or_else(|error| {
        eprintln!("--{name}: \"{text}\": {error}");
        std::process::exit(2);
    })
}
