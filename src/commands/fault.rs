//! The command that switches a fault in a running demo.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};

use crate::options::{FaultOptions, UsageError};

/// The kind of fault that switches faults off.
const NO_FAULT: &str = "none";

/// Switches the fault on, and off again when its duration is over.
pub fn run(options: &FaultOptions) -> anyhow::Result<()> {
    let address: SocketAddr = options
        .at
        .parse()
        .map_err(|_| UsageError(format!("--at: \"{}\" is not an address", options.at)))?;
    let duration = match options.duration {
        None => None,
        Some(seconds) => Some(
            Duration::try_from_secs_f64(seconds)
                .map_err(|_| UsageError(format!("--for: {seconds} is not a duration")))?,
        ),
    };
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(switch(options, address, duration))
}

async fn switch(
    options: &FaultOptions,
    address: SocketAddr,
    duration: Option<Duration>,
) -> anyhow::Result<()> {
    send(address, &options.target, &options.kind).await?;
    println!("{}: {}", options.target, options.kind);
    let Some(duration) = duration else {
        return Ok(());
    };
    compio::time::sleep(duration).await;
    send(address, &options.target, NO_FAULT).await?;
    println!("{}: {NO_FAULT}", options.target);
    Ok(())
}

async fn send(address: SocketAddr, target: &str, kind: &str) -> anyhow::Result<()> {
    let client = cyper::Client::new().context("setting up the HTTP client")?;
    let url = format!("http://{address}/faults/{target}");
    let response = client
        .put(url)?
        .body(kind.to_owned())
        .send()
        .await
        .with_context(|| format!("no demo answers at {address}"))?;
    let status = response.status();
    if !status.is_success() {
        bail!("{}", response.text().await.unwrap_or_default());
    }
    Ok(())
}
