//! The booking server's own deeds: each fault does what it is named for, and the truth log tells it.

use dilljunction_lab::clock::Clock;
use dilljunction_lab::judge::evidence::{Attempt, Book, Effect, Group};
use dilljunction_lab::standins::booking::{Booking, Figures, Point, Repeats, Reports, Setup, Work};
use dilljunction_lab::standins::http::{Message, Reader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

struct World {
    booking: Booking,
    book: Book,
    clock: Clock,
}

fn figures() -> Figures {
    Figures { handshake_ms: 0.0, ..Figures::default() }
}

async fn server(index: usize, figures: Figures, repeats: (Repeats, Repeats), book: &Book) -> World {
    let window = Duration::from_millis(300);
    let class = |name: &str, effect| Work { name: name.into(), effect, work_ms: (2.0, 2.0) };
    let classes = vec![
        class("read", Effect::Safe),
        class("zoned", Effect::Keyed(Group::Zone, window)),
        class("all", Effect::Keyed(Group::All, window)),
    ];
    let (clock, listen) = (Clock::start(), SocketAddr::from(([127, 0, 0, 1], 0)));
    let name = format!("s{index}");
    let setup = Setup { index, name, figures, classes, repeats, seed: 3, cold: false, listen };
    let booking = Booking::start(setup, clock, book.clone(), None).await.unwrap();
    World { booking, book: book.clone(), clock }
}

async fn one() -> World {
    server(0, figures(), Default::default(), &Book::default()).await
}

fn text(class: &str, call: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
    format!("POST /{class} HTTP/1.1\r\nX-Call-Id: {call}\r\n{key}Content-Length: 4\r\n\r\nbody")
}

impl World {
    async fn connect(&self) -> Reader<TcpStream> {
        Reader::new(TcpStream::connect(self.booking.address()).await.unwrap(), self.clock)
    }

    /// The answer to a request on a connection of its own; `None` if that breaks.
    async fn ask(&self, class: &str, call: &str, key: Option<&str>) -> Option<Message> {
        let mut stream = TcpStream::connect(self.booking.address()).await.ok()?;
        stream.write_all(text(class, call, key).as_bytes()).await.ok()?;
        let answer = Reader::new(stream, self.clock);
        let mut answer = answer;
        timeout(Duration::from_secs(20), answer.next(|_, _| true))
            .await
            .expect("an end")
            .ok()
            .map(|i| i.message)
    }

    fn attempts(&self) -> Vec<Attempt> {
        self.book.open().attempts.clone()
    }

    /// Waits until the log says so.
    async fn until(&self, said: impl Fn(&Book) -> bool) {
        for _ in 0..4000 {
            if said(&self.book) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        panic!("the log never says so: {:?}", self.book.open());
    }
}

#[tokio::test]
async fn an_answer_names_its_attempt_and_carries_the_load() {
    let world = one().await;
    let answer = world.ask("read", "a", None).await.unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"call a attempt 0 server s0\n"[..]));
    let report = answer.header("x-load-report").unwrap().to_string();
    assert!(report.starts_with("qps=") && report.contains(",queue=0"), "{report}");
    let attempt = &world.attempts()[0];
    assert!(attempt.effect.is_some() && attempt.answered >= attempt.effect && attempt.came >= attempt.first);
    world.booking.spoil_reports(Reports::Absurd);
    assert!(world.ask("read", "b", None).await.unwrap().header("x-load-report").unwrap().contains("NaN"));
    world.booking.spoil_reports(Reports::Missing);
    assert_eq!(world.ask("read", "c", None).await.unwrap().header("x-load-report"), None);
    assert_eq!(world.ask("nothing", "d", None).await.unwrap().status(), 404);
}

/// At each point: what the client sees, what came whole, and whether it took effect.
#[tokio::test]
async fn a_request_breaks_where_it_is_told_to() {
    for (point, came, effect) in [
        (Point::BeforeHead, false, false),
        (Point::AfterHead, false, false),
        (Point::BeforeEffect, true, false),
        (Point::AfterEffect, true, true),
        (Point::HalfAnswer, true, true),
    ] {
        for whole_server in [false, true] {
            let world = one().await;
            if whole_server {
                world.booking.crash_at(point);
            } else {
                world.booking.break_requests(Some((point, 1.0)));
            }
            assert_eq!(world.ask("read", "a", None).await, None, "{point:?}");
            let seen = |book: &Book| {
                let book = book.open();
                book.attempts.len() + book.fragments.len() == 1
            };
            world.until(seen).await;
            let attempts = world.attempts();
            assert_eq!(!attempts.is_empty(), came, "{point:?}");
            assert_eq!(attempts.iter().any(|a| a.effect.is_some()), effect, "{point:?}");
            assert!(attempts.iter().all(|a| a.answered.is_none()), "{point:?}");
            assert_eq!(world.booking.look().up, !whole_server, "{point:?}");
        }
    }
}

