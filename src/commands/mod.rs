//! The commands of the program.

mod change;
mod check;
#[cfg(feature = "demo")]
mod demo;
#[cfg(feature = "demo")]
mod fault;
mod platform;
mod serve;
mod show;

use std::path::Path;

use anyhow::Context;
use goldcrest_observe::{LogFormat, log_to_stderr};
use goldcrest_operators::Client;
use goldcrest_settings::{Logs, Settings};
use goldcrest_signals as signals;
use goldcrest_types::Name;

use crate::options::{Command, UsageError};

/// The environment variable that holds the operators' key.
const KEY_VARIABLE: &str = "GOLDCREST_KEY";

/// Runs a command to its end.
pub fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Serve(options) => serve::run(&options),
        Command::Platform(options) => platform::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Status(options) => show::status(&options),
        Command::Audit(options) => show::audit(&options),
        Command::Explain(options) => show::explain(&options),
        Command::Plan(options) => change::plan(&options),
        Command::Apply(options) => change::apply(&options),
        Command::Preset(options) => change::preset(&options),
        Command::Endpoint(options) => change::endpoint(&options),
        #[cfg(feature = "demo")]
        Command::Demo(options) => demo::run(&options),
        #[cfg(feature = "demo")]
        Command::Fault(options) => fault::run(&options),
    }
}

/// Reads a settings file and starts logging with its format and level.
fn settings_with_logs(file: &str) -> anyhow::Result<Settings> {
    let settings = goldcrest_settings::load(Path::new(file))?;
    start_logs(&settings.logs)?;
    Ok(settings)
}

fn start_logs(logs: &Logs) -> anyhow::Result<()> {
    let format = match logs.format.as_str() {
        "json" => LogFormat::Json,
        _ => LogFormat::Plain,
    };
    log_to_stderr(format, &logs.level).context("starting the log")
}

/// Runs `work` with a client of the operator interface at address `at`.
fn with_client<F, T>(at: &str, key: Option<&str>, work: F) -> anyhow::Result<T>
where
    F: AsyncFnOnce(Client) -> anyhow::Result<T>,
{
    let address = at
        .parse()
        .map_err(|_| UsageError(format!("--at: \"{at}\" is not an address")))?;
    let key = match key {
        Some(key) => key.to_owned(),
        None => std::env::var(KEY_VARIABLE)
            .map_err(|_| UsageError(format!("give --key, or set {KEY_VARIABLE}")))?,
    };
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(async {
        let client = Client::new(address, Name::from(key))?;
        work(client).await
    })
}

/// Waits for Ctrl-C or a termination signal.
///
/// A further signal does not end a process that is stopping.
async fn stop_signal() -> anyhow::Result<()> {
    let interrupts = signals::watch(signals::SIGINT)
        .await
        .context("watching for Ctrl-C")?;
    let terminations = signals::watch(signals::SIGTERM)
        .await
        .context("watching for SIGTERM")?;
    let (interrupt, terminate) = (interrupts.received(), terminations.received());
    futures_util::pin_mut!(interrupt, terminate);
    futures_util::future::select(interrupt, terminate).await;
    Ok(())
}
