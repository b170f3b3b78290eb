//! The command line: output and exit codes of help, of invalid arguments and of settings checks.

use std::process::Command;

use rstest::rstest;

fn run(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_goldcrestusher"))
        .args(arguments)
        .env_remove("GOLDCREST_KEY")
        .env_remove("GOLDCRESTUSHER_CONFIG")
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    let code = output.status.code().unwrap_or(-1);
    (code, String::from_utf8_lossy(&text).into_owned())
}

#[rstest]
#[case::nothing(&[])]
#[case::help(&["--help"])]
#[case::fault_help(&["fault", "--help"])]
#[case::version(&["--version"])]
#[case::unknown_command(&["dance"])]
#[case::no_key(&["status"])]
#[case::no_address(&["status", "--at", "here", "--key", "k"])]
#[case::nobody_there(&["fault", "down", "orders-1", "--for", "1", "--at", "127.0.0.2:1"])]
#[case::negative_time(&["fault", "down", "orders-1", "--for=-1"])]
#[case::no_file(&["check", "nowhere.toml"])]
#[case::preset_without_name(&["preset", "use", "--key", "k"])]
#[case::in_order(&["check", "crates/demo/src/demo.toml"])]
#[case::platform_in_order(&["check", "--platform", "platform/tests/data/local.toml"])]
#[case::platform_no_file(&["check", "--platform", "nowhere.toml"])]
#[case::platform_no_settings(&["platform"])]
#[case::check_help(&["check", "--help"])]
#[case::configuration_in_order(&["check", "platform/tests/data/configuration.json", "--platform-configuration"])]
#[case::configuration_next(&["check", "platform/tests/data/configuration-next.json", "--platform-configuration", "--against", "platform/tests/data/configuration.json", "--hosts", "40"])]
#[case::configuration_bad(&["check", "platform/tests/data/configuration-bad.json", "--platform-configuration"])]
#[case::configuration_json(&["check", "platform/tests/data/configuration.json", "--platform-configuration", "--against", "platform/tests/data/configuration-next.json", "--json"])]
#[case::configuration_no_file(&["check", "nowhere.json", "--platform-configuration"])]
#[case::configuration_no_json(&["check", "platform/tests/data/local.toml", "--platform-configuration"])]
#[case::against_settings(&["check", "platform/tests/data/local.toml", "--platform", "--against", "x"])]
#[case::both_kinds(&["check", "x", "--platform", "--platform-configuration"])]
fn output_and_exit_code(#[case] arguments: &[&str]) {
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let case = name.rsplit("::").next().unwrap_or_default().to_owned();
    insta::assert_debug_snapshot!(case, run(arguments));
}
