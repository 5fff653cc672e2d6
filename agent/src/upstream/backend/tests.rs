use super::*;
use ryelead::ServerId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Permits the first byte or not, and takes no streamed answer.
struct FixedPermit(bool, ForwardOrder);

impl AttemptOwner for FixedPermit {
    fn permit(&self) -> Option<AttemptPermit> {
        self.0.then(|| AttemptPermit::for_probe(Instant::now()))
    }

    fn commit(&self) {}

    fn answer_begun(&self) {}

    fn answer_stalled(&self) {}

    fn answer_progressed(&self) {}

    fn answer_length(&self, length: AnswerLength) {
        if length == AnswerLength::Long {
            self.1.give();
        }
    }

    fn forward_order(&self) -> &ForwardOrder {
        &self.1
    }

    fn close_recorder(&self) -> Option<CloseRecorder> {
        None
    }

    fn start_answer(&self, _: Served) -> bool {
        false
    }
}

fn backends_with(pool: Rc<Pool>, fields: &[&str]) -> Rc<Backends> {
    let fields: Vec<String> = fields.iter().map(|f| f.to_string()).collect();
    let has_reports = !fields.is_empty();
    Backends::new(pool, MemoryBudget::new(1 << 20), fields, has_reports)
}

fn backends() -> Rc<Backends> {
    backends_with(Pool::new(4, Duration::from_secs(20), Duration::from_secs(60)), &[])
}

fn post(body: usize) -> Call {
    let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
    Call {
        method: Method::POST,
        uri,
        headers,
        body: vec![7; body].into(),
        upload: None,
        client: None,
        _reservation: None,
    }
}

async fn attempt(address: SocketAddr, body: usize, may_send: bool) -> Outcome {
    attempt_of(&backends(), address, body, may_send).await
}

async fn attempt_of(backends: &Rc<Backends>, address: SocketAddr, body: usize, may_send: bool) -> Outcome {
    let server_endpoint = ServerEndpoint { server: ServerId(0), address, generation: 0 };
    let until = Instant::now() + Duration::from_secs(60);
    let progress = Progress::default();
    backends
        .attempt(
            server_endpoint,
            &post(body),
            until,
            &progress,
            &FixedPermit(may_send, ForwardOrder::default()),
        )
        .await
        .outcome
}

/// Reads a streamed answer to its end, like a client.
#[derive(Default)]
struct Reader(ForwardOrder);

impl AttemptOwner for Reader {
    fn permit(&self) -> Option<AttemptPermit> {
        Some(AttemptPermit::for_probe(Instant::now()))
    }

    fn commit(&self) {}

    fn answer_begun(&self) {}

    fn answer_stalled(&self) {}

    fn answer_progressed(&self) {}

    fn answer_length(&self, length: AnswerLength) {
        if length == AnswerLength::Long {
            self.0.give();
        }
    }

    fn forward_order(&self) -> &ForwardOrder {
        &self.0
    }

    fn close_recorder(&self) -> Option<CloseRecorder> {
        None
    }

    fn start_answer(&self, served: Served) -> bool {
        if let ServedBody::Stream(streaming) = served.body {
            tokio::task::spawn_local(streaming.collect());
        }
        true
    }
}

/// The report of a streamed answer is as old as its head when the answer ends, and must not pass for a
/// current one.
#[tokio::test]
async fn the_load_report_of_a_streamed_answer_is_ignored() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server_endpoint = ServerEndpoint { server: ServerId(0), address, generation: 0 };
    let until = Instant::now() + Duration::from_secs(60);
    for (length, report) in [(10, Some(vec![4.0])), (BUFFERED_ANSWER_MAX + 1, None)] {
        let second = Duration::from_secs(1);
        let backends = backends_with(Pool::new(4, second, second), &["queue"]);
        let (call, progress, reader) = (post(9), Progress::default(), Reader::default());
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut seen = 0;
            while seen < call.min_bytes() as usize {
                seen += stream.read(&mut [0; 4096]).await.unwrap();
            }
            let head =
                format!("HTTP/1.1 200 OK\r\nX-Load-Report: queue=4\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all(&[head.as_bytes(), &vec![7; length]].concat()).await.unwrap();
            stream
        };
        let both =
            async { tokio::join!(backends.attempt(server_endpoint, &call, until, &progress, &reader), peer) };
        let (ended, _) = LocalSet::new().run_until(both).await;
        assert_eq!(
            (ended.outcome, ended.report, ended.began.is_some()),
            (Outcome::Success, report, length > 10)
        );
    }
}

