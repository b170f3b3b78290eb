//! A malformed or oversized message ends its own connection and no other.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use rstest::rstest;

use common::{connect, first_value, fleet, run_client};

const DATABASE: &str = "hearth-orders";

/// Builds a start-up message of protocol 3.0 for the workspace `orders`.
fn startup() -> Vec<u8> {
    let parameters = b"user\0orders\0database\0hearth-orders\0\0";
    let length = u32::try_from(parameters.len() + 8).unwrap();
    let mut out = length.to_be_bytes().to_vec();
    out.extend(196_608_u32.to_be_bytes());
    out.extend(parameters);
    out
}

fn open(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(&startup()).unwrap();
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    // The ready message ends the start-up.
    while !answer.ends_with(&[b'Z', 0, 0, 0, 5, b'I']) {
        let read = stream.read(&mut buf).unwrap();
        assert!(read > 0, "closed during start-up");
        answer.extend(&buf[..read]);
    }
    stream
}

/// Reads until the other side closes the connection.
fn read_to_close(mut stream: TcpStream) -> String {
    let mut out = Vec::new();
    stream.read_to_end(&mut out).unwrap();
    String::from_utf8_lossy(&out).into_owned()
}

#[rstest]
#[case::unknown_tag(&[b'!', 0, 0, 0, 4], "08P01")]
#[case::oversized(&[b'Q', 0x7f, 0xff, 0xff, 0xff], "54000")]
#[case::short_length(&[b'Q', 0, 0, 0, 1], "54000")]
#[case::broken_bind(&[b'B', 0, 0, 0, 8, 1, 2, 3, 4], "08P01")]
fn a_bad_message_ends_only_its_connection(#[case] message: &[u8], #[case] code: &str) {
    let fleet = fleet(1);
    let mut bad = open(fleet.client_addresses[0]);
    run_client(async {
        let good = connect(fleet.client_addresses[0], "orders", DATABASE).await;
        bad.write_all(message).unwrap();
        let answer = read_to_close(bad);
        assert!(answer.contains(code), "{answer:?}");
        assert_eq!(first_value(&good, "SELECT 1").await, "1");
    });
}

#[rstest]
fn an_encryption_request_is_declined() {
    let fleet = fleet(1);
    let mut stream = TcpStream::connect(fleet.client_addresses[0]).unwrap();
    stream
        .write_all(&[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f])
        .unwrap();
    let mut answer = [0];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"N");
}
