//! What holds for the bodies of requests and answers on both sides: their limits, and how one fails. Everything else here builds on it.

/// An answer up to here is read whole before it is passed on, so that another may take its place if it breaks.
pub const SHORT_MOST: usize = 64 * 1024;
/// The longest answer, and request, that is carried.
pub const BODY_MOST: u64 = 32 * 1024 * 1024;
/// What a long answer or request holds at most beside its client's connection: the buffers of hyper on both sides, and the
/// server's connection; by measurement 50 to 66 KiB.
pub const LONG_BYTES: usize = 72 * 1024;
/// Why there is no answer, or not all of it.
#[derive(Debug, thiserror::Error)]
pub enum Spoilt {
    /// The connection ended, or what came could not be read.
    #[error("the connection to the server has ended")]
    Connection,
    /// It is none that may be believed.
    #[error("the server's answer is not whole, or none at all")]
    Answer,
}
