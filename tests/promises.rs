//! One test for each guarantee to clients, over sockets with PostgreSQL clients.

mod common;

use std::time::Duration;

use goldcrest_standins::{database::Fault, platform::PlatformFault};
use rstest::rstest;
use tokio_postgres::NoTls;

use common::{
    connect, connect_with, eventually, first_value, fleet, inject_fault, rows, run_client, sqlstate,
};

const DATABASE: &str = "hearth-orders";

async fn create_table(client: &tokio_postgres::Client) {
    rows(client, "CREATE TABLE t (id int primary key, v text)")
        .await
        .unwrap();
}

#[rstest]
#[case::dead(Fault::Down, false)]
#[case::cut_off(Fault::Cut, false)]
#[case::paused(Fault::Frozen, false)]
#[case::dead_with_the_table_down(Fault::Down, true)]
fn writes_resume_after_the_primary_fails(#[case] fault: Fault, #[case] table_down: bool) {
    let fleet = fleet(2);
    run_client(async {
        let first = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&first).await;
        rows(&first, "INSERT INTO t VALUES (1, 'before')")
            .await
            .unwrap();
        if table_down {
            common::inject_platform_fault(&fleet, PlatformFault::Down);
        }
        inject_fault(&fleet, "orders-1", fault);
        // A write that was running at the fault may have an unknown outcome; a new one must
        // succeed.
        let mut id = 1;
        eventually(|| {
            id += 1;
            let insert = format!("INSERT INTO t VALUES ({id}, 'after')");
            let first = &first;
            async move { rows(first, &insert).await.is_ok() }
        })
        .await;
        let second = connect(fleet.client_addresses[1], "orders", DATABASE).await;
        assert_eq!(
            first_value(&second, "SELECT v FROM t WHERE id = 1").await,
            "before"
        );
        let last = format!("SELECT v FROM t WHERE id = {id}");
        assert_eq!(first_value(&second, &last).await, "after");
    });
}

#[rstest]
fn a_former_primary_that_rejoins_serves_no_stale_reads() {
    let fleet = fleet(2);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&client).await;
        inject_fault(&fleet, "orders-1", Fault::Cut);
        let mut id = 0;
        eventually(|| {
            id += 1;
            let insert = format!("INSERT INTO t VALUES ({id}, 'kept')");
            let client = &client;
            async move { rows(client, &insert).await.is_ok() }
        })
        .await;
        inject_fault(&fleet, "orders-1", Fault::None);
        for round in 0..50 {
            let client = connect(fleet.client_addresses[round % 2], "orders", DATABASE).await;
            let select = format!("SELECT v FROM t WHERE id = {id}");
            assert_eq!(first_value(&client, &select).await, "kept");
        }
    });
}

#[rstest]
fn a_request_with_an_id_runs_once() {
    let fleet = fleet(2);
    run_client(async {
        let first = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&first).await;
        let order = "INSERT INTO t VALUES (1, 'two tanks')";
        rows(&first, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&first, order).await.unwrap();
        let second = connect(fleet.client_addresses[1], "orders", DATABASE).await;
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&second, order).await.unwrap();
        // The id still holds after a failover.
        inject_fault(&fleet, "orders-1", Fault::Down);
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        rows(&second, order).await.unwrap();
        assert_eq!(first_value(&second, "SELECT count(*) FROM t").await, "1");
        // Another statement with the same id is refused.
        rows(&second, "SET goldcrest.request_id = 'order-1'")
            .await
            .unwrap();
        let other = rows(&second, "INSERT INTO t VALUES (2, 'x')").await;
        assert_eq!(sqlstate(&other.unwrap_err()), "22023");
    });
}

#[rstest]
fn an_unanswered_write_has_an_unknown_outcome_and_is_not_repeated() {
    let fleet = fleet(1);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&client).await;
        let running = rows(&client, "INSERT INTO t SELECT 1, pg_sleep(1)");
        let failing = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            inject_fault(&fleet, "orders-1", Fault::Down);
        };
        let (result, ()) = futures_util::join!(running, failing);
        assert_eq!(sqlstate(&result.unwrap_err()), "08007");
        let count = "SELECT count(*) FROM t";
        assert_eq!(first_value(&client, count).await, "0");
    });
}

#[rstest]
fn an_open_transaction_is_isolated_from_other_sessions() {
    let fleet = fleet(1);
    run_client(async {
        let orders = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&orders).await;
        let parts = connect(fleet.client_addresses[0], "parts", DATABASE).await;
        rows(&orders, "BEGIN").await.unwrap();
        rows(&orders, "INSERT INTO t VALUES (1, 'orders')")
            .await
            .unwrap();
        assert_eq!(first_value(&parts, "SELECT count(*) FROM t").await, "0");
        rows(&parts, "BEGIN").await.unwrap();
        assert_eq!(first_value(&parts, "SELECT count(*) FROM t").await, "0");
        rows(&parts, "ROLLBACK").await.unwrap();
        assert_eq!(first_value(&orders, "SELECT count(*) FROM t").await, "1");
        rows(&orders, "COMMIT").await.unwrap();
        // Another session sees the commit once a replica has it.
        eventually(|| async { first_value(&parts, "SELECT count(*) FROM t").await == "1" }).await;
    });
}

