//! Simulates a load peak: for three seconds more work arrives than the two slots of an endpoint can
//! run. Compares what clients get with a plain first-come queue with the same slots and deadlines.

mod fenced_group;

use fenced_group::peak::{Endpoint, Stream, first_come, play};

/// Statements that the endpoint runs at the same time.
const SLOTS: usize = 2;

/// Streams of statements that together need 1.6 times the capacity of two slots.
const STREAMS: [Stream; 3] = [
    Stream::new("short", 25, 40),
    Stream::new("medium", 76, 60),
    Stream::new("long", 130, 100),
];

#[test]
fn short_work_is_served_through_a_load_peak_and_long_work_is_not_starved() {
    let baseline = first_come(&STREAMS, SLOTS);
    let ours = play(
        &STREAMS,
        Endpoint {
            slots: SLOTS,
            drags: false,
            share: 3,
            limited: false,
        },
    );
    let summary = format!(
        "first come\n{}\nshort first\n{}",
        baseline.summary(&STREAMS),
        ours.summary(&STREAMS)
    );
    assert!(ours.served() >= baseline.served(), "{summary}");
    assert!(
        ours.percentile("short", 99) < baseline.percentile("short", 99),
        "{summary}"
    );
    assert!(
        ours.percentile("short", 50) < baseline.percentile("short", 50),
        "{summary}"
    );
    assert!(
        ours.served_of("long") * 2 >= baseline.served_of("long"),
        "{summary}"
    );
    insta::assert_snapshot!(summary);
}
