//! The task that accepts connections and knows the cancel keys.

use std::collections::HashMap;

use compio::net::{TcpListener, TcpStream};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use rand::Rng;
use spdlog::{debug, warn};

use crate::{
    ClientError, FrontendCommand, FrontendConfig,
    session::{self, Key, Order},
    startup::{self, Greeted, Hello},
};

/// A message from a connection's task.
enum Word {
    /// A connection greeted.
    Greeted(Hello),
    /// A session ended.
    Ended(Key),
}

enum Input {
    Connection(TcpStream),
    Command(FrontendCommand),
    Word(Word),
    Nothing,
    Over,
}

struct Accept {
    front: FrontendConfig,
    sessions: HashMap<Key, Sender<Order>>,
    words: Sender<Word>,
    numbers: u64,
    admitting: bool,
    draining: bool,
}

/// Accepts connections until the control's sender is gone.
pub(crate) async fn run(
    listener: TcpListener,
    front: FrontendConfig,
    control: Receiver<FrontendCommand>,
) {
    let (words, heard) = flume::unbounded();
    let mut accept = Accept {
        front,
        sessions: HashMap::new(),
        words,
        numbers: 0,
        admitting: false,
        draining: false,
    };
    loop {
        match next(&listener, &control, &heard).await {
            Input::Connection(stream) => accept.greet(stream),
            Input::Command(control) => accept.control(control),
            Input::Word(word) => accept.word(word),
            Input::Nothing => {}
            Input::Over => return,
        }
    }
}

async fn next(
    listener: &TcpListener,
    control: &Receiver<FrontendCommand>,
    words: &Receiver<Word>,
) -> Input {
    let connection = listener.accept().fuse();
    let control = control.recv_async().fuse();
    let word = words.recv_async().fuse();
    pin_mut!(connection, control, word);
    select_biased! {
        got = control => got.map_or(Input::Over, Input::Command),
        got = word => got.map_or(Input::Over, Input::Word),
        got = connection => match got {
            Ok((stream, _)) => Input::Connection(stream),
            Err(error) => {
                warn!("accepting a caller failed: {}", error);
                Input::Nothing
            }
        },
    }
}

impl Accept {
    /// Greets a connection in a task of its own, so that a slow caller holds up nobody.
    fn greet(&self, stream: TcpStream) {
        let front = self.front.clone();
        let words = self.words.clone();
        compio::runtime::spawn(async move {
            match startup::greet(stream, &front).await {
                Ok(started) => {
                    // The accepting task ends only with its host.
                    let _ = words.send(Word::Greeted(started));
                }
                Err(error) => debug!("a caller was not admitted: {}", error),
            }
        })
        .detach();
    }

    fn word(&mut self, word: Word) {
        match word {
            Word::Greeted(Hello::Cancel(pid, secret)) => self.cancel(Key { pid, secret }),
            Word::Greeted(Hello::Session(greeted)) => self.open(*greeted),
            Word::Ended(key) => {
                self.sessions.remove(&key);
            }
        }
    }

    fn cancel(&self, key: Key) {
        if let Some(orders) = self.sessions.get(&key) {
            // A session that just ended has nothing to cancel.
            let _ = orders.send(Order::Cancel);
        }
    }

    fn open(&mut self, mut greeted: Greeted) {
        if let Some(error) = self.refusal() {
            compio::runtime::spawn(async move {
                startup::refuse(&mut greeted.wire, &error).await;
            })
            .detach();
            return;
        }
        let key = self.key();
        let (orders, inbox) = flume::unbounded();
        self.sessions.insert(key, orders);
        self.numbers += 1;
        let task = session::run(greeted, self.front.clone(), key, self.numbers, inbox);
        let words = self.words.clone();
        compio::runtime::spawn(async move {
            task.await;
            let _ = words.send(Word::Ended(key));
        })
        .detach();
    }

    fn refusal(&self) -> Option<ClientError> {
        if self.draining {
            return Some(ClientError::Stopping);
        }
        if !self.admitting {
            return Some(ClientError::Starting);
        }
        let limit = self.front.limits.sessions;
        (self.sessions.len() >= limit).then_some(ClientError::TooManySessions(limit))
    }

    fn key(&self) -> Key {
        let mut rng = rand::rng();
        loop {
            let key = Key {
                pid: rng.random_range(1..i32::MAX),
                secret: rng.random(),
            };
            if !self.sessions.contains_key(&key) {
                return key;
            }
        }
    }

    fn control(&mut self, control: FrontendCommand) {
        match control {
            FrontendCommand::Update(front) => self.front = front,
            FrontendCommand::Admit => self.admitting = true,
            FrontendCommand::Drain => self.draining = true,
            FrontendCommand::Stop => {
                self.draining = true;
                for orders in self.sessions.values() {
                    // A session that just ended needs no stop.
                    let _ = orders.send(Order::Stop);
                }
            }
            FrontendCommand::Count(reply) => {
                let _ = reply.send(self.sessions.len());
            }
        }
    }
}
