use super::*;
use crate::wire::{Gauge, Wire};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use tokio::net::{TcpListener, TcpStream};

async fn view() -> (Wire, View, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    let (wire, view) = Wire::of_client(stream, Gauge::default().enter());
    (wire, view, client)
}

fn is_ready(future: impl Future<Output = ()>) -> bool {
    pin!(future).poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

#[tokio::test]
async fn whoever_looks_after_connections_sleeps_while_there_is_none() {
    let seats = Seats::default();
    assert!(!is_ready(seats.occupied()));
    let (_wire, view, _client) = view().await;
    {
        let mut waiting = pin!(seats.occupied());
        assert!(!is_ready(waiting.as_mut()));
        let first = seats.enter(view.clone(), Duration::ZERO);
        assert!(is_ready(waiting), "the first one wakes who waits");
        let second = seats.enter(view.clone(), Duration::ZERO);
        assert!(is_ready(seats.occupied()));
        drop(first);
        assert!(is_ready(seats.occupied()), "one is left");
        drop(second);
    }
    drop(seats.enter(view.clone(), Duration::ZERO));
    assert!(!is_ready(seats.occupied()), "it came and went: there is none");
    let _again = seats.enter(view, Duration::ZERO);
    assert!(is_ready(seats.occupied()));
}
