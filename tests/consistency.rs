//! Read-your-writes on sockets: sessions that roam between hosts while replicas trail far behind.

mod common;

use std::time::Duration;

use goldcrest_standins::database::Fault;
use rstest::rstest;

use common::{client_side, connect, fault, fleet, one, rows};

const ROUNDS: usize = 200;
const LAG: Duration = Duration::from_secs(5);
const DATABASE: &str = "hearth-orders";

/// How the second session learns what the first one wrote.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Roaming {
    /// It is new and has no token.
    Fresh,
    /// It was there before, and is given the token.
    Token,
}

#[rstest]
#[case(Roaming::Fresh)]
#[case(Roaming::Token)]
fn a_roaming_session_reads_its_writes_while_replicas_lag(#[case] roaming: Roaming) {
    let fleet = fleet(2);
    client_side(async {
        let writer = connect(fleet.callers[0], "orders", DATABASE).await;
        rows(
            &writer,
            "CREATE TABLE visits (id int primary key, note text)",
        )
        .await
        .unwrap();
        fault(&fleet, "orders-2", Fault::Lag(LAG));
        fault(&fleet, "orders-3", Fault::Lag(LAG));
        let standing = connect(fleet.callers[1], "orders", DATABASE).await;
        for id in 0..ROUNDS {
            let insert = format!("INSERT INTO visits VALUES ({id}, 'visit {id}')");
            rows(&writer, &insert).await.unwrap();
            let select = format!("SELECT note FROM visits WHERE id = {id}");
            let found = if roaming == Roaming::Token {
                let token = one(&writer, "SHOW goldcrest.session").await;
                rows(&standing, &format!("SET goldcrest.session = '{token}'"))
                    .await
                    .unwrap();
                rows(&standing, &select).await.unwrap()
            } else {
                let fresh = connect(fleet.callers[1], "orders", DATABASE).await;
                rows(&fresh, &select).await.unwrap()
            };
            assert_eq!(found, vec![vec![format!("visit {id}")]]);
        }
    });
}

#[rstest]
fn a_write_is_read_back_through_prepared_statements() {
    let fleet = fleet(1);
    client_side(async {
        let client = connect(fleet.callers[0], "orders", DATABASE).await;
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
    client_side(async {
        let orders = connect(fleet.callers[0], "orders", DATABASE).await;
        rows(&orders, "CREATE TABLE t (id int)").await.unwrap();
        let token = one(&orders, "SHOW goldcrest.session").await;
        let parts = connect(fleet.callers[0], "parts", DATABASE).await;
        let set = format!("SET goldcrest.session = '{token}'");
        let foreign = rows(&parts, &set).await.unwrap_err();
        assert_eq!(common::code(&foreign), "28000");
        let forged = token.replacen(":1", ":9", 1);
        let set = format!("SET goldcrest.session = '{forged}'");
        let forged = rows(&orders, &set).await.unwrap_err();
        assert_eq!(common::code(&forged), "28000");
    });
}
