//! Builds the plans of database groups from the settings.

use std::time::Duration;

use goldcrest_decide::group::{EndpointPlan, GroupPlan};
use goldcrest_settings::{Database, Endpoint, Service, Settings};
use goldcrest_types::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The assumed one-way latency within an availability zone.
const SAME_ZONE: Duration = Duration::from_micros(50);

/// The assumed one-way latency between availability zones of a region.
const SAME_REGION: Duration = Duration::from_micros(500);

/// The assumed one-way latency between regions.
const OTHER_REGION: Duration = Duration::from_millis(12);

/// Returns the plan of a database's group on the host of the settings.
#[must_use]
pub fn group_plan(settings: &Settings, service: &Service, database: &Database) -> GroupPlan {
    let endpoints = database.endpoints.iter();
    let endpoints = endpoints.map(|e| endpoint_plan(settings, service, e));
    let host = &settings.host.name;
    GroupPlan {
        name: database.name.clone(),
        endpoints: endpoints.collect(),
        acknowledge: service.acknowledge.into(),
        consistency: service.reads.into(),
        rank: None,
        seed: xxh3_64(format!("{host}/{}", database.name).as_bytes()),
    }
}

/// Returns the plan of an endpoint, with the assumed latency from the host of the settings.
#[must_use]
pub fn endpoint_plan(settings: &Settings, service: &Service, endpoint: &Endpoint) -> EndpointPlan {
    EndpointPlan {
        name: endpoint.name.clone(),
        latency: latency_to(settings, &endpoint.zone),
        slots: service.slots,
        leaving: endpoint.retired,
    }
}

fn latency_to(settings: &Settings, zone: &Name) -> Duration {
    let own = &settings.host.zone;
    if own == zone {
        return SAME_ZONE;
    }
    if region(settings, own) == region(settings, zone) {
        return SAME_REGION;
    }
    OTHER_REGION
}

fn region<'a>(settings: &'a Settings, zone: &Name) -> Option<&'a Name> {
    let found = settings.zones.iter().find(|z| z.name == *zone);
    found.map(|z| &z.region)
}
