//! A listener whose connections' tasks panic.

use std::{io::Read, net::SocketAddr, time::Duration};

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use goldcrest_stream::accept;

const WAIT: Duration = Duration::from_secs(5);

/// A connection that was accepted while another one ended was dropped, and its client's first message
/// was reset.
#[compio::test]
async fn connections_are_served_that_open_while_others_end() {
    let address: SocketAddr = "127.0.7.2:7440".parse().unwrap();
    let _handle = accept::start(address, |_, mut socket, _| async move {
        // The client may have disconnected.
        let _ = socket.write_all(b"x").await;
        let _ = socket.read(vec![0; 1]).await;
    })
    .await
    .unwrap();
    let (done, served) = flume::bounded(1);
    std::thread::spawn(move || {
        let mut count = 0;
        for _ in 0..300 {
            let mut socket = std::net::TcpStream::connect(address).unwrap();
            count += usize::from(socket.read_exact(&mut [0; 1]).is_ok());
        }
        done.send(count).unwrap();
    });
    let count = timeout(WAIT, served.recv_async()).await.unwrap().unwrap();
    assert_eq!(count, 300);
}

#[compio::test]
async fn a_connection_whose_task_panics_ends_neither_the_listener_nor_delays_its_stop() {
    let address = "127.0.7.1:7440".parse().unwrap();
    let (served, calls) = flume::unbounded();
    let handle = accept::start(address, move |id, _socket, _shutdowns| {
        let served = served.clone();
        async move {
            served.send(id).unwrap();
            assert!(id > 0, "planted");
        }
    })
    .await
    .unwrap();
    for number in 0..2 {
        let _socket = TcpStream::connect(address).await.unwrap();
        let id = timeout(WAIT, calls.recv_async()).await.unwrap().unwrap();
        assert_eq!(id, number);
    }
    handle.drain();
    timeout(WAIT, handle.drained()).await.unwrap();
}
