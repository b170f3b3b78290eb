//! Errors of settings files name every invalid value with its key and what is allowed, all at once.
//! Plans list what a later declaration changes, or why it is refused.

use goldcrest_demo::built_in_settings;
use goldcrest_settings::{Endpoint, Settings, parse};
use goldcrest_types::Name;
use rstest::rstest;

fn check(settings: &Settings) -> String {
    let text = toml::to_string(settings).unwrap();
    let result = parse(&Name::from("host.toml"), &text);
    result.map_or_else(|e| e.to_string(), |_| "in order".to_owned())
}

#[rstest]
fn all_invalid_values_are_reported_at_once() {
    let mut settings = built_in_settings().unwrap();
    settings.host.zone = "nowhere".into();
    settings.host.secret = "short".into();
    settings.logs.level = "loud".into();
    settings.limits.sessions = 0;
    settings.limits.idle_ms = 0;
    settings.services[0].slots = 0;
    settings.services[0].databases[1].name = "hearth-orders".into();
    settings.services[0].databases[2].endpoints.clear();
    settings.workspaces[1].databases = vec!["nothing".into()];
    settings.presets.peak.weights.insert("nobody".into(), 0);
    insta::assert_snapshot!(check(&settings));
}

#[rstest]
#[case::not_toml("host = [")]
#[case::unknown_key("[host]\nnome = \"x\"\n")]
#[case::renamed_key("[host]\nname = \"x\"\nplace = \"puget-a\"\n")]
#[case::renamed_table("[[departments]]\nname = \"orders\"\n")]
fn a_malformed_file_is_reported_with_its_line(#[case] text: &str) {
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").next().unwrap_or_default().to_owned();
    let error = parse(&Name::from("host.toml"), text).unwrap_err();
    insta::assert_snapshot!(case, error.to_string());
}

#[rstest]
fn plans_between_declarations() {
    let fleet = built_in_settings().unwrap().declaration();
    let added = Endpoint {
        name: "orders-4".into(),
        address: "127.0.0.1:6599".parse().unwrap(),
        zone: "puget-a".into(),
        retired: false,
    };
    let mut plans = Vec::new();
    let mut changed_endpoints = fleet.clone();
    changed_endpoints.services[0].databases[0]
        .endpoints
        .push(added.clone());
    changed_endpoints.services[0].databases[1].endpoints[2].retired = true;
    changed_endpoints.workspaces.remove(0);
    plans.push(fleet.plan(&changed_endpoints));
    let mut two_added = changed_endpoints.clone();
    two_added.services[0].databases[0].endpoints.push(added);
    plans.push(fleet.plan(&two_added));
    plans.push(changed_endpoints.plan(&fleet));
    let mut moved = fleet.clone();
    moved.services[0].databases[0].endpoints[0].zone = "inland-a".into();
    plans.push(fleet.plan(&moved));
    let mut changed_service = fleet.clone();
    changed_service.services[0].connections = 8;
    plans.push(fleet.plan(&changed_service));
    insta::assert_debug_snapshot!(plans);
}
