//! Whether a request may be taken in, and by when it must then have its answer.

use tokio::time::Instant;

/// A request may be taken in.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission {
    deadline: Instant,
}

/// Why it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDenied {
    /// The process could not answer it before its end; it is refused without being forwarded.
    ProcessEnds,
}

impl AdmissionDenied {
    /// The word for it in events.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionDenied::ProcessEnds => "process-ends",
        }
    }
}

impl Admission {
    /// By when the request must have its answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

/// For a request whose client waits until `client_deadline`; `answers_by` is the end of a process that was told to stop.
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
