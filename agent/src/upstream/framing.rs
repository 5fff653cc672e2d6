//! Determines from the head of an answer where its body ends.

use super::body::BODY_MAX;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::StatusCode;

/// The length of the body as the head states it, or `Some(None)` if the body ends by itself. `None` if the
/// head states the length twice, in an unreadable way or above the maximum: what follows such a head can't be
/// trusted.
pub fn framing(status: StatusCode, headers: &HeaderMap) -> Option<Option<u64>> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            length.to_str().ok()?.parse().ok().filter(|length| *length <= BODY_MAX).map(Some)
        }
        (None, None, Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(None)
        }
        // The body ends with the connection.
        (None, None, None, None) => Some(None),
        _ => None,
    }
}
