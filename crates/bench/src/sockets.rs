//! The latency that the proxy adds on loopback, compared to a direct connection to the stand-in.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use goldcrest_demo::{FleetThread, built_in_settings};
use hdrhistogram::Histogram;
use tokio_postgres::{Client, Config, NoTls};

use crate::usage::cpu_time;

/// The number of statements in one measurement.
const STATEMENTS: usize = 5000;
const READ_STATEMENT: &str = "SELECT v FROM bench WHERE id = 1";

/// Formats a table of the latency of simple reads, direct and through one host.
pub fn table() -> anyhow::Result<String> {
    let fleet = FleetThread::start(built_in_settings()?, 1)?;
    let database = &fleet.settings.services[0].databases[0];
    let direct = database.endpoints[0].address;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let proxied = connect(fleet.client_addresses[0]).await?;
        let create = "CREATE TABLE bench (id int primary key, v text)";
        proxied.simple_query(create).await?;
        proxied
            .simple_query("INSERT INTO bench VALUES (1, 'value')")
            .await?;
        let direct = connect(direct).await?;
        let mut lines = vec![
            "Latency of a simple read on loopback, µs (5000 statements, one at a time)".to_owned(),
            format!("{:<12}{:>8}{:>8}{:>14}", "path", "p50", "p99", "CPU in all"),
        ];
        // Both paths are measured twice, alternately, so that the warm-up favours neither.
        for (name, client) in [
            ("direct", &direct),
            ("proxy", &proxied),
            ("direct", &direct),
            ("proxy", &proxied),
        ] {
            lines.push(line(name, client).await?);
        }
        Ok(lines.join("\n") + "\n")
    })
}

async fn line(name: &str, client: &Client) -> anyhow::Result<String> {
    let mut latencies: Histogram<u64> = Histogram::new(3)?;
    let before = cpu_time()?;
    for _ in 0..STATEMENTS {
        let start = Instant::now();
        client.simple_query(READ_STATEMENT).await?;
        latencies.record(u64::try_from(start.elapsed().as_nanos())?)?;
    }
    let used = cpu_time()?.saturating_sub(before);
    let micros = |q: f64| Duration::from_nanos(latencies.value_at_quantile(q)).as_secs_f64() * 1e6;
    let per_statement = used.as_secs_f64() * 1e6 / 5000.0;
    Ok(format!(
        "{name:<12}{:>8.1}{:>8.1}{per_statement:>14.1}",
        micros(0.5),
        micros(0.99)
    ))
}

async fn connect(address: SocketAddr) -> anyhow::Result<Client> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("orders")
        .dbname("hearth-orders");
    let (client, connection) = config.connect(NoTls).await.context("connecting")?;
    tokio::spawn(connection);
    Ok(client)
}
