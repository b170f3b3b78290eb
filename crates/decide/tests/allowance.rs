//! Allowances of workspaces that many hosts count together.

mod allowance_fleet;

use std::env;

use allowance_fleet::{Act, Fleet, RULES, Workspace};
use goldcrest_decide::allowance::LISTED_TIME;
use rand::Rng;
use rstest::rstest;

const HOSTS: usize = 9;
const SPARE: usize = 3;

/// A large workspace, a medium one and a small one, which ask for `share` of their limits.
fn workspaces(share: f64) -> Vec<Workspace> {
    vec![
        Workspace::new("large", 60.0, 100.0, share),
        Workspace::new("medium", 16.0, 20.0, share),
        Workspace::new("small", 3.0, 10.0, share),
    ]
}

/// One line a workspace: what became of its operations from `start` to `end`.
fn outcomes(fleet: &Fleet, start: u64, end: u64) -> String {
    let line = |w: &Workspace| {
        let count = |times: &[u64]| Workspace::count(times, start, end);
        format!(
            "{}: limit {:.0} a window, asked {}, ran {}, refused {}, unreachable {}",
            w.name,
            RULES.limit(w.allowance),
            count(&w.asked),
            count(&w.ran),
            count(&w.refused),
            count(&w.unreachable),
        )
    };
    let lines: Vec<String> = fleet.workspaces.iter().map(line).collect();
    lines.join("\n")
}

/// The seeds that are played: `GOLDCREST_ALLOWANCE_SEEDS` of them, 40 by default.
fn seeds() -> std::ops::Range<u64> {
    const DEFAULT: u64 = 40;
    let count = env::var("GOLDCREST_ALLOWANCE_SEEDS");
    0..count.map_or(DEFAULT, |count| count.parse().unwrap())
}

#[test]
fn in_calm_all_that_is_below_the_limit_runs_at_once() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, HOSTS, 0, workspaces(0.85));
        for second in 2..9 {
            let home = usize::try_from(seed + second).unwrap() % HOSTS;
            for workspace in 0..3 {
                fleet.at(second * 10_000, Act::Move(workspace, home));
            }
        }
        fleet.run_until(90_000);
        for workspace in &fleet.workspaces {
            assert_eq!(
                workspace.refused.len(),
                0,
                "seed {seed}, {}",
                workspace.name
            );
            assert_eq!(workspace.unreachable.len(), 0, "seed {seed}");
            assert_eq!(workspace.hurried, 0, "seed {seed}, {}", workspace.name);
            let missing = workspace.asked.len() - workspace.ran.len();
            assert!(missing <= 5, "seed {seed}: {missing} under way");
        }
    }
}

#[test]
fn a_workspace_that_asks_seven_times_its_usual_is_limited_alone() {
    let mut fleet = Fleet::new(1, HOSTS, 0, workspaces(0.625));
    fleet.at(30_000, Act::Hot(0, 7.0, 10_000));
    fleet.run_until(60_000);
    assert_eq!(fleet.broken_windows(), Vec::<String>::new());
    insta::assert_snapshot!(outcomes(&fleet, 30_000, 40_000));
}

#[rstest]
#[case::one_counter_dies("dies", 30_000)]
#[case::all_lose_power("power", 30_000)]
#[case::store_cut("store", 30_000)]
#[case::lowered("lowered", 30_000)]
#[case::raised("raised", 30_000)]
fn one_failure(#[case] name: &str, #[case] at: u64) {
    let mut fleet = Fleet::new(2, HOSTS, 0, workspaces(0.625));
    let all: Vec<usize> = (0..HOSTS).collect();
    for workspace in 0..3 {
        fleet.at(14_000, Act::Move(workspace, 4));
    }
    match name {
        "dies" => {
            fleet.run_until(at);
            let busiest = (0..HOSTS).max_by_key(|host| fleet.answered[*host]);
            fleet.at(at, Act::Kill(vec![busiest.unwrap()], None));
        }
        "power" => fleet.at(at, Act::Kill(all, Some(2_000))),
        "store" => fleet.at(at, Act::CutStore(all, 60_000)),
        "lowered" => fleet.at(at, Act::Limit(0.4)),
        _ => fleet.at(at, Act::Limit(3.0)),
    }
    if name != "lowered" {
        fleet.at(at + 15_000, Act::Hot(0, 7.0, 10_000));
    }
    fleet.run_until(at + 40_000);
    assert_eq!(fleet.broken_windows(), Vec::<String>::new());
    let first = outcomes(&fleet, at, at + 15_000);
    let second = outcomes(&fleet, at + 15_000, at + 40_000);
    insta::assert_snapshot!(
        format!("failure_{name}"),
        format!("first 15 s:\n{first}\nthen 25 s:\n{second}")
    );
}

