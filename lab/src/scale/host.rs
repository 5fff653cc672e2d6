//! A process that hosts hollow agents, as the lab starts it and speaks to it.

use crate::scale::protocol::{Answer, Configured, Order, Summary, LINE_MOST};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::Mutex;
use tokio::time::timeout;

/// How long an answer may take.
const ANSWER_WAIT: Duration = Duration::from_secs(30);

/// Why a host is of no use any more.
#[derive(Debug, thiserror::Error)]
pub enum HostFault {
    /// It can't be started.
    #[error("cannot start {program}: {reason}")]
    Start {
        /// Its program.
        program: String,
        /// Why.
        reason: std::io::Error,
    },
    /// It can't be spoken to.
    #[error("a host of hollow agents has ended: {0}")]
    Ended(std::io::Error),
    /// It has said something else than it was asked.
    #[error("a host of hollow agents answered {0}")]
    Odd(String),
    /// It has not answered.
    #[error("a host of hollow agents did not answer within {ANSWER_WAIT:?}")]
    Silent,
    /// It does not do what it was told.
    #[error("a host of hollow agents: {0}")]
    Refused(String),
}

/// Its standard streams; an answer belongs to the order before it.
struct Streams {
    orders: ChildStdin,
    answers: BufReader<ChildStdout>,
}

/// A host of hollow agents; it ends when this is dropped.
pub struct Host {
    child: Child,
    streams: Mutex<Streams>,
}

impl Host {
    /// Starts the program, with its log in a file.
    pub fn start(program: &Path, log: &Path) -> Result<Host, HostFault> {
        let fault = |reason| HostFault::Start { program: program.display().to_string(), reason };
        let log = std::fs::File::create(log).map_err(fault)?;
        let mut child = Command::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .map_err(fault)?;
        let streams = child.stdin.take().zip(child.stdout.take());
        let (orders, answers) = streams.ok_or_else(|| fault(std::io::ErrorKind::BrokenPipe.into()))?;
        Ok(Host { child, streams: Mutex::new(Streams { orders, answers: BufReader::new(answers) }) })
    }

    /// Its process number, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Starts an agent with the text of a file of switches; where other agents reach it, and where operators call.
    pub async fn start_agent(
        &self,
        number: usize,
        config: serde_json::Value,
        switches: &str,
    ) -> Result<(SocketAddr, SocketAddr), HostFault> {
        match self.ask(&Order::Start { number, config, switches: switches.to_string() }).await? {
            Answer::Started { number: started, peers_at, admin } if started == number => {
                Ok((peers_at, admin))
            }
            other => Err(odd(other)),
        }
    }

    /// Ends an agent at once.
    pub async fn kill_agent(&self, number: usize) -> Result<(), HostFault> {
        match self.ask(&Order::Kill { number }).await? {
            Answer::Killed { number: killed } if killed == number => Ok(()),
            other => Err(odd(other)),
        }
    }

    /// What each agent knows, in short, and how late a timer was at worst since this was last asked, in milliseconds.
    pub async fn report(&self) -> Result<(Vec<Summary>, f64), HostFault> {
        match self.ask(&Order::Report).await? {
            Answer::Report { agents, late_ms } => Ok((agents, late_ms)),
            other => Err(odd(other)),
        }
    }

    /// Which configuration the agents have in force that have any.
    pub async fn configurations(&self) -> Result<Vec<Configured>, HostFault> {
        match self.ask(&Order::ReportConfigurations).await? {
            Answer::Configurations { agents } => Ok(agents),
            other => Err(odd(other)),
        }
    }

    async fn ask(&self, order: &Order) -> Result<Answer, HostFault> {
        let mut streams = self.streams.lock().await;
        timeout(ANSWER_WAIT, streams.ask(order)).await.map_err(|_| HostFault::Silent)?
    }
}

impl Streams {
    async fn ask(&mut self, order: &Order) -> Result<Answer, HostFault> {
        let mut line = serde_json::to_vec(order).map_err(|e| HostFault::Odd(e.to_string()))?;
        line.push(b'\n');
        self.orders.write_all(&line).await.map_err(HostFault::Ended)?;
        let mut answer = Vec::new();
        let limited = &mut (&mut self.answers).take(LINE_MOST as u64);
        let read = limited.read_until(b'\n', &mut answer).await.map_err(HostFault::Ended)?;
        if read == 0 {
            return Err(HostFault::Ended(std::io::ErrorKind::UnexpectedEof.into()));
        }
        serde_json::from_slice(&answer).map_err(|e| HostFault::Odd(e.to_string()))
    }
}

fn odd(answer: Answer) -> HostFault {
    match answer {
        Answer::Refused { reason } => HostFault::Refused(reason),
        other => HostFault::Odd(format!("{other:?}")),
    }
}
