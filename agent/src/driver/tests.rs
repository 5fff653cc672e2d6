use super::*;
use crate::memory_budget::MemoryBudget;
use crate::permits::admission::admit;
use hyper::{HeaderMap, Method, Uri};
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::{yield_now, LocalSet};

async fn driver() -> (Driver, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let list = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{}","state":"SERVING"}}]}}"#,
        listener.local_addr().unwrap()
    );
    let second = Duration::from_secs(1);
    let pool = Pool::new(4, second, second);
    let backends = Backends::new(pool, MemoryBudget::new(1 << 20), Vec::new(), false);
    let known = serde_json::from_str(&list).unwrap();
    let driver = Driver::new(
        Settings::default(),
        7,
        (&[], &[]),
        Some(known),
        backends,
        DiscoveryCommands::new(SocketAddr::from(([127, 0, 0, 1], 1))),
    );
    (driver.unwrap(), listener)
}

fn submit(driver: &Driver) -> (RequestId, oneshot::Receiver<Answer>) {
    let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
    let call = Call {
        method: Method::GET,
        uri,
        headers,
        body: bytes::Bytes::new(),
        upload: None,
        client: None,
        _reservation: None,
    };
    let deadline = Instant::now() + Duration::from_secs(60);
    let (class, tenant, key, cost_hint, client_retry, body_incomplete) =
        (ClassId(0), None, None, None, false, false);
    let attributes = RequestAttributes {
        class,
        tenant,
        key,
        cost_hint,
        client_retry,
        client_deadline: deadline,
        body_incomplete,
    };
    let admission = admit(Instant::now(), deadline, None).expect("no shutdown");
    driver
        .submit(call, HeaderValue::from_static("id"), attributes, admission)
        .expect("the only one with its call id")
}

/// Guards the decision module's count of attempts in flight: a request that ends right after one of its
/// attempts was cancelled must not be forgotten before the outcome of that attempt is reported.
#[tokio::test]
async fn a_cancelled_attempt_is_reported_although_its_request_has_ended() {
    let local = LocalSet::new();
    let test = async {
        let (driver, _listener) = driver().await;
        let (id, answer) = submit(&driver);
        let cancel = Action::Cancel { request: id, attempt: AttemptNo(0) };
        driver.perform(vec![cancel, Action::Fail { request: id, reason: Reason::NoTimeToRetry }]);
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        assert!(driver.0.core.borrow().requests.is_open(id), "its outcome has not been reported");
        while driver.0.core.borrow().requests.is_open(id) {
            yield_now().await;
        }
    };
    local.run_until(test).await;
}

/// A request is answered only once, and nothing is kept of a request that is over.
#[tokio::test]
async fn the_first_answer_is_the_only_one() {
    let local = LocalSet::new();
    let test = async {
        let (driver, _listener) = driver().await;
        let (id, answer) = submit(&driver);
        driver.perform(vec![
            Action::Fail { request: id, reason: Reason::NoTimeToRetry },
            Action::Refuse { request: id, retry_after: None, reason: Reason::QueueTimeout },
        ]);
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        driver.perform(vec![Action::Cancel { request: id, attempt: AttemptNo(0) }]);
        while driver.0.core.borrow().requests.is_open(id) {
            yield_now().await;
        }
    };
    local.run_until(test).await;
}

/// Guards against records that pile up when servers are replaced under ever new names, and against a new
/// server that inherits the state of a removed one whose address it takes.
#[tokio::test(start_paused = true)]
async fn removed_servers_are_forgotten_and_their_ids_are_not_reused() {
    let local = LocalSet::new();
    let test = async {
        let (driver, listener) = driver().await;
        let address = listener.local_addr().unwrap();
        let mut seen_ids = HashSet::new();
        for n in 0..50 {
            let list = format!(
                r#"{{"rev":{n},"all":true,"targets":[{{"uid":"s{n}","endpoint":"{address}","state":"SERVING"}}]}}"#
            );
            driver.apply_list(serde_json::from_str(&list).unwrap());
            tokio::time::advance(Duration::from_secs(1)).await;
            let servers = &mut driver.0.core.borrow_mut().servers;
            servers.forget_removed();
            let (ids, records) = servers.known();
            assert!(records <= 4, "{records} are kept");
            assert_eq!(ids.len(), records);
            assert!(seen_ids.insert(ids[&format!("s{n}")]), "an id is used twice");
        }
    };
    local.run_until(test).await;
}