/// Hosts start, die, pause, join and can't reach each other or the store, while limits change and
/// workspaces ask for many times their usual.
#[test]
fn no_window_exceeds_the_bound_under_random_faults() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, HOSTS, SPARE, workspaces(0.625));
        let joined = u64::try_from(LISTED_TIME.as_millis()).unwrap();
        let end = 40_000 + 3 * joined;
        let mut at = 30_000;
        while at < end {
            let act = random_act(&mut fleet, at);
            fleet.at(at, act);
            at += fleet.random().random_range(500..9_000);
        }
        fleet.run_until(end);
        let broken = fleet.broken_windows();
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        for workspace in &fleet.workspaces {
            // Before the first fault.
            let count = |times: &[u64]| Workspace::count(times, 0, 30_000);
            assert_eq!(count(&workspace.refused), 0, "seed {seed}");
            assert!(count(&workspace.ran) * 100 >= count(&workspace.asked) * 95);
        }
    }
}

/// How many operations need another host's word, how long that takes in the network of this test (1 to 3 ms
/// within a region, 12 to 17 ms between regions, one way) and how many asks a host answers.
#[rstest]
#[case::few("few", 9)]
#[case::many("many", 60)]
#[case::most("most", 300)]
fn messages_a_host_do_not_grow_with_the_number_of_hosts(#[case] name: &str, #[case] hosts: usize) {
    // The load of each host stays the same.
    let workspaces = (0..hosts).map(|number| {
        let mut workspace = Workspace::new(&format!("w-{number}"), 20.0, 20.0, 0.625);
        workspace.home = number;
        workspace
    });
    let mut fleet = Fleet::new(3, hosts, 0, workspaces.collect());
    fleet.run_until(44_000);
    let asked: usize = fleet.workspaces.iter().map(|w| w.asked.len()).sum();
    let mut delays = fleet.remote.clone();
    delays.sort_unstable();
    let answered: u64 = fleet.answered.iter().sum();
    let a_second = |number: f64| number / f64::from(u32::try_from(hosts * 30).unwrap());
    let answered = a_second(f64::from(u32::try_from(answered).unwrap()));
    let operations = a_second(f64::from(u32::try_from(asked).unwrap()));
    let text = format!(
        "{hosts} hosts, {operations:.1} operations a host and second, {answered:.1} asks answered; \
         {} of 100 operations need another host, {} ms at the median, {} ms at most for 99 of 100",
        delays.len() * 100 / asked,
        delays[delays.len() / 2],
        delays[delays.len() * 99 / 100],
    );
    assert!(answered <= operations * 1.5, "{text}");
    insta::assert_snapshot!(format!("messages_{name}"), text);
}

fn random_act(fleet: &mut Fleet, at: u64) -> Act {
    let rng = fleet.random();
    let host = rng.random_range(0..HOSTS);
    let workspace = rng.random_range(0..3);
    let some: Vec<usize> = (0..HOSTS).filter(|_| rng.random_bool(0.4)).collect();
    let back = Some(rng.random_range(300..5_000));
    match rng.random_range(0..20) {
        0 => Act::Kill((0..HOSTS).collect(), back),
        1..=3 => Act::Kill(some, back),
        4 => Act::Kill(vec![host], None),
        5 => Act::Kill(vec![host], Some(rng.random_range(5_000..200_000))),
        6 | 7 => Act::Pause(host, rng.random_range(500..8_000)),
        8 | 9 => Act::CutHosts(some, rng.random_range(1_000..30_000)),
        10 | 11 => Act::CutStore(some, rng.random_range(1_000..200_000)),
        12 if at < 200_000 => Act::Join(HOSTS + host % SPARE),
        13 => Act::Limit(rng.random_range(0.4..1.5)),
        14 => Act::Move(workspace, host),
        _ => Act::Hot(
            workspace,
            rng.random_range(3.0..9.0),
            rng.random_range(1_000..9_000),
        ),
    }
}
