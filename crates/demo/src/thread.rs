//! A fleet on its own thread, for tests and benchmarks.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    thread,
};

use flume::{Receiver, Sender};
use goldcrest_settings::Settings;
use goldcrest_standins::faults::Target;

use crate::{DemoError, Fleet, host_settings};

/// A command to the fleet's thread.
enum FleetCommand {
    /// Sets a fault. The reply is whether the target exists.
    Fault(Target, Sender<bool>),
}

/// A handle to a fleet's thread. The fleet stops when the handle is dropped.
pub struct FleetThread {
    /// The settings of the fleet, with the addresses in use.
    pub settings: Settings,
    /// The address at which each host serves clients.
    pub client_addresses: Vec<SocketAddr>,
    commands: Sender<FleetCommand>,
}

impl FleetThread {
    /// Starts a fleet of `count` hosts at a loopback address that no other fleet uses.
    ///
    /// # Errors
    ///
    /// Returns a [`DemoError`] if a part can't start.
    pub fn start(mut settings: Settings, count: u16) -> Result<Self, DemoError> {
        use_unique_address(&mut settings);
        let (commands, receiver) = flume::unbounded();
        let (report, started) = flume::bounded(1);
        let fleet_settings = settings.clone();
        thread::spawn(move || run(&fleet_settings, count, &receiver, &report));
        started.recv().map_err(|_| DemoError::Stopped)??;
        let client_addresses = (0..count).map(|n| host_settings(&settings, n).host.callers);
        Ok(Self {
            client_addresses: client_addresses.collect(),
            settings,
            commands,
        })
    }

    /// Sets a fault. Returns whether the target exists.
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
            // The send fails only if `start` no longer waits for the report.
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

/// Changes the IP address of every address in the settings to a loopback address of this fleet
/// alone, so that the fleets of several threads and processes don't reach each other.
fn use_unique_address(settings: &mut Settings) {
    let ip = unique_address();
    let host = &mut settings.host;
    let hosts = [&mut host.callers, &mut host.peers, &mut host.health];
    let databases = settings.services.iter_mut().flat_map(|s| &mut s.databases);
    let endpoints = databases
        .flat_map(|d| &mut d.endpoints)
        .map(|e| &mut e.address);
    for address in endpoints
        .chain(hosts)
        .chain([&mut settings.platform.address])
    {
        address.set_ip(IpAddr::V4(ip));
    }
}

fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The second byte is never 0: other programs use addresses in 127.0.0.0/16.
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::Relaxed))
}
