use super::*;
use tokio::io::AsyncReadExt;

fn entry(server: usize, word: Word) -> Entry {
    Entry { server, uid: format!("s{server}"), building: "a".into(), word, boot_ms: 0 }
}

async fn ask(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

#[tokio::test]
async fn lists_and_watches_answer_as_the_protocol_words_them_and_ail_on_command() {
    let (registry, book) = (Registry::default(), Book::default());
    registry.set(entry(0, Word::Serving(0)));
    registry.set(entry(1, Word::Serving(0)));
    let endpoints = HashMap::from([(0, "127.0.0.1:1".parse().unwrap()), (1, "127.0.0.1:2".parse().unwrap())]);
    let listen = "127.0.0.1:0".parse().unwrap();
    let view =
        View::start(5, registry.clone(), endpoints, listen, Clock::start(), book.clone()).await.unwrap();
    let list = "/registry/instances";
    let whole = ask(view.address(), list).await;
    assert_eq!(view.bytes_sent(), whole.len() as u64);
    assert!(
        whole.contains(r#""rev":3,"all":true"#) && whole.contains("s0") && whole.contains("s1"),
        "{whole}"
    );
    let empty = ask(view.address(), &format!("{list}?from=3&hold_ms=1")).await;
    assert!(empty.contains(r#""rev":3,"all":false,"targets":[]"#), "{empty}");
    let address = view.address();
    let watch = tokio::spawn(async move { ask(address, &format!("{list}?from=3&hold_ms=60000")).await });
    view.asked().wait_for(|asked| asked.len() == 3).await.unwrap();
    registry.set(entry(1, Word::Draining));
    let news = watch.await.unwrap();
    assert!(news.contains("DRAINING") && !news.contains("s0"), "{news}");
    let told: Vec<_> = book.open().told.iter().map(|t| (t.agent, t.server, t.word)).collect();
    assert_eq!(told[2], (5, 1, Word::Draining));
    view.ail(Ailment::Stale);
    registry.set(entry(1, Word::Gone));
    assert!(ask(view.address(), list).await.contains("DRAINING"));
    view.ail(Ailment::Down);
    assert!(ask(view.address(), list).await.contains("503"));
    view.ail(Ailment::None);
    assert!(!ask(view.address(), list).await.contains("s1"), "who has gone stands in no whole list");
    let old = view.address();
    assert_ne!(view.move_away().await.unwrap(), old);
    assert!(ask(view.address(), list).await.contains("200"));
}
