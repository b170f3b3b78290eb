//! A fleet on a thread of its own, for tests and measurements.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    thread,
};

use flume::{Receiver, Sender};
use goldcrest_settings::Settings;
use goldcrest_standins::faults::Target;

use crate::{DemoError, Fleet, host_settings};

enum FleetCommand {
    Fault(Target, Sender<bool>),
}

/// The handle of a fleet's thread. The fleet ends when it is dropped.
pub struct FleetThread {
    /// The fleet's settings, with the addresses in use.
    pub settings: Settings,
    /// Where each host serves callers.
    pub client_addresses: Vec<SocketAddr>,
    commands: Sender<FleetCommand>,
}

impl FleetThread {
    /// Starts a fleet of `count` hosts at an address of its own.
    ///
    /// # Errors
    ///
    /// [`DemoError`] when a part can't start.
    pub fn start(mut settings: Settings, count: u16) -> Result<Self, DemoError> {
        move_to_own_address(&mut settings);
        let (commands, inbox) = flume::unbounded();
        let (report, started) = flume::bounded(1);
        let own = settings.clone();
        thread::spawn(move || run(&own, count, &inbox, &report));
        started.recv().map_err(|_| DemoError::Ended)??;
        let client_addresses = (0..count).map(|n| host_settings(&settings, n).host.callers);
        Ok(Self {
            client_addresses: client_addresses.collect(),
            settings,
            commands,
        })
    }

    /// Switches a fault. Returns whether there is such a target.
    #[must_use]
    pub fn set_fault(&self, target: Target) -> bool {
        let (reply, answer) = flume::bounded(1);
        let sent = self
            .commands
            .send(FleetCommand::Fault(target, reply))
            .is_ok();
        sent && answer.recv().unwrap_or(false)
    }
}

fn run(
    settings: &Settings,
    count: u16,
    commands: &Receiver<FleetCommand>,
    report: &Sender<Result<(), DemoError>>,
) {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            // Who waits for the report is told by its end.
            let _ = report.send(Err(error.into()));
            return;
        }
    };
    let Ok(timer) = goldcrest_host::Timer::start() else {
        return;
    };
    let _timer = timer.enter();
    runtime.block_on(async {
        match Fleet::start(settings, count).await {
            Ok(fleet) => {
                let _ = report.send(Ok(()));
                serve(&fleet, commands).await;
            }
            Err(error) => {
                let _ = report.send(Err(error));
            }
        }
    });
}

async fn serve(fleet: &Fleet, commands: &Receiver<FleetCommand>) {
    while let Ok(command) = commands.recv_async().await {
        match command {
            FleetCommand::Fault(target, reply) => {
                let _ = reply.send(fleet.set_fault(&target));
            }
        }
    }
}

/// Moves every address of the settings to a loopback address of this fleet alone, so that fleets of
/// several threads and processes never meet.
fn move_to_own_address(settings: &mut Settings) {
    let own = own_address();
    let host = &mut settings.host;
    let hosts = [&mut host.callers, &mut host.peers, &mut host.health];
    let bases = settings.services.iter_mut().flat_map(|s| &mut s.databases);
    let endpoints = bases.flat_map(|d| &mut d.endpoints).map(|e| &mut e.address);
    for address in endpoints
        .chain(hosts)
        .chain([&mut settings.platform.address])
    {
        address.set_ip(IpAddr::V4(own));
    }
}

fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The second byte is never 0, which holds the addresses that other programs use.
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::Relaxed))
}
