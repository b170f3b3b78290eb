//! A replica is lost after it acknowledged commits that the other one has not received, the hosts restart, and the
//! primary crashes.

use std::{
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    group::Rules,
    scene::{Layout, Scene},
    writers::Writers,
};

const BEFORE: Duration = Duration::from_secs(6);
/// How long after the other replica stopped receiving the first one is lost.
const LOST_AFTER: Duration = Duration::from_millis(300);
/// How long the store lists a server that says nothing, and some time to notice that it does not any more.
const LISTED: Duration = Duration::from_millis(3_900);
const DOWN: Duration = Duration::from_millis(500);
/// How long after the hosts' restart the primary crashes. The replica has received nothing for 5.9 s then.
const CRASH_AFTER: Duration = Duration::from_millis(1_200);
/// How much longer the replica receives nothing: for 6.4 s in all. The site files have 6.5 s at most.
const DEAF_AFTER: Duration = Duration::from_millis(500);
/// How long the primary is down, as the site file has it at most.
const CRASHED: Duration = Duration::from_secs(7);
const AFTER: Duration = Duration::from_secs(14);

pub fn play(folder: &Path, trouble: bool) -> bool {
    let delays = [0, 1, 12].map(Duration::from_millis).to_vec();
    let rules = Rules { delays, cap: 16, sync_replicas: 1 };
    let mut scene = Scene::set(folder, Layout { hosts: 2, rules, memory_mb: 260, one_region: false });
    scene.start_hosts();
    let end = Instant::now() + BEFORE + LOST_AFTER + LISTED + DOWN + CRASH_AFTER + AFTER;
    let writers = Writers::start(&scene, end);
    thread::sleep(BEFORE);
    if trouble {
        scene.group.deaf[2].store(true, Ordering::Relaxed);
        scene.record.say("server i-hearth-2, a replica, receives nothing");
        thread::sleep(LOST_AFTER);
        scene.group.crash(1);
        scene.record.say(&format!("server i-hearth-1, a replica, is lost; the servers hold {:?}", scene.group.held()));
        thread::sleep(LISTED);
        for host in &mut scene.hosts {
            host.kill(&scene.record);
        }
        thread::sleep(DOWN);
        for host in &mut scene.hosts {
            host.start(&scene.record);
        }
        thread::sleep(CRASH_AFTER);
        scene.group.crash(0);
        scene.record.say(&format!("server i-hearth-0, the primary, crashes; the servers hold {:?}", scene.group.held()));
        thread::sleep(DEAF_AFTER);
        scene.group.deaf[2].store(false, Ordering::Relaxed);
        scene.record.say("server i-hearth-2 could receive again");
        thread::sleep(CRASHED - DEAF_AFTER);
        scene.group.restart(0);
        scene.record.say("server i-hearth-0 is back");
    }
    writers.check(&scene)
}