#[rstest]
fn a_disconnected_clients_transaction_is_rolled_back() {
    let fleet = fleet(1);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&client).await;
        let leaving = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(&leaving, "BEGIN").await.unwrap();
        rows(&leaving, "INSERT INTO t VALUES (1, 'gone')")
            .await
            .unwrap();
        drop(leaving);
        // The rolled-back transaction must have released its write lock.
        rows(&client, "INSERT INTO t VALUES (2, 'here')")
            .await
            .unwrap();
        assert_eq!(first_value(&client, "SELECT count(*) FROM t").await, "1");
    });
}

#[rstest]
fn settings_of_a_session_do_not_reach_other_sessions() {
    let fleet = fleet(1);
    run_client(async {
        let orders = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(&orders, "SET search_path = 'orders_only'")
            .await
            .unwrap();
        assert_eq!(
            first_value(&orders, "SHOW search_path").await,
            "orders_only"
        );
        for _ in 0..20 {
            let parts = connect(fleet.client_addresses[0], "parts", DATABASE).await;
            assert_eq!(first_value(&parts, "SHOW search_path").await, "");
        }
        assert_eq!(
            first_value(&orders, "SHOW search_path").await,
            "orders_only"
        );
    });
}

#[rstest]
fn concurrent_clients_get_their_own_complete_answers() {
    let fleet = fleet(1);
    run_client(async {
        let setup = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&setup).await;
        for id in 0..20 {
            let insert = format!("INSERT INTO t VALUES ({id}, 'value {id}')");
            rows(&setup, &insert).await.unwrap();
        }
        let mut tasks = Vec::new();
        for id in 0..20 {
            let address = fleet.client_addresses[0];
            tasks.push(tokio::spawn(async move {
                let client = connect(address, "orders", DATABASE).await;
                for _ in 0..20 {
                    let select = format!("SELECT v FROM t WHERE id = {id}");
                    assert_eq!(first_value(&client, &select).await, format!("value {id}"));
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
    run_client(async {
        let slow = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        let other = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        let token = slow.cancel_token();
        let cancelled = rows(&slow, "SELECT pg_sleep(20)");
        let uncancelled = rows(&other, "SELECT pg_sleep(1)");
        let cancelling = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            token.cancel_query(NoTls).await.unwrap();
        };
        let (cancelled, uncancelled, ()) = futures_util::join!(cancelled, uncancelled, cancelling);
        assert_eq!(sqlstate(&cancelled.unwrap_err()), "57014");
        assert!(uncancelled.is_ok());
        assert_eq!(rows(&slow, "SELECT 1").await.unwrap().len(), 1);
    });
}

#[rstest]
fn without_a_majority_writes_do_not_run_and_reads_do() {
    let fleet = common::fleet_with(1, |settings| settings.limits.start_ms = 1500);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        create_table(&client).await;
        rows(&client, "INSERT INTO t VALUES (1, 'kept')")
            .await
            .unwrap();
        inject_fault(&fleet, "orders-1", Fault::Down);
        inject_fault(&fleet, "orders-2", Fault::Down);
        eventually(|| async {
            let result = rows(&client, "INSERT INTO t VALUES (2, 'no')").await;
            result.is_err_and(|e| sqlstate(&e) == "57P03")
        })
        .await;
        assert_eq!(
            first_value(&client, "SELECT v FROM t WHERE id = 1").await,
            "kept"
        );
        inject_fault(&fleet, "orders-1", Fault::None);
        inject_fault(&fleet, "orders-2", Fault::None);
        eventually(|| async {
            rows(&client, "SELECT 1").await.is_ok()
                && rows(&client, "INSERT INTO t VALUES (3, 'yes')")
                    .await
                    .is_ok()
        })
        .await;
        assert_eq!(first_value(&client, "SELECT count(*) FROM t").await, "2");
    });
}

#[rstest]
fn invalid_clients_and_statements_get_their_sqlstate() {
    let fleet = common::fleet_with(1, |settings| {
        settings.workspaces[1].databases = vec!["hearth-warranty".into()];
        settings.workspaces[2].password = Some("secret".into());
        settings.limits.sessions = 1;
    });
    run_client(async {
        let address = fleet.client_addresses[0];
        let refused = async |workspace: &str, database: &str| {
            let error = connect_with(address, workspace, database, "").await;
            error.err().map(|e| sqlstate(&e)).unwrap_or_default()
        };
        let denied = vec![
            ("unknown database", refused("orders", "nowhere").await),
            ("foreign database", refused("warranty", DATABASE).await),
            ("no password", refused("parts", DATABASE).await),
        ];
        let open_session = connect(address, "orders", DATABASE).await;
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
            let result = rows(&open_session, sql).await.err().map(|e| sqlstate(&e));
            statements.push((sql, result.unwrap_or_default()));
        }
        insta::assert_debug_snapshot!((denied, full, statements));
    });
}
