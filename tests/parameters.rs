//! Parameters that drivers send in binary format reach the database with the same value.

mod common;

use rstest::rstest;
use tokio_postgres::types::{ToSql, Type};

use common::{connect, fleet, rows, run_client, sqlstate};

const DATABASE: &str = "hearth-orders";

#[rstest]
#[case::small_integer(Type::INT2, &7_i16)]
#[case::integer(Type::INT4, &7_i32)]
#[case::large_integer(Type::INT8, &7_i64)]
#[case::small_float(Type::FLOAT4, &7.0_f32)]
#[case::float(Type::FLOAT8, &7.0_f64)]
#[case::text(Type::VARCHAR, &"7")]
fn a_row_is_found_by_a_binary_parameter(
    #[case] kind: Type,
    #[case] value: &(dyn ToSql + Sync + 'static),
) {
    let fleet = fleet(1);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(&client, "CREATE TABLE p1 (id int primary key, n int)")
            .await
            .unwrap();
        rows(&client, "INSERT INTO p1 VALUES (7, 70)")
            .await
            .unwrap();
        let select = "SELECT n FROM p1 WHERE id = $1";
        let statement = client.prepare_typed(select, &[kind]).await.unwrap();
        let found = client.query(&statement, &[value]).await.unwrap();
        let found: Vec<i64> = found.iter().map(|row| row.get(0)).collect();
        assert_eq!(found, [70]);
    });
}

#[test]
fn a_binary_parameter_of_an_unknown_type_is_refused() {
    let fleet = fleet(1);
    run_client(async {
        let client = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        rows(&client, "CREATE TABLE p2 (id int primary key, n int)")
            .await
            .unwrap();
        let select = "SELECT n FROM p2 WHERE id = $1";
        let statement = client.prepare_typed(select, &[Type::OID]).await.unwrap();
        let error = client.query(&statement, &[&7_u32]).await.unwrap_err();
        assert_eq!(sqlstate(&error), "0A000");
    });
}
