//! Stand-ins of consumers, servers and the platform, and the drills that use them.
//!
//! `standin DRILL FOLDER` starts the product's processes on loopback addresses, plays the drill, writes
//! FOLDER/record.txt, and ends with 0 if the rule held, 1 if it was broken, and another code if the drill could not
//! run.

mod client;
mod group;
mod host;
mod json;
mod large_statements;
mod leaving_consumers;
mod random;
mod record;
mod recovery;
mod restarted_hosts;
mod scene;
mod store;
mod unlisted_replica;
mod writers;

use std::{env, path::Path, process};

/// Ends the drill, as it could not run. The processes that it started end, too.
pub fn give_up(why: &str) -> ! {
    panic!("the drill can't run: {why}");
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, drill, folder] = arguments.as_slice() else { give_up("usage: standin DRILL FOLDER") };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let held = match drill.as_str() {
        "restarted-hosts" => restarted_hosts::play(folder, trouble),
        "unlisted-replica" => unlisted_replica::play(folder, trouble),
        "large-statements" => large_statements::play(folder, trouble),
        "slow-hosts" => leaving_consumers::play_slow(folder, trouble),
        "leaving-consumers" => leaving_consumers::play(folder, trouble),
        other => give_up(&format!("no drill {other}")),
    };
    println!("{}", if held { "the rule held" } else { "the rule was broken" });
    process::exit(i32::from(!held));
}