#[tokio::test]
async fn repeats_are_dropped_in_their_group_and_window_only() {
    let (book, all) = (Book::default(), Repeats::default());
    let building = Repeats::default();
    let same = [
        server(0, figures(), (building.clone(), all.clone()), &book).await,
        server(1, figures(), (building, all.clone()), &book).await,
        server(2, figures(), (Repeats::default(), all), &book).await,
    ];
    for class in ["zoned", "all"] {
        for (n, world) in same.iter().enumerate() {
            assert_eq!(world.ask(class, &format!("{class}{n}"), Some("k")).await.unwrap().status(), 200);
        }
    }
    let dropped: Vec<bool> = same[0].attempts().iter().map(|a| a.dropped).collect();
    assert_eq!(dropped, [false, true, false, false, true, true]);
    sleep(Duration::from_millis(320)).await;
    same[0].ask("all", "later", Some("k")).await.unwrap();
    assert!(!same[0].attempts()[6].dropped, "its window is over");
}

#[tokio::test]
async fn what_drains_or_is_full_turns_away_as_never_run() {
    let figures = Figures { cores: 0.001, slots: 1, room: 1, ..figures() };
    let world = server(0, figures, Default::default(), &Book::default()).await;
    let mut waiting = Vec::new();
    for call in ["a", "b"] {
        let mut line = TcpStream::connect(world.booking.address()).await.unwrap();
        line.write_all(text("read", call, None).as_bytes()).await.unwrap();
        waiting.push(line);
    }
    world.until(|book| book.open().attempts.len() == 2).await;
    let answer = world.ask("read", "c", None).await.unwrap();
    assert_eq!((answer.status(), answer.header("x-rejected")), (503, Some("1")));
    let full = world.attempts().into_iter().find(|a| a.call == "c").unwrap();
    assert!(full.rejected.is_some() && full.began.is_none() && full.effect.is_none());
    let sound = one().await;
    sound.booking.drain(true);
    assert_eq!(sound.ask("read", "d", None).await.unwrap().status(), 503);
    sound.booking.drain(false);
    assert_eq!(sound.ask("read", "e", None).await.unwrap().status(), 200);
}

/// Closing gently tells the peer; silently, it learns by a reset when it writes, and nothing has run.
#[tokio::test]
async fn idle_connections_close_in_their_time_with_and_without_a_word() {
    let world = one().await;
    world.booking.close_idle_after(Duration::from_millis(30), false);
    let mut told = world.connect().await;
    assert!(told.next(|_, _| true).await.is_err(), "the server says that it closes");
    world.booking.close_idle_after(Duration::from_millis(30), true);
    let stream = TcpStream::connect(world.booking.address()).await.unwrap();
    let nothing = timeout(Duration::from_millis(120), stream.peek(&mut [0; 1])).await;
    assert!(nothing.is_err(), "not a word");
    let (input, mut output) = stream.into_split();
    output.write_all(text("read", "late", None).as_bytes()).await.unwrap();
    let end = Reader::new(input, world.clock).next(|_, _| true).await;
    assert!(end.is_err(), "{end:?}");
    assert!(world.attempts().is_empty());
}

#[tokio::test]
async fn a_crash_resets_and_a_restart_begins_a_cold_life_at_the_same_address() {
    let world = one().await;
    let address = world.booking.address();
    let mut line = world.connect().await;
    world.booking.crash();
    assert!(line.next(|_, _| true).await.is_err());
    world.until(|_| !world.booking.look().up).await;
    world.booking.restart(true).await.unwrap();
    assert_eq!(world.booking.address(), address);
    assert!(world.booking.look().warmth < 1.0);
    assert_eq!(world.ask("read", "a", None).await.unwrap().status(), 200);
    let lives: Vec<_> = world.book.open().lives.iter().map(|l| (l.life, l.cold)).collect();
    assert_eq!((lives, world.attempts()[0].life), (vec![(0, false), (1, true)], 1));
}

#[tokio::test]
async fn a_hang_takes_requests_and_lets_them_go_later() {
    let world = one().await;
    world.booking.hang(true);
    let ask = world.ask("read", "a", None);
    tokio::pin!(ask);
    assert!(timeout(Duration::from_millis(100), &mut ask).await.is_err());
    assert_eq!(world.attempts().len(), 1);
    world.booking.hang(false);
    assert_eq!(ask.await.unwrap().status(), 200);
}

/// Past its cap a connection is turned away, and thousands below it are held.
#[tokio::test]
async fn connections_are_capped_and_thousands_are_held() {
    let figures = Figures { connections: 2000, ..figures() };
    let world = server(0, figures, Default::default(), &Book::default()).await;
    let mut held = Vec::new();
    for _ in 0..2000 {
        held.push(TcpStream::connect(world.booking.address()).await.unwrap());
    }
    world.until(|_| world.booking.look().connections == 2000).await;
    assert_eq!(world.ask("read", "over", None).await.unwrap().status(), 503);
    drop(held);
    world.until(|_| world.booking.look().connections < 2000).await;
    assert_eq!(world.ask("read", "again", None).await.unwrap().status(), 200);
}

#[tokio::test]
async fn probes_tell_of_draining_and_load() {
    let world = one().await;
    let probe = |path: &'static str| {
        let (address, clock) = (world.booking.address(), world.clock);
        async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await.unwrap();
            Reader::new(stream, clock).next(|_, _| true).await.unwrap().message
        }
    };
    let stats = probe("/stats").await;
    assert_eq!(stats.status(), 200);
    assert!(String::from_utf8(stats.body).unwrap().contains("queue="));
    world.booking.drain(true);
    assert_eq!(probe("/health/live").await.status(), 503);
}
