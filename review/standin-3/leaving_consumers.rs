//! Consumers leave in the middle of a transaction, while a statement runs: through hosts that relay statements to
//! another one, and through hosts of their own connections that turn slow.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Session, new_id},
    group::Rules,
    random,
    recovery::{self, Crowd},
    record::Record,
    scene::Layout,
};

const LEAVERS: usize = 10;

/// The longest time after which a consumer leaves, in milliseconds.
const LEAVES_WITHIN_MS: f64 = 8.0;
const FIRST_LEAVES_WITHIN_MS: f64 = 100.0;

pub fn play(folder: &Path, trouble: bool) -> bool {
    let layout = Layout { hosts: 6, rules: Rules::plain(8), memory_mb: 260, one_region: true };
    let crowd = Crowd { count: LEAVERS, consumer: leave, always: true, slow_hosts: false };
    recovery::play(folder, layout, trouble, &crowd)
}

/// The same through hosts that relay nothing and turn slow.
pub fn play_slow(folder: &Path, trouble: bool) -> bool {
    let layout = Layout { hosts: 2, rules: Rules::plain(5), memory_mb: 260, one_region: false };
    let crowd = Crowd { count: LEAVERS, consumer: leave_first, always: true, slow_hosts: true };
    recovery::play(folder, layout, trouble, &crowd)
}

/// Opens a transaction, and leaves soon after its second statement was sent.
fn leave(_: usize, fronts: &[SocketAddr], until: Instant, record: &Record) {
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(200 + random::below(160)));
        let front = fronts[random::below(fronts.len() as u64) as usize];
        let Some(mut session) = Session::open(front, "orders") else { continue };
        let (first, second) = (new_id(), new_id());
        let begun = session.ask(&new_id(), "BEGIN").is_some_and(|a| a.succeeded());
        record.write(&format!("client asks {first} WRITE in a transaction"));
        if !begun || !session.ask(&first, "WRITE k1 first").is_some_and(|a| a.succeeded()) {
            continue;
        }
        if session.send(&second, "WRITE k2 second").is_some() {
            thread::sleep(Duration::from_secs_f64(random::unit() * LEAVES_WITHIN_MS / 1000.0));
            record.write(&format!("client leaves after {second} WRITE in a transaction"));
        }
    }
}

/// Opens a transaction, and leaves soon after its first statement was sent.
fn leave_first(_: usize, fronts: &[SocketAddr], until: Instant, record: &Record) {
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(200 + random::below(160)));
        let front = fronts[random::below(fronts.len() as u64) as usize];
        let Some(mut session) = Session::open(front, "parts") else { continue };
        let first = new_id();
        if !session.ask(&new_id(), "BEGIN").is_some_and(|a| a.succeeded()) {
            continue;
        }
        if session.send(&first, &format!("READ k{}", random::below(2000))).is_some() {
            thread::sleep(Duration::from_secs_f64(random::unit() * FIRST_LEAVES_WITHIN_MS / 1000.0));
            record.write(&format!("client leaves after {first} READ in a transaction"));
        }
    }
}
