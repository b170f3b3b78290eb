//! One focused test on sockets for each promise, with real clients.

mod common;

use std::time::Duration;

use goldcrest_standins::{database::Fault, platform::PlatformFault};
use rstest::rstest;
use tokio_postgres::NoTls;

use common::{client_side, code, connect, connect_with, eventually, fault, fleet, one, rows};

const DATABASE: &str = "hearth-orders";

async fn table(client: &tokio_postgres::Client) {
    rows(client, "CREATE TABLE t (id int primary key, v text)")
        .await
        .unwrap();
}

#[rstest]
#[case::dead(Fault::Down, false)]
#[case::cut_off(Fault::Cut, false)]
#[case::paused(Fault::Frozen, false)]
#[case::dead_with_the_table_down(Fault::Down, true)]
fn writes_go_on_after_the_primary_fails(#[case] kind: Fault, #[case] table_down: bool) {
    let fleet = fleet(2);
    client_side(async {
        let first = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&first).await;
        rows(&first, "INSERT INTO t VALUES (1, 'before')")
            .await
            .unwrap();
        if table_down {
            common::platform_fault(&fleet, PlatformFault::Down);
        }
        fault(&fleet, "orders-1", kind);
        // What was under way at the fault may be unknown; a new write must land.
        let mut id = 1;
        eventually(|| {
            id += 1;
            let insert = format!("INSERT INTO t VALUES ({id}, 'after')");
            let first = &first;
            async move { rows(first, &insert).await.is_ok() }
        })
        .await;
        let second = connect(fleet.callers[1], "orders", DATABASE).await;
        assert_eq!(one(&second, "SELECT v FROM t WHERE id = 1").await, "before");
        let last = format!("SELECT v FROM t WHERE id = {id}");
        assert_eq!(one(&second, &last).await, "after");
    });
}

#[rstest]
fn a_replaced_primary_that_comes_back_serves_no_lost_state() {
    let fleet = fleet(2);
    client_side(async {
        let client = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&client).await;
        fault(&fleet, "orders-1", Fault::Cut);
        let mut id = 0;
        eventually(|| {
            id += 1;
            let insert = format!("INSERT INTO t VALUES ({id}, 'kept')");
            let client = &client;
            async move { rows(client, &insert).await.is_ok() }
        })
        .await;
        fault(&fleet, "orders-1", Fault::None);
        for round in 0..50 {
            let client = connect(fleet.callers[round % 2], "orders", DATABASE).await;
            let select = format!("SELECT v FROM t WHERE id = {id}");
            assert_eq!(one(&client, &select).await, "kept");
        }
    });
}

#[rstest]
fn a_request_with_an_id_runs_once() {
    let fleet = fleet(2);
    client_side(async {
        let first = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&first).await;
        let order = "INSERT INTO t VALUES (1, 'two tanks')";
        rows(&first, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&first, order).await.unwrap();
        let second = connect(fleet.callers[1], "orders", DATABASE).await;
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&second, order).await.unwrap();
        // Also after a change of primary.
        fault(&fleet, "orders-1", Fault::Down);
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&second, order).await.unwrap();
        assert_eq!(one(&second, "SELECT count(*) FROM t").await, "1");
        // The id of one request can't stand for another.
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        let other = rows(&second, "INSERT INTO t VALUES (2, 'x')").await;
        assert_eq!(code(&other.unwrap_err()), "22023");
    });
}

#[rstest]
fn an_unanswered_write_is_unknown_and_not_repeated() {
    let fleet = fleet(1);
    client_side(async {
        let client = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&client).await;
        let running = rows(&client, "INSERT INTO t SELECT 1, pg_sleep(1)");
        let dying = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fault(&fleet, "orders-1", Fault::Down);
        };
        let (told, ()) = futures_util::join!(running, dying);
        assert_eq!(code(&told.unwrap_err()), "08007");
        let count = "SELECT count(*) FROM t";
        assert_eq!(one(&client, count).await, "0");
    });
}

#[rstest]
fn transactions_do_not_mix() {
    let fleet = fleet(1);
    client_side(async {
        let orders = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&orders).await;
        let parts = connect(fleet.callers[0], "parts", DATABASE).await;
        rows(&orders, "BEGIN").await.unwrap();
        rows(&orders, "INSERT INTO t VALUES (1, 'orders')")
            .await
            .unwrap();
        assert_eq!(one(&parts, "SELECT count(*) FROM t").await, "0");
        rows(&parts, "BEGIN").await.unwrap();
        assert_eq!(one(&parts, "SELECT count(*) FROM t").await, "0");
        rows(&parts, "ROLLBACK").await.unwrap();
        assert_eq!(one(&orders, "SELECT count(*) FROM t").await, "1");
        rows(&orders, "COMMIT").await.unwrap();
        // Another session sees the commit when its replica has it.
        eventually(|| async { one(&parts, "SELECT count(*) FROM t").await == "1" }).await;
    });
}

