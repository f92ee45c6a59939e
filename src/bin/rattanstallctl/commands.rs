//! The commands of `rattanstallctl`, each with its options.

use std::io::{IsTerminal as _, Write as _};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use getopts::{Matches, Options};
use rattanstall::config::Document;
use rattanstall::error::{Error, Result};
use rattanstall::operator::{Operator, ProcessState};
use rattanstall::tls;
use serde_json::{Value, json};

use crate::{endpoints, parts};

/// How long `--wait` waits for all gateways.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// One command.
pub struct Command {
    name: &'static str,
    operands: &'static str,
    about: &'static str,
    run: fn(&Args) -> Result<()>,
}

/// A command's options and operands.
pub struct Args {
    matches: Matches,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "validate",
        operands: "FILE",
        about: "checks a configuration file",
        run: validate,
    },
    Command {
        name: "diff",
        operands: "FILE",
        about: "shows what applying a file would change",
        run: diff,
    },
    Command {
        name: "apply",
        operands: "FILE",
        about: "puts a configuration file in force",
        run: apply,
    },
    Command {
        name: "key-create",
        operands: "WORKSPACE",
        about: "creates a key and shows its secret once",
        run: key_create,
    },
    Command {
        name: "key-withdraw",
        operands: "DIGEST",
        about: "withdraws a key, also from connected callers",
        run: key_withdraw,
    },
    Command {
        name: "status",
        operands: "",
        about: "shows every process and what is wrong with it",
        run: status,
    },
    Command {
        name: "dump",
        operands: "ADDRESS",
        about: "prints the state of one process",
        run: dump,
    },
    Command {
        name: "drain",
        operands: "ADDRESS",
        about: "shuts one process down gracefully",
        run: drain,
    },
    Command {
        name: "endpoints",
        operands: "ADDRESS",
        about: "shows endpoints and what they said of themselves",
        run: endpoints::list,
    },
    Command {
        name: "parts",
        operands: "ADDRESS",
        about: "shows blocked parts of prompts and suspects",
        run: parts::list,
    },
    Command {
        name: "block",
        operands: "ADDRESS PART",
        about: "refuses requests with a part at all gateways",
        run: parts::block,
    },
    Command {
        name: "unblock",
        operands: "ADDRESS PART",
        about: "lifts the block of a part at all gateways",
        run: parts::unblock,
    },
    Command {
        name: "tls",
        operands: "DIRECTORY",
        about: "creates a certificate authority and a process certificate",
        run: create_tls,
    },
];

/// The help text that lists all commands.
pub fn overview() -> String {
    let mut text = String::from("Usage: rattanstallctl COMMAND [OPTIONS]\n\nCommands:\n");
    for command in COMMANDS {
        let head = format!("{} {}", command.name, command.operands);
        text.push_str(&format!("  {head:<24} {}\n", command.about));
    }
    text.push_str("\nRun a command with --help to see its options.");
    text
}

/// The command of this name.
pub fn find(name: &str) -> Option<&'static Command> {
    COMMANDS.iter().find(|command| command.name == name)
}

impl Command {
    /// Parses the options. Returns `None` if help was requested and printed.
    pub fn parse(&self, args: &[String]) -> std::result::Result<Option<Args>, String> {
        let mut opts = Options::new();
        opts.optopt(
            "p",
            "platform",
            "the platform's key-value service",
            "ADDRESS",
        );
        opts.optopt("i", "instances", "the platform's instance list", "ADDRESS");
        opts.optopt(
            "e",
            "expect",
            "apply only if this revision is in force",
            "REVISION",
        );
        opts.optflag(
            "w",
            "wait",
            "wait until the change is in force on all gateways",
        );
        opts.optopt("t", "token", "file with the gateways' token", "FILE");
        opts.optflag("j", "json", "print JSON");
        opts.optflag("h", "help", "print this help");
        let brief = format!(
            "{}\n\nUsage: rattanstallctl {} {} [OPTIONS]",
            self.about, self.name, self.operands
        );
        let usage = opts.usage(&brief);
        let matches = opts.parse(args).map_err(|e| format!("{e}\n\n{usage}"))?;
        if matches.opt_present("help") {
            println!("{usage}");
            return Ok(None);
        }
        let operand_count = self.operands.split_whitespace().count();
        if matches.free.len() != operand_count {
            return Err(format!("{operand_count} operand(s) expected\n\n{usage}"));
        }
        Ok(Some(Args { matches }))
    }

    /// Runs the command.
    pub fn run(&self, args: &Args) -> Result<()> {
        (self.run)(args)
    }
}

impl Args {
    /// The operand at a position.
    pub fn operand(&self, at: usize) -> &str {
        self.matches.free.get(at).map_or("", String::as_str)
    }

