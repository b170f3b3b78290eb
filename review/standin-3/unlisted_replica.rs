//! A replica that acknowledges commits is cut off from the platform's store, and the primary crashes.

use std::{
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    group::Rules,
    scene::{Layout, Scene},
    writers::Writers,
};

const BEFORE: Duration = Duration::from_secs(6);
/// How long the replica is cut off, as the bench does by default.
const CUT: Duration = Duration::from_secs(5);
/// How long after the cut began the primary crashes.
const CRASH_AFTER: Duration = Duration::from_millis(3_900);
/// How long it is down, as the site file has it at most.
const CRASHED: Duration = Duration::from_secs(7);
const AFTER: Duration = Duration::from_secs(20);

pub fn play(folder: &Path, trouble: bool) -> bool {
    // The second replica is in another area.
    let delays = [0, 1, 12].map(Duration::from_millis).to_vec();
    let rules = Rules { delays, cap: 16, sync_replicas: 1 };
    let mut scene = Scene::set(folder, Layout { hosts: 2, rules, memory_mb: 260, one_region: false });
    scene.start_hosts();
    let end = Instant::now() + BEFORE + CRASH_AFTER + AFTER;
    let writers = Writers::start(&scene, end);
    thread::sleep(BEFORE);
    if trouble {
        scene.group.servers[1].reaches_store.store(false, Ordering::Relaxed);
        scene.record.say("server i-hearth-1, a replica, is cut off from the platform's store");
        let group = Arc::clone(&scene.group);
        let record = Arc::clone(&scene.record);
        thread::spawn(move || {
            thread::sleep(CUT);
            group.servers[1].reaches_store.store(true, Ordering::Relaxed);
            record.say("server i-hearth-1 reaches the platform's store again");
        });
        thread::sleep(CRASH_AFTER);
        scene.group.crash(0);
        scene.record.say(&format!("server i-hearth-0, the primary, crashes; the servers hold {:?} commits", scene.group.held()));
        thread::sleep(CRASHED);
        scene.group.restart(0);
        scene.record.say("server i-hearth-0 is back");
    }
    writers.check(&scene)
}
