//! Long answers, and answers without a stated length: forwarded as they arrive, either unchanged or visibly
//! broken off.

use dilljunction_lab::standins::booking::Act;
use dilljunction_lab::standins::hand::*;
use std::io::Read;

/// Text in which no two places look alike.
pub fn text(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i.wrapping_mul(2_654_435_761) >> 16) as u8 % 26)).collect()
}

/// An answer that states its length.
pub fn stated(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The body in chunks of different lengths, with chunk extensions and a trailer.
pub fn chunked(body: &str) -> String {
    let mut all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    let (mut rest, mut length) = (body, 1);
    while !rest.is_empty() {
        let (chunk, more) = rest.split_at(length.min(rest.len()));
        all += &format!("{:x};note=\"a\"\r\n{chunk}\r\n", chunk.len());
        (rest, length) = (more, length * 3 % 7000 + 1);
    }
    all + "0\r\nX-Sum: 1\r\n\r\n"
}

/// Reads a body in any framing after the given head; also returns whether it is complete.
fn body(client: &mut Client, head: &str) -> (String, bool) {
    let mut all = Vec::new();
    let mut rest = client.stream.try_clone().unwrap();
    let _ = rest.read_to_end(&mut all);
    let all = String::from_utf8(all).unwrap();
    assert!(all.starts_with(head), "{}", &all[..all.len().min(100)]);
    decode(&all)
}

/// The body of an answer in any framing, and whether it is complete.
pub fn decode(answer: &str) -> (String, bool) {
    let (head, mut left) = answer.split_once("\r\n\r\n").expect("a head");
    if let Some(length) = head.lines().find_map(|l| l.strip_prefix("content-length: ")) {
        return (left.to_string(), left.len() == length.parse::<usize>().unwrap());
    }
    let mut body = String::new();
    while let Some((length, more)) = left.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap();
        if length == 0 {
            return (body, true);
        }
        if more.len() < length + 2 {
            break;
        }
        body += &more[..length];
        left = &more[length + 2..];
    }
    (body, false)
}

/// Sends one request on a connection of its own.
fn ask(agent: &Agent, class: &str) -> (String, bool) {
    let mut client = Client::to(agent);
    client.write(&request(class, 9000).replace("Host:", "Connection: close\r\nHost:"));
    body(&mut client, "HTTP/1.1 200 OK")
}

/// The peak resident memory of the agent's process, in kB.
fn peak_kb(agent: &Agent) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Expects the client to get the backend's body unchanged, from a single request.
fn expect_unchanged(act: impl Fn() -> Act + Send + Sync + 'static, expected: &str) {
    let backend = Backend::new(move |_| act());
    let (agent, _discovery) = Agent::with(&[&backend]);
    let (body, whole) = ask(&agent, "read");
    assert!(whole && body == expected, "{} of {} bytes, whole: {whole}", body.len(), expected.len());
    assert_eq!(backend.heard.all().len(), 1);
}

#[test]
fn long_answers_arrive_unchanged_in_every_framing() {
    for length in [65_536, 65_537, 200_000, 3_000_000] {
        let all = text(length);
        let answer = stated(&all);
        expect_unchanged(move || Act::Answer(answer.clone()), &all);
        let answer = chunked(&all);
        expect_unchanged(move || Act::Answer(answer.clone()), &all);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{all}");
        expect_unchanged(move || Act::Last(answer.clone()), &all);
    }
    for length in [0, 1, 5000] {
        let all = text(length);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{all}");
        expect_unchanged(move || Act::Last(answer.clone()), &all);
    }
}

/// The first bytes must be forwarded before the last ones are sent, and a pause in between does not end the
/// answer.
#[test]
fn a_long_answer_is_forwarded_before_it_ends() {
    let all = text(150_000);
    let answer = stated(&all);
    let (first, rest) = answer.split_at(70_000);
    let parts = vec![first.to_string(), rest.to_string()];
    expect_unchanged(move || Act::Parts(parts.clone()), &all);
}

/// A connection that has carried a long answer is reused for the next request.
#[test]
fn a_connection_is_reused_after_a_long_answer() {
    let all = text(100_000);
    let answer = stated(&all);
    let backend = Backend::new(move |_| Act::Answer(answer.clone()));
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut client = Client::to(&agent);
    for _ in 0..5 {
        assert!(client.ask(&request("read", 9000)).body == all.as_bytes());
    }
    assert_eq!((backend.heard.all().len(), backend.opened.all().len()), (5, 1));
}

/// The client has part of the answer, so no other server may be asked. The client must be able to tell that
/// the answer is incomplete.
#[test]
fn a_truncated_long_answer_is_visible_to_the_client() {
    let all = text(150_000);
    for answer in [stated(&all), chunked(&all)] {
        let cut = answer[..120_000].to_string();
        let backend = Backend::new(move |_| Act::Last(cut.clone()));
        let (agent, _discovery) = Agent::with(&[&backend]);
        let (body, whole) = ask(&agent, "read");
        assert!(!whole && !body.is_empty() && all.starts_with(&body));
        assert_eq!(backend.heard.all().len(), 1);
        assert!(!ask(&agent, "read").1, "the agent still serves");
    }
}

/// A client that does not read slows down its server only, and the agent's memory for it is bounded.
#[test]
fn clients_that_stop_reading_use_bounded_memory_and_delay_no_others() {
    let (all, short) = (stated(&text(4 << 20)), text(10));
    let answer = stated(&short);
    let backend = Backend::new(move |m| {
        Act::Answer(if m.path().starts_with("/once") { all.clone() } else { answer.clone() })
    });
    let (agent, _discovery) = Agent::with(&[&backend]);
    let mut stopped: Vec<Client> = (0..100).map(|_| Client::to(&agent)).collect();
    stopped.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    backend.heard.wait(50);
    for _ in 0..20 {
        assert_eq!(ask(&agent, "read"), (short.clone(), true));
    }
    // The pending answers have 400 MB in all.
    let peak = peak_kb(&agent);
    assert!(peak < 40_000, "{peak} kB");
}

/// Long answers for which there is no memory wait for earlier ones, and their servers count as busy
/// meanwhile: each request is served completely or refused, and the memory limit is kept.
#[test]
fn long_answers_wait_for_free_memory() {
    let all = text(2 << 20);
    let answer = stated(&all);
    let backend = Backend::new(move |_| Act::Answer(answer.clone()));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let text = config(discovery.address, &line, SETTINGS, 1024);
    // Of 16 MB the program takes 6, and two fifths of the rest are for bodies: 72 KiB for each long one.
    let agent =
        Agent::start(&text.replace(r#""limits":{"sockets""#, r#""limits":{"memory_mb":16,"sockets""#));
    let mut clients: Vec<Client> = (0..90).map(|_| Client::to(&agent)).collect();
    clients.iter_mut().for_each(|client| client.write(&request("once", 9000)));
    backend.heard.wait(60);
    let read = |mut client: Client| {
        let answer = client.read().expect("a complete answer");
        assert!(answer.status() == 503 || answer.body == all.as_bytes(), "{}", answer.line);
        usize::from(answer.status() == 200)
    };
    let served: usize = std::thread::scope(|scope| {
        let readers: Vec<_> = clients.into_iter().map(|client| scope.spawn(|| read(client))).collect();
        readers.into_iter().map(|reader| reader.join().expect("a reader")).sum()
    });
    assert!(served >= 50, "{served}");
    let peak = peak_kb(&agent);
    assert!(peak < 16 * 1024, "{peak} kB");
}
