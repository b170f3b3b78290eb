//! The command that runs one host.

use std::rc::Rc;

use anyhow::Context;
use spdlog::info;

use crate::{
    commands::{settings_with_logs, stop_signal},
    options::ServeOptions,
};

/// Runs the host until a signal stops it.
pub fn run(options: &ServeOptions) -> anyhow::Result<()> {
    let settings = Rc::new(settings_with_logs(&options.settings)?);
    let timer = goldcrest_host::Timer::start().context("starting the timer")?;
    let _timer = timer.enter();
    let runtime = compio::runtime::Runtime::new().context("starting the runtime")?;
    runtime.block_on(async {
        let host = goldcrest_host::start(settings).await?;
        stop_signal().await?;
        info!("host {} is stopping", host.name);
        host.stop().await;
        Ok(())
    })
}
