//! Passes tables of the platform's store on to other hosts: the task that publishes a table, and the
//! client that asks for one.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use compio::time::timeout_at;
use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_decide::tables::{Answers, Publisher, QueryId};
use goldcrest_types::{Name, StoreVersion, TableQuery, TableReply, Timestamp};
use spdlog::debug;

use super::{
    RelayServiceClient,
    client::{new_client, open},
};
use crate::{
    PeerError,
    client::{call_context, with_timeout},
};

/// The time between two checks of a publisher that has no query.
const IDLE_INTERVAL: Duration = Duration::from_hours(1);

/// Time that a query may take beyond the time for which it is held. A slow host may take several
/// hundred milliseconds to answer.
const QUERY_MARGIN: Duration = Duration::from_millis(500);

/// A message to a table's publisher.
#[derive(Debug)]
pub enum PublisherInput {
    /// The rows of a version of the store, and when the store confirmed them.
    Rows(Arc<BTreeMap<Name, Bytes>>, StoreVersion, Timestamp),
    /// A query of another host.
    Query(TableQuery, Sender<Option<TableReply>>),
}

/// Messages to a publisher's task, which ends when all handles are dropped.
pub type PublisherHandle = Sender<PublisherInput>;

/// Starts the publisher of a table on this thread's runtime. `epoch` is a random number.
#[must_use]
pub fn start_publisher(clock: Clock, epoch: u64) -> PublisherHandle {
    let (handle, inputs) = flume::unbounded();
    compio::runtime::spawn(publish(clock, Publisher::new(epoch), inputs)).detach();
    handle
}

async fn publish(clock: Clock, mut publisher: Publisher, inputs: Receiver<PublisherInput>) {
    let mut replies: HashMap<QueryId, Sender<Option<TableReply>>> = HashMap::new();
    let mut next: QueryId = 0;
    loop {
        let now = clock.now();
        let wake = publisher.wake().unwrap_or(now + IDLE_INTERVAL);
        let input = timeout_at(clock.instant(wake), inputs.recv_async()).await;
        let now = clock.now();
        let answers: Answers = match input {
            Ok(Ok(PublisherInput::Rows(rows, version, at))) => {
                publisher.publish(&rows, version, at, now)
            }
            Ok(Ok(PublisherInput::Query(query, reply))) => {
                next += 1;
                replies.insert(next, reply);
                publisher.query(next, query, now)
            }
            Ok(Err(_)) => return,
            Err(_) => publisher.answer_due(now),
        };
        for (id, answer) in answers {
            if let Some(reply) = replies.remove(&id) {
                // The other host may have disconnected.
                let _ = reply.send(answer);
            }
        }
    }
}

/// Asks another host for a table. It keeps the connection to the host that it asked last.
#[derive(Default)]
pub struct TableClient {
    connection: Option<(SocketAddr, RelayServiceClient)>,
}

impl TableClient {
    /// Asks the host at `address` for a table. `None` if that host has not read it yet.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when no answer comes within half a second after the query's time.
    pub async fn read(
        &mut self,
        address: SocketAddr,
        table: &Name,
        query: TableQuery,
    ) -> Result<Option<TableReply>, PeerError> {
        let limit = query.wait + QUERY_MARGIN;
        let client = self.connect(address).await?;
        let answer = client.read_table(call_context(limit), table.clone(), query);
        let answer = with_timeout(limit, answer).await;
        if answer.is_err() {
            self.connection = None;
        }
        answer
    }

    async fn connect(&mut self, address: SocketAddr) -> Result<RelayServiceClient, PeerError> {
        if let Some((known, client)) = &self.connection
            && *known == address
        {
            return Ok(client.clone());
        }
        let client = new_client(open(address).await?);
        compio::runtime::spawn(async move {
            if let Err(error) = client.dispatch.await {
                debug!("the connection to host {} ended: {:?}", address, error);
            }
        })
        .detach();
        self.connection = Some((address, client.client.clone()));
        Ok(client.client)
    }
}
