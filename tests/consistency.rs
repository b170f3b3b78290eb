//! Read-your-writes over sockets: sessions that move between hosts while replicas lag.

mod common;

use std::time::Duration;

use goldcrest_standins::database::Fault;
use rstest::rstest;

use common::{connect, first_value, fleet, inject_fault, rows, run_client};

/// The number of writes, each followed by a read on the other host.
const ROUNDS: usize = 200;
/// The replication lag of the replicas.
const LAG: Duration = Duration::from_secs(5);
const DATABASE: &str = "hearth-orders";

/// How the session on the second host gets the floor of the first session's writes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Roaming {
    /// It connects after the write and has no token.
    New,
    /// It has been connected all along, and sets the first session's token.
    Token,
}

#[rstest]
#[case(Roaming::New)]
#[case(Roaming::Token)]
fn a_roaming_session_reads_its_writes_while_replicas_lag(#[case] roaming: Roaming) {
    let fleet = fleet(2);
    run_client(async {
        let writer = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(
            &writer,
            "CREATE TABLE visits (id int primary key, note text)",
        )
        .await
        .unwrap();
        inject_fault(&fleet, "orders-2", Fault::Lag(LAG));
        inject_fault(&fleet, "orders-3", Fault::Lag(LAG));
        let existing = connect(fleet.client_addresses[1], "orders", DATABASE).await;
        for id in 0..ROUNDS {
            let insert = format!("INSERT INTO visits VALUES ({id}, 'visit {id}')");
            rows(&writer, &insert).await.unwrap();
            let select = format!("SELECT note FROM visits WHERE id = {id}");
            let found = if roaming == Roaming::Token {
                let token = first_value(&writer, "SHOW goldcrest.session").await;
                rows(&existing, &format!("SET goldcrest.session = '{token}'"))
                    .await
                    .unwrap();
                rows(&existing, &select).await.unwrap()
            } else {
                let new = connect(fleet.client_addresses[1], "orders", DATABASE).await;
                rows(&new, &select).await.unwrap()
            };
            assert_eq!(found, vec![vec![format!("visit {id}")]]);
        }
    });
}

#[rstest]
fn a_write_is_read_back_through_prepared_statements() {
    let fleet = fleet(1);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        client
            .execute("CREATE TABLE notes (id int primary key, note text)", &[])
            .await
            .unwrap();
        let insert = client
            .prepare("INSERT INTO notes VALUES ($1, $2)")
            .await
            .unwrap();
        let select = client
            .prepare("SELECT note FROM notes WHERE id = $1")
            .await
            .unwrap();
        for id in 0..20 {
            let (id, note) = (id.to_string(), format!("note {id}"));
            client.execute(&insert, &[&id, &note]).await.unwrap();
            let row = client.query_one(&select, &[&id]).await.unwrap();
            assert_eq!(row.get::<_, String>(0), note);
        }
    });
}

#[rstest]
fn a_token_of_another_workspace_is_refused() {
    let fleet = fleet(1);
    run_client(async {
        let orders = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(&orders, "CREATE TABLE t (id int)").await.unwrap();
        let token = first_value(&orders, "SHOW goldcrest.session").await;
        let parts = connect(fleet.client_addresses[0], "parts", DATABASE).await;
        let set = format!("SET goldcrest.session = '{token}'");
        let foreign = rows(&parts, &set).await.unwrap_err();
        assert_eq!(common::sqlstate(&foreign), "28000");
        let forged = token.replacen(":1", ":9", 1);
        let set = format!("SET goldcrest.session = '{forged}'");
        let forged = rows(&orders, &set).await.unwrap_err();
        assert_eq!(common::sqlstate(&forged), "28000");
    });
}
