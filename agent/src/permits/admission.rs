//! Decides whether a request may be admitted, and by when it must then be answered.

use tokio::time::Instant;

/// Permission to admit a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission {
    deadline: Instant,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDenied {
    /// The process would end before it could answer; the request is refused without being forwarded.
    ProcessEnds,
}

impl AdmissionDenied {
    /// The name of this reason in events.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionDenied::ProcessEnds => "process-ends",
        }
    }
}

impl Admission {
    /// The instant by which the request must be answered.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

/// Decides whether to admit a request whose client waits until `client_deadline`. `answers_by` is the instant
/// by which a process that is shutting down must have answered everything; `None` while it is not shutting
/// down.
pub fn admit(
    now: Instant,
    client_deadline: Instant,
    answers_by: Option<Instant>,
) -> Result<Admission, AdmissionDenied> {
    match answers_by {
        Some(by) if now >= by => Err(AdmissionDenied::ProcessEnds),
        Some(by) => Ok(Admission { deadline: client_deadline.min(by) }),
        None => Ok(Admission { deadline: client_deadline }),
    }
}
