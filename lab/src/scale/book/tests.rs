use super::*;

fn at() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn summary(number: usize, digest: u64) -> Summary {
    Summary { number, life: 5, digest, sure: true, present: 2 }
}

fn view(digest: u64, other: Belief) -> Seen {
    Seen { life: 5, digest, sure: true, lines: vec![(0, 5, Belief::Alive), (1, 5, other)] }
}

/// Two agents that run and have been read whole.
fn settled() -> Book {
    let mut book = Book::new(2);
    for member in 0..2 {
        book.started(member, at());
        let generation = book.generations()[member];
        book.summed(&summary(member, 7), generation);
        let wanted = book.wanted(member).unwrap();
        book.read(&wanted, view(7, Belief::Alive));
    }
    book
}

#[test]
fn whole_views_are_wanted_where_the_digest_is_another_or_somebody_was_suspected() {
    let mut book = settled();
    assert!(book.is_settled());
    let now = Instant::now();
    assert_eq!(book.outdated(&[0, 1], now), []);
    let generation = book.generations()[0];
    book.summed(&summary(0, 8), generation);
    assert!(!book.is_settled());
    let wanted = book.outdated(&[0, 1], now);
    assert_eq!(wanted.iter().map(|w| w.member).collect::<Vec<_>>(), [0]);
    book.read(&wanted[0], view(8, Belief::Suspect));
    assert_eq!(book.outdated(&[0], now), [], "it was read a moment ago");
    assert_eq!(book.outdated(&[0], Instant::now()).len(), 1, "the suspicion will be over some time");
}

#[test]
fn what_an_ended_life_has_said_is_not_taken_for_the_next_one() {
    let mut book = settled();
    let (old, generation) = (book.wanted(1).unwrap(), book.generations()[1]);
    book.ending(1);
    book.write(Entry::Ended(1));
    let written = book.evidence.entries.len();
    book.summed(&summary(1, 9), generation);
    book.read(&old, view(9, Belief::Gone));
    book.started(1, at());
    book.summed(&summary(1, 9), generation);
    book.read(&old, view(9, Belief::Gone));
    assert_eq!(book.evidence.entries.len(), written + 1, "its start and nothing else");
    assert!(!book.is_settled() && book.running() == 2);
}
