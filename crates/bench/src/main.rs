//! Benchmarks of the proxy. Figures in virtual time are the same on every run; the others depend on
//! the machine.

mod decisions;
mod failover;
mod fleet;
mod latency;
mod replicas;
mod sessions;
mod sockets;
mod usage;

use std::process::ExitCode;

use gumdrop::Options;

/// The command line.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "show this help")]
    help: bool,
    #[options(
        free,
        help = "failover, replicas, latency, fleet (virtual time); decisions, sockets, idle, sessions (this machine)"
    )]
    measures: Vec<String>,
}

/// The benchmarks that run by default: those in virtual time.
const VIRTUAL: [&str; 4] = ["failover", "replicas", "latency", "fleet"];

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut names: Vec<&str> = arguments.measures.iter().map(String::as_str).collect();
    if names.is_empty() {
        names = VIRTUAL.to_vec();
    }
    for name in names {
        if let Err(error) = run(name) {
            eprintln!("goldcrest-bench: {name}: {error:#}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run(name: &str) -> anyhow::Result<()> {
    let text = match name {
        "failover" => failover::table(),
        "replicas" => replicas::table(),
        "latency" => latency::table()?,
        "decisions" => decisions::table(),
        "sockets" => sockets::table()?,
        "fleet" => fleet::table(),
        "idle" => usage::idle_table()?,
        "sessions" => sessions::table()?,
        other => anyhow::bail!("there is no benchmark \"{other}\""),
    };
    println!("{text}");
    Ok(())
}
