//! Malformed and oversized messages end their own connection alone.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use rstest::rstest;

use common::{client_side, connect, fleet, one};

const DATABASE: &str = "hearth-orders";

/// A start-up message of protocol 3.0 for workspace orders.
fn startup() -> Vec<u8> {
    let parameters = b"user\0orders\0database\0hearth-orders\0\0";
    let length = u32::try_from(parameters.len() + 8).unwrap();
    let mut out = length.to_be_bytes().to_vec();
    out.extend(196_608_u32.to_be_bytes());
    out.extend(parameters);
    out
}

fn opened(address: std::net::SocketAddr) -> TcpStream {
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

/// What comes until the other side closes.
fn rest(mut stream: TcpStream) -> String {
    let mut out = Vec::new();
    stream.read_to_end(&mut out).unwrap();
    String::from_utf8_lossy(&out).into_owned()
}

#[rstest]
#[case::unknown_tag(&[b'!', 0, 0, 0, 4], "08P01")]
#[case::oversized(&[b'Q', 0x7f, 0xff, 0xff, 0xff], "54000")]
#[case::short_length(&[b'Q', 0, 0, 0, 1], "54000")]
#[case::broken_bind(&[b'B', 0, 0, 0, 8, 1, 2, 3, 4], "08P01")]
fn a_bad_message_ends_its_connection_alone(#[case] message: &[u8], #[case] code: &str) {
    let fleet = fleet(1);
    let mut bad = opened(fleet.callers[0]);
    client_side(async {
        let good = connect(fleet.callers[0], "orders", DATABASE).await;
        bad.write_all(message).unwrap();
        let told = rest(bad);
        assert!(told.contains(code), "{told:?}");
        assert_eq!(one(&good, "SELECT 1").await, "1");
    });
}

#[rstest]
fn an_encryption_request_is_answered_no() {
    let fleet = fleet(1);
    let mut stream = TcpStream::connect(fleet.callers[0]).unwrap();
    stream
        .write_all(&[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f])
        .unwrap();
    let mut answer = [0];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"N");
}