/// With all permitted connections in use no further one is opened, and the server is not blamed.
#[tokio::test]
async fn nothing_is_sent_at_the_connection_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let second = Duration::from_secs(1);
    let backends = backends_with(Pool::new(1, second, second), &[]);
    let both = async {
        tokio::select! {
            biased;
            outcome = attempt_of(&backends, address, 9, true) => panic!("an unanswered attempt ended as {outcome:?}"),
            outcome = attempt_of(&backends, address, 9, true) => outcome,
        }
    };
    let outcome = timeout(Duration::from_secs(20), LocalSet::new().run_until(both)).await;
    assert_eq!(outcome.ok(), Some(Outcome::NotSent));
    // The connection of the first attempt has been closed.
    tokio::task::yield_now().await;
    assert_eq!(backends.pool.count(), 0);
}

/// The drain rule counts a request from its first byte, so a decision made before may come too late to send
/// it.
#[tokio::test]
async fn nothing_is_written_without_a_permit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = LocalSet::new();
    assert_eq!(local.run_until(attempt(address, 9, false)).await, Outcome::NotSent);
    drop(local);
    let (mut stream, _) = listener.accept().await.unwrap();
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0);
}

/// The request is larger than the buffers of both sockets and the peer closes, so its last byte was not
/// written and the server can't have executed it.
#[tokio::test]
async fn a_request_cut_before_its_last_byte_is_not_executed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1]).await;
    };
    let both = async { tokio::join!(attempt(address, 64 << 20, true), peer).0 };
    assert_eq!(LocalSet::new().run_until(both).await, Outcome::ConnectFailed);
}

/// The unsent bytes of an attempt that was given up must not arrive later, when its request has been
/// answered. After a plain close the kernel would still deliver them, and the peer would read a complete
/// request.
#[tokio::test]
async fn unsent_bytes_of_an_abandoned_attempt_never_arrive() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = LocalSet::new();
    let mut peer = None;
    let abandoned = async {
        tokio::select! {
            outcome = attempt(address, 64 << 20, true) => panic!("nobody read it, and it ended as {outcome:?}"),
            // The first bytes have arrived, and the two sockets can't hold the rest.
            () = async {
                let (stream, _) = listener.accept().await.unwrap();
                stream.peek(&mut [0; 1]).await.unwrap();
                peer = Some(stream);
            } => {}
        }
    };
    local.run_until(abandoned).await;
    drop(local);
    let (mut peer, mut buffer) = (peer.unwrap(), vec![0; 1 << 20]);
    let end = loop {
        match peer.read(&mut buffer).await {
            Ok(0) => break None,
            Ok(_) => {}
            Err(e) => break Some(e.kind()),
        }
    };
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// A server that closes each new connection before anything is written must not cause reconnects without
/// limit.
#[tokio::test]
async fn a_new_connection_that_closes_at_once_is_not_retried() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut accepted = 0;
    // Closes each connection before the runtime notices that it is established.
    let peer = async {
        while accepted < 20 {
            while listener.accept().is_ok() {
                accepted += 1;
            }
            tokio::task::yield_now().await;
        }
    };
    let outcome = LocalSet::new()
        .run_until(async {
            tokio::select! {
                biased;
                outcome = attempt(address, 9, true) => Some(outcome),
                () = peer => None,
            }
        })
        .await;
    assert_eq!(outcome, Some(Outcome::ConnectFailed), "after {accepted} connections");
    assert_eq!(accepted, 1);
}

/// A machine that is cut off does not answer; the connect must time out, and nothing has been executed.
#[tokio::test(start_paused = true)]
async fn a_connect_without_an_answer_times_out() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // Connections in the queue are accepted by the kernel; later ones get no answer.
    let mut queue = Vec::new();
    for _ in 0..8 {
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        filler.set_nonblocking(true).unwrap();
        let _ = filler.connect(&address.into());
        queue.push(filler);
    }
    assert_eq!(LocalSet::new().run_until(attempt(address, 9, true)).await, Outcome::ConnectFailed);
}

/// Reads a request and writes these parts of an answer, a millisecond of the runtime's clock apart.
async fn answer_in_parts(listener: TcpListener, request_bytes: usize, parts: &[&str]) {
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.set_nodelay(true).unwrap();
    let mut seen = 0;
    while seen < request_bytes {
        seen += stream.read(&mut [0; 4096]).await.unwrap();
    }
    for part in parts {
        stream.write_all(part.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(1)).await;
    }
    // The connection stays open.
    std::future::pending::<()>().await;
}

/// The outcome of an attempt that is answered in these parts, and whether its connection is kept.
async fn outcome_of_parts(parts: &[&str]) -> (Outcome, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let backends = backends();
    let request_bytes = post(9).min_bytes() as usize;
    let outcome = LocalSet::new()
        .run_until(async {
            tokio::select! {
                outcome = attempt_of(&backends, address, 9, true) => outcome,
                () = answer_in_parts(listener, request_bytes, parts) => unreachable!("it never ends"),
            }
        })
        .await;
    (outcome, backends.pool.levels().1 == 1)
}

