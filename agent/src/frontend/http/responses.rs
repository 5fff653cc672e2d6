//! The HTTP responses to clients.

use super::answer_body::AnswerBody;
use crate::requests::Answer;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use ryelead::Span;
use tokio::sync::oneshot::error::RecvError;

/// Retry-After if there was no memory for a body: by then other requests are finished.
const BODY_RETRY_AFTER: Span = Span(100_000);

/// The HTTP response for an answer of the driver; `None` if there was none in time.
pub fn to_response(answer: Option<Result<Answer, RecvError>>) -> Response<AnswerBody> {
    match answer {
        Some(Ok(Answer::Served(served))) => {
            let mut answer = Response::new(AnswerBody::from(served.body));
            if let Some(kind) = served.content_type {
                answer.headers_mut().insert(CONTENT_TYPE, kind);
            }
            answer
        }
        Some(Ok(Answer::Refused(retry_after))) => refused_response(retry_after),
        Some(Ok(Answer::Failed) | Err(_)) => text_response(StatusCode::BAD_GATEWAY, "failed"),
        // One answer in time is guaranteed even if the decision module gives none.
        None => text_response(StatusCode::GATEWAY_TIMEOUT, "out of time"),
    }
}

/// A response with a short text of the agent itself.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::text(text));
    *answer.status_mut() = status;
    answer
}

/// The response to a refused request, with Retry-After.
fn refused_response(retry_after: Option<Span>) -> Response<AnswerBody> {
    let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Some(Ok(value)) = retry_after.map(|s| HeaderValue::try_from(format!("{:.3}", s.ms() / 1e3))) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The response to an invalid request. The connection closes, since nothing else on it is read.
pub fn rejection_response(status: StatusCode, why: &'static str) -> Response<AnswerBody> {
    let mut answer = match status {
        StatusCode::SERVICE_UNAVAILABLE => refused_response(Some(BODY_RETRY_AFTER)),
        status => text_response(status, why),
    };
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
