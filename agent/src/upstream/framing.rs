//! How the head of an answer says where its body ends.

use super::body::BODY_MOST;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::StatusCode;

/// How long the body of an answer is by its head, `Some(None)` if its end will tell; `None` if the head says it twice, in
/// a way that nobody can read, or says more than any answer may hold: what is read behind such a head may be anything.
pub fn framing(status: StatusCode, headers: &HeaderMap) -> Option<Option<u64>> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            length.to_str().ok()?.parse().ok().filter(|length| *length <= BODY_MOST).map(Some)
        }
        (None, None, Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(None)
        }
        // It lasts to the end of the connection.
        (None, None, None, None) => Some(None),
        _ => None,
    }
}
