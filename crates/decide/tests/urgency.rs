//! Plays load peaks with requests of different urgency, of several workspaces, with more requests than can
//! be served in time, and at an endpoint that slows down early. Each is compared with the same load without the difference.

mod fenced_group;

use fenced_group::peak::{Endpoint, Stream, first_come, percentile, play};

const PLAIN: Endpoint = Endpoint {
    slots: 2,
    drags: false,
    share: 3,
    limited: false,
};

/// Two streams that need 1.6 times what two slots run; the urgent one is dearer.
const URGENT: [Stream; 2] = [
    Stream::new("urgent", 90, 100),
    Stream::new("other", 70, 30).urgent(2),
];

fn without_priorities(streams: &[Stream]) -> Vec<Stream> {
    streams.iter().map(|s| s.urgent(0)).collect()
}

#[test]
fn urgent_requests_go_first_and_others_move_forward_as_they_age() {
    let ours = play(&URGENT, PLAIN);
    let equal = play(&without_priorities(&URGENT), PLAIN);
    let summary = format!(
        "equal\n{}\nurgent first\n{}",
        equal.summary(&URGENT),
        ours.summary(&URGENT)
    );
    assert!(
        ours.percentile("urgent", 99) < equal.percentile("urgent", 50),
        "{summary}"
    );
    assert!(
        ours.served_of("other") * 2 >= equal.served_of("other"),
        "{summary}"
    );
    assert!(
        ours.work(&URGENT) * 100 >= equal.work(&URGENT) * 98,
        "{summary}"
    );
    insta::assert_snapshot!(summary);
}

/// One workspace alone needs twice what two slots run, two others a tenth each.
const CROWDED: [Stream; 3] = [
    Stream::new("orders", 80, 20).of("crowd"),
    Stream::new("orders", 80, 400).of("small"),
    Stream::new("orders", 80, 390).of("other"),
];

#[test]
fn the_load_of_one_workspace_does_not_push_out_the_others() {
    let ours = play(&CROWDED, PLAIN);
    let alike = first_come(&CROWDED, PLAIN.slots);
    let summary = format!(
        "first come\n{}\nfair\n{}",
        alike.summary(&CROWDED),
        ours.summary(&CROWDED)
    );
    for quiet in ["small", "other"] {
        assert!(!ours.refused.contains_key(quiet), "{summary}");
        assert!(
            ours.percentile(quiet, 99) * 2 < alike.percentile(quiet, 50),
            "{summary}"
        );
    }
    assert!(ours.served() * 100 >= alike.served() * 95, "{summary}");
    insta::assert_snapshot!(summary);
}

/// Three times what two slots run, of equal requests.
const FLOOD: [Stream; 1] = [Stream::new("flood", 75, 12)];

/// The same, of a workspace, whose requests are refused at their arrival.
const FLOOD_OF_WORKSPACE: [Stream; 1] = [FLOOD[0].of("flood")];

#[test]
fn requests_that_cant_be_served_in_time_are_refused_at_once() {
    let ours = play(&FLOOD_OF_WORKSPACE, PLAIN);
    let held = play(&FLOOD, PLAIN);
    let refused: Vec<u64> = ours.refused.values().flatten().copied().collect();
    let summary = format!(
        "held to the end\n{}\nrefused at once\n{}refused after p50 {} ms, p90 {} ms; return after p10 {} ms, p90 {} ms",
        held.summary(&FLOOD),
        ours.summary(&FLOOD),
        percentile(&refused, 50),
        percentile(&refused, 90),
        percentile(&ours.returns, 10),
        percentile(&ours.returns, 90),
    );
    assert!(ours.served() * 100 >= held.served() * 99, "{summary}");
    assert!(ours.held(100) * 3 < held.held(100), "{summary}");
    insta::assert_snapshot!(summary);
}

/// Two streams that need 1.3 times what an endpoint of four slots runs.
const PRESSED: [Stream; 2] = [
    Stream::new("short", 30, 20).urgent(1),
    Stream::new("long", 150, 40).urgent(2),
];

#[test]
fn an_endpoint_that_slows_down_early_is_not_sent_more_than_it_takes_well() {
    let endpoint = Endpoint {
        slots: 4,
        drags: true,
        share: 18,
        limited: false,
    };
    let open = play(&PRESSED, endpoint);
    let limited = play(
        &PRESSED,
        Endpoint {
            limited: true,
            ..endpoint
        },
    );
    let summary = format!(
        "no limit\n{}\nlimit\n{}",
        open.summary(&PRESSED),
        limited.summary(&PRESSED)
    );
    assert!(limited.served() > open.served(), "{summary}");
    assert!(
        limited.percentile("short", 50) < open.percentile("short", 50),
        "{summary}"
    );
    insta::assert_snapshot!(summary);
}
