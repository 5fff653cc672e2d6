use super::*;
use crate::standins::http::Reader;

async fn ask(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut reader = Reader::new(&mut *stream, Clock::start());
    let message = reader.next(|_, _| true).await.expect("a whole answer").message;
    assert_eq!(message.status(), 200);
    String::from_utf8(message.body).expect("text")
}

#[tokio::test]
async fn servers_answer_calls_and_probes_at_addresses_of_their_own_and_end_when_dropped() {
    let servers = Servers::start(A_BLOCK + 2).await.expect("servers");
    let addresses = servers.addresses().to_vec();
    let distinct: std::collections::HashSet<_> = addresses.iter().map(SocketAddr::ip).collect();
    assert_eq!(distinct.len(), A_BLOCK + 2);
    let mut stream = TcpStream::connect(addresses[A_BLOCK + 1]).await.expect("connected");
    assert_eq!(ask(&mut stream, "/read-schedule").await, "session notes");
    assert_eq!(ask(&mut stream, "/stats").await, "qps=1.00,latency_ms=1.00,eps=0.00,queue=0");
    drop(servers);
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0, "closed");
    assert!(Servers::start(SERVERS_MOST + 1).await.is_err());
}
