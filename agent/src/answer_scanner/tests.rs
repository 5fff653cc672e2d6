use super::*;

/// Feeds an answer in pieces of each size, and returns the number of bytes behind its end and their kind.
fn scan(text: &str) -> (u64, SurplusKind) {
    let mut results: Vec<_> = (1..=text.len())
        .map(|size| {
            let mut scanner = AnswerScanner::default();
            scanner.expect_answer();
            let used: usize = text.as_bytes().chunks(size).map(|piece| scanner.feed(piece)).sum();
            assert_eq!(used as u64 + scanner.surplus().bytes(), text.len() as u64);
            (scanner.surplus().bytes(), scanner.surplus_kind(b""))
        })
        .collect();
    results.dedup();
    assert_eq!(results.len(), 1, "pieces of different sizes give different results: {text}");
    results[0]
}

#[test]
fn the_end_is_found_in_every_framing() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\ncontent-length:5\n\nfirst",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=b\r\nfirst\r\nA \r\n0123456789\r\n0\r\nX: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
    ] {
        assert_eq!(scan(answer), (0, SurplusKind::None), "{answer}");
        assert_eq!(scan(&format!("{answer}x")), (1, SurplusKind::Other), "{answer}");
        assert_eq!(scan(&format!("{answer}HTTP")), (4, SurplusKind::Partial), "{answer}");
        let last = answer.rfind("HTTP").unwrap();
        let copy = &answer[last..];
        assert_eq!(scan(&format!("{answer}{copy}")), (copy.len() as u64, SurplusKind::Copy), "{answer}");
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_has_nothing_behind_it() {
    for head in [
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 101 X",
        "noise",
    ] {
        assert_eq!(scan(&format!("{head}\r\n\r\nfirst")), (0, SurplusKind::None), "{head}");
    }
}

#[test]
fn bytes_outside_an_answer_are_not_examined() {
    let mut scanner = AnswerScanner::default();
    assert_eq!(scanner.feed(b"HTTP/1.1 200 OK"), 15);
    assert_eq!((scanner.surplus_kind(b""), scanner.has_ended()), (SurplusKind::None, false));
}
