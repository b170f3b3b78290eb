//! Consumers send large statements, some of them in transactions, through hosts that relay them.

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

/// The memory of the smallest machines on the sheets.
const MEMORY_MB: u64 = 112;

/// The bytes of a large statement: its message is just within 1 MiB.
const LARGE: usize = (1 << 20) - 128;

/// Consumers that write large values one by one, and those that do it in transactions.
const SINGLE: usize = 12;
const TRANSACTIONS: usize = 8;

pub fn play(folder: &Path, trouble: bool) -> bool {
    let layout = Layout { hosts: 6, rules: Rules::plain(8), memory_mb: MEMORY_MB, one_region: true };
    let crowd = Crowd { count: SINGLE + TRANSACTIONS, consumer: send_large, always: false, slow_hosts: false };
    recovery::play(folder, layout, trouble, &crowd)
}

/// Writes large values until a time. Ends each transaction, also after an error.
fn send_large(at: usize, fronts: &[SocketAddr], until: Instant, record: &Record) {
    let in_transaction = at < TRANSACTIONS;
    let data = "d".repeat(LARGE);
    while Instant::now() < until {
        let front = fronts[random::below(fronts.len() as u64) as usize];
        let Some(mut session) = Session::open(front, "orders") else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while Instant::now() < until {
            let texts = if in_transaction {
                vec!["BEGIN".to_owned(), "WRITE k1 small".to_owned(), format!("WRITE k2 {data}"), "COMMIT".to_owned()]
            } else {
                vec![format!("WRITE k2 {data}")]
            };
            let mut state = 'I';
            let mut lost = false;
            for text in texts {
                let id = new_id();
                record.write(&format!("client asks {id} {text:.20}"));
                let Some(answer) = session.ask(&id, &text) else {
                    lost = true;
                    break;
                };
                record.write(&format!("client gets {id} {:.80} {}", answer.end, answer.state));
                state = answer.state;
                if !answer.succeeded() {
                    break;
                }
            }
            if !lost && state != 'I' {
                lost = session.ask(&new_id(), "ROLLBACK").is_none();
            }
            if lost {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
