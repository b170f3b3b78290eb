//! The latency that the acknowledge rule adds to writes, in virtual time.

use std::time::Duration;

use goldcrest_fakes::{ClientOutcome, Latency, Op, World, WorldPlan};
use goldcrest_types::Acknowledge;
use hdrhistogram::Histogram;

/// The one-way latencies between hosts, endpoints and groups, in microseconds.
const LATENCIES_US: [u64; 2] = [500, 12_000];

/// Formats a table of the write latency for each acknowledge rule and one-way latency.
pub fn table() -> anyhow::Result<String> {
    let mut lines = vec![
        "Latency of writes at the host, ms (no check: both ways and the service time)".to_owned(),
        format!(
            "{:<12}{:<12}{:>10}{:>10}{:>10}",
            "one way ms", "rule", "p50", "p99", "no check"
        ),
    ];
    for micros in LATENCIES_US {
        for rule in [Acknowledge::Primary, Acknowledge::Majority] {
            lines.push(line(micros, rule)?);
        }
    }
    Ok(lines.join("\n") + "\n")
}

fn line(micros: u64, rule: Acknowledge) -> anyhow::Result<String> {
    let one_way = Duration::from_micros(micros);
    let plan = WorldPlan {
        acknowledge: rule,
        latency: Latency {
            endpoint: one_way,
            group: one_way,
        },
        think_time: Duration::from_millis(20),
        ..WorldPlan::default()
    };
    let unchecked = one_way * 2 + plan.service_time;
    let mut world = World::new(plan);
    world.run_for(Duration::from_secs(20));
    let mut latencies: Histogram<u64> = Histogram::new(3)?;
    for record in world.records() {
        if let (Op::Write(_), Some((ended_at, ClientOutcome::Done(_)))) =
            (record.op, &record.outcome)
        {
            let latency = ended_at.since(record.sent_at).as_micros();
            latencies.record(u64::try_from(latency)?)?;
        }
    }
    let millis = |micros: u64| Duration::from_micros(micros).as_secs_f64() * 1000.0;
    Ok(format!(
        "{:<12}{:<12}{:>10.2}{:>10.2}{:>10.2}",
        millis(micros),
        format!("{rule:?}").to_lowercase(),
        millis(latencies.value_at_quantile(0.5)),
        millis(latencies.value_at_quantile(0.99)),
        unchecked.as_secs_f64() * 1000.0
    ))
}
