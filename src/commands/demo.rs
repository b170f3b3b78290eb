//! The demo: a small fleet on loopback that runs until a signal stops it.

use std::{net::SocketAddr, path::Path};

use anyhow::Context;
use flume::Receiver;
use goldcrest_demo::{Fleet, built_in_settings, host_settings};
use goldcrest_settings::Settings;
use goldcrest_standins::faults::{self, FaultCommand};

use crate::{
    commands::{start_logs, stop_signal},
    options::{DemoOptions, UsageError},
};

/// The address at which the demo accepts faults.
const FAULT_ADDRESS: &str = "127.0.0.1:6400";

/// Runs the demo until a signal stops it.
pub fn run(options: &DemoOptions) -> anyhow::Result<()> {
    if !(1..=64).contains(&options.hosts) {
        return Err(UsageError("--hosts must be 1 to 64".to_owned()).into());
    }
    let settings = match &options.settings {
        Some(file) => goldcrest_settings::load(Path::new(file))?,
        None => built_in_settings()?,
    };
    start_logs(&settings.logs)?;
    let timer = goldcrest_host::Timer::start().context("starting the timer")?;
    let _timer = timer.enter();
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(serve(&settings, options.hosts))
}

async fn serve(settings: &Settings, count: u16) -> anyhow::Result<()> {
    let fleet = Fleet::start(settings, count).await?;
    let address: SocketAddr = FAULT_ADDRESS
        .parse()
        .context("parsing the address for faults")?;
    let (calls, call_rx) = flume::unbounded();
    faults::serve(address, calls)
        .await
        .context("listening for faults")?;
    print_addresses(settings, count);
    let switching = switch_faults(&call_rx, &fleet);
    let stopping = stop_signal();
    futures_util::pin_mut!(switching, stopping);
    match futures_util::future::select(switching, stopping).await {
        futures_util::future::Either::Left(((), stopping)) => stopping.await,
        futures_util::future::Either::Right((stopped, _)) => stopped,
    }
}

async fn switch_faults(calls: &Receiver<FaultCommand>, fleet: &Fleet) {
    while let Ok(call) = calls.recv_async().await {
        // The receiver may have been dropped.
        let _ = call.reply.send(fleet.set_fault(&call.target));
    }
}

fn print_addresses(settings: &Settings, count: u16) {
    println!("goldcrestusher demo: {count} host(s), Ctrl-C ends it");
    for number in 0..count {
        let own = host_settings(settings, number);
        println!(
            "  {} accepts clients at {}",
            own.host.name, own.host.callers
        );
    }
    let names = settings.services.iter().flat_map(|s| &s.databases);
    let names: Vec<&str> = names.map(|d| d.name.as_str()).collect();
    println!("  databases: {}", names.join(", "));
    let workspaces = settings.workspaces.iter().map(|w| w.name.as_str());
    let workspaces: Vec<&str> = workspaces.collect();
    println!("  workspaces: {}", workspaces.join(", "));
    println!("  faults: goldcrestusher fault KIND TARGET (taken at {FAULT_ADDRESS})");
}