/// A head is often written on its own: if it states a length of 0, its body comes in a later segment.
#[tokio::test(start_paused = true)]
async fn a_body_just_behind_an_empty_answer_leaves_it_in_doubt() {
    for head in ["HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 X\r\nX-Rejected: 1\r\n"] {
        let head = format!("{head}Content-Length: 0\r\n\r\n");
        assert_eq!(outcome_of_parts(&[&head, "b"]).await, (Outcome::ConnectionReset, false), "{head}");
        assert!(outcome_of_parts(&[&head]).await.1, "{head}: the connection is kept without a surplus");
    }
}

/// A copy whose head arrives in pieces must not be taken for the rest of a body, and a piece of a head that
/// stays alone must not be taken for a copy.
#[tokio::test(start_paused = true)]
async fn the_rest_of_a_copy_is_waited_for() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    for cut in 1..answer.len() {
        let (begun, rest) = answer.split_at(cut);
        let begun = format!("{answer}{begun}");
        assert_eq!(outcome_of_parts(&[&begun, rest]).await, (Outcome::Success, false), "{begun}");
    }
    let begun = format!("{answer}HTTP/1.1 200 OK");
    assert_eq!(outcome_of_parts(&[&begun]).await, (Outcome::ConnectionReset, false));
    assert_eq!(outcome_of_parts(&[&begun, " or not"]).await, (Outcome::ConnectionReset, false));
}

/// The end of a streamed answer waits for the rest of a copy as well.
#[tokio::test(start_paused = true)]
async fn the_rest_of_a_copy_behind_a_streamed_answer_is_waited_for() {
    let body = "b".repeat(BUFFERED_ANSWER_MAX + 1);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let begun = format!("{answer}HTTP/1.1 200 OK\r\n");
    for (rest, expected) in [
        (&answer["HTTP/1.1 200 OK\r\n".len()..], Outcome::Success),
        ("no copy", Outcome::ConnectionReset),
        ("", Outcome::ConnectionReset),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server_endpoint = ServerEndpoint { server: ServerId(0), address, generation: 0 };
        let (backends, call, progress) = (backends(), post(9), Progress::default());
        let until = Instant::now() + Duration::from_secs(60);
        let request_bytes = call.min_bytes() as usize;
        let parts = [begun.as_str(), rest];
        let ended = LocalSet::new()
            .run_until(async {
                let reader = Reader::default();
                tokio::select! {
                    ended = backends.attempt(server_endpoint, &call, until, &progress, &reader) => ended,
                    () = answer_in_parts(listener, request_bytes, &parts) => unreachable!("it never ends"),
                }
            })
            .await;
        assert_eq!(ended.outcome, expected, "{rest:.20}");
    }
}

/// A load report whose last digits were cut off is readable, and wrong.
#[tokio::test]
async fn the_load_report_of_an_answer_in_doubt_is_ignored() {
    for body in ["queue=45", "queue=4"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server_endpoint = ServerEndpoint { server: ServerId(0), address, generation: 0 };
        let second = Duration::from_secs(1);
        let backends = backends_with(Pool::new(4, second, second), &["queue"]);
        let answer = format!("HTTP/1.1 200 OK\r\nX-Load-Report: queue=4\r\nContent-Length: 7\r\n\r\n{body}");
        let parts = [answer.as_str()];
        let ended = LocalSet::new()
            .run_until(async {
                tokio::select! {
                    ended = backends.probe(server_endpoint) => ended,
                    () = answer_in_parts(listener, 1, &parts) => unreachable!("it never ends"),
                }
            })
            .await;
        let expected = if body.len() == 7 {
            (Outcome::Success, Some(vec![4.0]))
        } else {
            (Outcome::ConnectionReset, None)
        };
        assert_eq!((ended.outcome, ended.report), expected, "{body}");
    }
}

/// An answer that the decision module had kept back, and that then waited for memory, was held back for 2.002 s.
#[tokio::test(start_paused = true)]
async fn an_answer_that_waits_for_memory_is_not_held_back_until_it_is_lost() {
    const LOST_AFTER: Duration = Duration::from_secs(2);
    /// A process may be held up this long between reading its clock and writing.
    const HELD_UP: Duration = Duration::from_millis(150);
    let pool = Pool::new(4, Duration::from_secs(20), Duration::from_secs(60));
    let backends = Backends::new(pool, MemoryBudget::new(0), Vec::new(), false);
    let (call, started) = (post(4), Instant::now());
    let reservation = backends.streaming_memory(&call, started + Duration::from_secs(60)).await;
    let held_back = Duration::from_micros(ryelead::ANSWER_HOLD_MAX.0) + started.elapsed();
    assert!(reservation.is_none() && held_back + HELD_UP < LOST_AFTER, "{held_back:?}");
}
