use super::*;

fn read(text: &str, step: usize) -> HeadScanner {
    let mut head = HeadScanner::default();
    text.as_bytes().chunks(step).for_each(|chunk| head.feed(chunk));
    head
}

#[test]
fn framings_and_the_end_are_found_in_any_chunking() {
    let text = "\r\nPOST /x: HTTP/1.1\r\nTRANSFER-encoding: chunked\r\nContent-Length:4\r\nX: content-length: 4\r\nContent-Length-Not: 1\r\n\r\nbody\r\nContent-Length: 9\r\n\r\n";
    let end = text.find("body").unwrap() as u64;
    for step in [1, 2, 7, text.len()] {
        let head = read(text, step);
        assert_eq!((head.len(), head.framing_counts()), (Some(end), (1, 1)), "{step}");
    }
    assert_eq!(read("GET / HTTP/1.1\nContent-Length: 1\n\n", 3).framing_counts(), (1, 0));
    assert_eq!(read("GET / HTTP/1.1\r\nContent-Length: 1\r\nX:", 3).len(), None);
    let twice = read("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 9);
    assert_eq!(twice.framing_counts(), (2, 0));
}

#[test]
fn the_end_of_a_chunked_request_is_found_in_any_chunking() {
    let head = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n");
    for step in 1..=whole.len() {
        assert_eq!(read(&whole[..whole.len() - 1], step).chunked_len(), None, "{step}");
        assert_eq!(read(&whole, step).chunked_len(), Some(whole.len() as u64), "{step}");
        let more = read(&format!("{whole}more"), step);
        assert_eq!(more.chunked_len(), Some(whole.len() as u64), "{step}");
        assert_eq!(more.bytes_received(), whole.len() as u64 + 4, "{step}");
    }
    assert_eq!(read("POST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", 9).chunked_len(), None);
}