    /// The value of an option.
    pub fn option(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    fn is_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    fn address(&self, option: &str) -> Result<Option<SocketAddr>> {
        let Some(text) = self.matches.opt_str(option) else {
            return Ok(None);
        };
        parse_address(&format!("--{option}"), &text).map(Some)
    }

    fn operator(&self) -> Result<Operator> {
        let platform = self.address("platform")?;
        let platform = platform.ok_or_else(|| usage_error("--platform", "is missing"))?;
        Ok(Operator::new(platform, self.address("instances")?))
    }

    fn expected(&self) -> Result<Option<u64>> {
        let Some(text) = self.matches.opt_str("expect") else {
            return Ok(None);
        };
        let revision = text.parse();
        let revision = revision.map_err(|_| usage_error("--expect", "must be a revision"))?;
        Ok(Some(revision))
    }
}

fn validate(args: &Args) -> Result<()> {
    let document = Document::read(Path::new(args.operand(0)))?;
    print(args, &json!({ "valid": true }), || {
        format!(
            "valid: {} workspaces, {} classes, {} routes, {} keys",
            document.workspaces.len(),
            document.classes.len(),
            document.routes.len(),
            document.keys.len()
        )
    });
    Ok(())
}

fn diff(args: &Args) -> Result<()> {
    let document = Document::read(Path::new(args.operand(0)))?;
    let operator = args.operator()?;
    let current = block_on(operator.current())??;
    let change = current.document().diff(&document);
    let change = serde_json::to_value(&change).unwrap_or_default();
    let value = json!({ "revision": current.revision(), "change": change });
    println!("{value:#}");
    Ok(())
}

fn apply(args: &Args) -> Result<()> {
    let document = Document::read(Path::new(args.operand(0)))?;
    let operator = args.operator()?;
    let revision = block_on(operator.apply(document, args.expected()?))??;
    finish_change(args, &operator, revision, json!({ "revision": revision }))
}

fn key_create(args: &Args) -> Result<()> {
    let operator = args.operator()?;
    let key = block_on(operator.create_key(args.operand(0)))??;
    let value = json!({
        "secret": key.secret, "digest": key.digest, "revision": key.revision,
    });
    finish_change(args, &operator, key.revision, value)
}

fn key_withdraw(args: &Args) -> Result<()> {
    let operator = args.operator()?;
    let revision = block_on(operator.withdraw_key(args.operand(0)))??;
    finish_change(args, &operator, revision, json!({ "revision": revision }))
}

/// Waits with `--wait` until the revision is in force, then prints the fields of `value`.
fn finish_change(args: &Args, operator: &Operator, revision: u64, value: Value) -> Result<()> {
    if args.matches.opt_present("wait") {
        let is_terminal = std::io::stderr().is_terminal();
        let show = |done, all| {
            if is_terminal {
                eprint!("\rin force on {done} of {all} gateways");
                let _ = std::io::stderr().flush();
            }
        };
        block_on(operator.wait_for_revision(revision, WAIT_TIMEOUT, show))??;
        if is_terminal {
            eprintln!();
        }
    }
    print(args, &value, || {
        let fields = value.as_object().into_iter().flatten();
        let lines: Vec<String> = fields
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}: {text}"),
                None => format!("{name}: {value}"),
            })
            .collect();
        lines.join("\n")
    });
    Ok(())
}

fn status(args: &Args) -> Result<()> {
    let operator = args.operator()?;
    let states = block_on(operator.states())??;
    let value = serde_json::to_value(&states).unwrap_or_default();
    print(args, &value, || {
        let lines: Vec<String> = states.iter().map(status_line).collect();
        lines.join("\n")
    });
    Ok(())
}

fn status_line(process: &ProcessState) -> String {
    let role = format!("{:?}", process.role).to_lowercase();
    let problems = match &process.state {
        None => vec!["does not answer".to_owned()],
        Some(state) => problems_of(state),
    };
    let problems = match problems.is_empty() {
        true => "ok".to_owned(),
        false => problems.join(", "),
    };
    format!(
        "{:<16} {role:<8} {:<12} {problems}",
        process.name, process.zone
    )
}

fn problems_of(state: &Value) -> Vec<String> {
    let has = |field: &str, wanted: bool| state[field].as_bool() == Some(wanted);
    let checks = [
        (has("draining", true), "shutting down"),
        (has("healthy", false), "its endpoint does not answer"),
        (
            state["number"] == json!(0),
            "takes no orders: the service did not answer yet",
        ),
        (has("superseded", true), "a later agent serves its endpoint"),
        (
            has("is_current", false),
            "configuration not confirmed: keyed routes refused",
        ),
        (
            has("may_charge", false),
            "holds no right to charge: limited routes refused",
        ),
        (has("shares_active", false), "shares not active"),
    ];
    let failed = checks.iter().filter(|(is_failed, _)| *is_failed);
    failed.map(|(_, text)| (*text).to_owned()).collect()
}

fn dump(args: &Args) -> Result<()> {
    let address = parse_address("ADDRESS", args.operand(0))?;
    let operator = Operator::new(address, None);
    let state = block_on(operator.state(address))??;
    println!("{state:#}");
    Ok(())
}

fn drain(args: &Args) -> Result<()> {
    let address = parse_address("ADDRESS", args.operand(0))?;
    block_on(Operator::new(address, None).drain(address))??;
    print(args, &json!({ "draining": true }), || "draining".to_owned());
    Ok(())
}

fn create_tls(args: &Args) -> Result<()> {
    let dir = Path::new(args.operand(0));
    std::fs::create_dir_all(dir)
        .map_err(|e| Error::io(format!("creating {}", dir.display()), e))?;
    tls::create_material(dir)
}

/// Prints JSON if that was asked for, and otherwise text.
pub fn print(args: &Args, value: &Value, text: impl FnOnce() -> String) {
    match args.is_json() {
        true => println!("{value}"),
        false => println!("{}", text()),
    }
}

/// Parses an address; `key` names it in the error.
pub fn parse_address(key: &str, text: &str) -> Result<SocketAddr> {
    let message = format!("\"{text}\" is not an address; allowed: IP:PORT");
    text.parse().map_err(|_| usage_error(key, &message))
}

/// The error of an operand or option that is not valid.
pub fn usage_error(key: &str, message: &str) -> Error {
    Error::Config {
        key: key.to_owned(),
        message: message.to_owned(),
    }
}

/// Runs a future to its end.
pub fn block_on<F: Future>(future: F) -> Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the runtime", e))?;
    Ok(runtime.block_on(future))
}