#[rstest]
fn a_transaction_of_a_caller_that_leaves_is_rolled_back() {
    let fleet = fleet(1);
    client_side(async {
        let client = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&client).await;
        let leaving = connect(fleet.callers[0], "orders", DATABASE).await;
        rows(&leaving, "BEGIN").await.unwrap();
        rows(&leaving, "INSERT INTO t VALUES (1, 'gone')")
            .await
            .unwrap();
        drop(leaving);
        // The write lock of the transaction that is gone must be free.
        rows(&client, "INSERT INTO t VALUES (2, 'here')")
            .await
            .unwrap();
        assert_eq!(one(&client, "SELECT count(*) FROM t").await, "1");
    });
}

#[rstest]
fn settings_of_a_session_do_not_leak() {
    let fleet = fleet(1);
    client_side(async {
        let orders = connect(fleet.callers[0], "orders", DATABASE).await;
        rows(&orders, "SET search_path = 'orders_only'")
            .await
            .unwrap();
        assert_eq!(one(&orders, "SHOW search_path").await, "orders_only");
        for _ in 0..20 {
            let parts = connect(fleet.callers[0], "parts", DATABASE).await;
            assert_eq!(one(&parts, "SHOW search_path").await, "");
        }
        assert_eq!(one(&orders, "SHOW search_path").await, "orders_only");
    });
}

#[rstest]
fn each_caller_gets_its_own_whole_answer() {
    let fleet = fleet(1);
    client_side(async {
        let setup = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&setup).await;
        for id in 0..20 {
            let insert = format!("INSERT INTO t VALUES ({id}, 'value {id}')");
            rows(&setup, &insert).await.unwrap();
        }
        let mut tasks = Vec::new();
        for id in 0..20 {
            let address = fleet.callers[0];
            tasks.push(tokio::spawn(async move {
                let client = connect(address, "orders", DATABASE).await;
                for _ in 0..20 {
                    let select = format!("SELECT v FROM t WHERE id = {id}");
                    assert_eq!(one(&client, &select).await, format!("value {id}"));
                }
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
    });
}

#[rstest]
fn a_cancel_reaches_its_own_request_only() {
    let fleet = fleet(1);
    client_side(async {
        let slow = connect(fleet.callers[0], "orders", DATABASE).await;
        let other = connect(fleet.callers[0], "orders", DATABASE).await;
        let token = slow.cancel_token();
        let cancelled = rows(&slow, "SELECT pg_sleep(20)");
        let whole = rows(&other, "SELECT pg_sleep(1)");
        let cancelling = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            token.cancel_query(NoTls).await.unwrap();
        };
        let (cancelled, whole, ()) = futures_util::join!(cancelled, whole, cancelling);
        assert_eq!(code(&cancelled.unwrap_err()), "57014");
        assert!(whole.is_ok());
        assert_eq!(rows(&slow, "SELECT 1").await.unwrap().len(), 1);
    });
}

#[rstest]
fn without_a_majority_writes_are_not_run_and_reads_go_on() {
    let fleet = common::fleet_with(1, |settings| settings.limits.start_ms = 1500);
    client_side(async {
        let client = connect(fleet.callers[0], "orders", DATABASE).await;
        table(&client).await;
        rows(&client, "INSERT INTO t VALUES (1, 'kept')")
            .await
            .unwrap();
        fault(&fleet, "orders-1", Fault::Down);
        fault(&fleet, "orders-2", Fault::Down);
        eventually(|| async {
            let told = rows(&client, "INSERT INTO t VALUES (2, 'no')").await;
            told.is_err_and(|e| code(&e) == "57P03")
        })
        .await;
        assert_eq!(one(&client, "SELECT v FROM t WHERE id = 1").await, "kept");
        fault(&fleet, "orders-1", Fault::None);
        fault(&fleet, "orders-2", Fault::None);
        eventually(|| async {
            rows(&client, "SELECT 1").await.is_ok()
                && rows(&client, "INSERT INTO t VALUES (3, 'yes')")
                    .await
                    .is_ok()
        })
        .await;
        assert_eq!(one(&client, "SELECT count(*) FROM t").await, "2");
    });
}

#[rstest]
fn wrong_callers_are_told_so() {
    let fleet = common::fleet_with(1, |settings| {
        settings.workspaces[1].databases = vec!["hearth-warranty".into()];
        settings.workspaces[2].password = Some("secret".into());
        settings.limits.sessions = 1;
    });
    client_side(async {
        let address = fleet.callers[0];
        let refused = async |workspace: &str, database: &str| {
            let error = connect_with(address, workspace, database, "").await;
            error.err().map(|e| code(&e)).unwrap_or_default()
        };
        let told = vec![
            ("unknown database", refused("orders", "nowhere").await),
            ("foreign database", refused("warranty", DATABASE).await),
            ("no password", refused("parts", DATABASE).await),
        ];
        let held = connect(address, "orders", DATABASE).await;
        let full = ("no room", refused("orders", DATABASE).await);
        let mut statements = Vec::new();
        for sql in [
            "COPY t FROM STDIN",
            "LISTEN news",
            "SET goldcrest.nothing = '1'",
            "SET goldcrest.max_age_ms = 'soon'",
            "SET goldcrest.session = 'forged'",
            "SELECT * FROM group_seal(99, '1')",
            "SELECT * FROM goldcrest_request",
            "SELEKT",
        ] {
            let told = rows(&held, sql).await.err().map(|e| code(&e));
            statements.push((sql, told.unwrap_or_default()));
        }
        insta::assert_debug_snapshot!((told, full, statements));
    });
}
