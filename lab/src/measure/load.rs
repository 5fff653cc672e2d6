//! A load client: calls at a fixed rate, in turn direct to the servers and through the agent, each with the time that it
//! took. Both ways use the same code and kept connections, so that what the client and the servers take cancels out.

use super::subject::CALLER;
use crate::clock::Clock;
use crate::standins::http::Reader;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

/// What each call allows; the class's own deadline in the configuration.
const BUDGET: Duration = Duration::from_millis(400);
/// No call is waited for longer.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// Calls that are out at once; more are counted as failed and not sent.
const OUT_MOST: usize = 1024;
/// How far a call may be from its even place, as a part of the gap between two: so that no timer of the agent keeps step.
const JITTER: f64 = 0.5;
/// Latencies from a microsecond to a minute, with three significant digits, in nanoseconds.
const LATENCY_RANGE_NS: (u64, u64) = (1_000, 60_000_000_000);
const SIGNIFICANT_DIGITS: u8 = 3;

/// Which way a call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From the client to a server.
    Direct,
    /// Through the agent.
    Agent,
}

/// What is sent.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where the agent listens.
    pub agent: SocketAddr,
    /// The servers that direct calls go to, in turn; none for calls through the agent only.
    pub servers: Vec<SocketAddr>,
    /// Calls a second on each way.
    pub rate: f64,
    /// For the places of calls between their even ones.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Latencies {
    /// Of direct calls, in nanoseconds.
    pub direct: Histogram<u64>,
    /// Of calls through the agent, in nanoseconds.
    pub agent: Histogram<u64>,
    /// Calls without the answer that they should have had.
    pub failed: u64,
    /// How late calls were sent, in nanoseconds: what a busy machine does to the client.
    pub late: Histogram<u64>,
}

impl Latencies {
    fn new() -> Result<Latencies, String> {
        let (least, most) = LATENCY_RANGE_NS;
        let empty = Histogram::new_with_bounds(least, most, SIGNIFICANT_DIGITS).map_err(|e| e.to_string())?;
        Ok(Latencies { direct: empty.clone(), agent: empty.clone(), failed: 0, late: empty })
    }

    fn note(&mut self, way: Way, took: Option<Duration>) {
        let histogram = match way {
            Way::Direct => &mut self.direct,
            Way::Agent => &mut self.agent,
        };
        match took {
            Some(took) => histogram.saturating_record(took.as_nanos() as u64),
            None => self.failed += 1,
        }
    }

    /// A quantile of direct calls, in microseconds.
    pub fn direct_us(&self, quantile: f64) -> f64 {
        self.direct.value_at_quantile(quantile) as f64 / 1e3
    }

    /// A quantile through the agent minus the same quantile of direct calls, in microseconds.
    pub fn added_us(&self, quantile: f64) -> f64 {
        self.agent.value_at_quantile(quantile) as f64 / 1e3 - self.direct_us(quantile)
    }
}

/// The order of calls: when each is due after the beginning, and its way.
pub struct Timetable {
    ways: Vec<Way>,
    gap: f64,
    random: fastrand::Rng,
    next: u64,
}

impl Timetable {
    /// Calls of a load from the beginning on.
    pub fn new(load: &Load) -> Timetable {
        let ways = if load.servers.is_empty() { vec![Way::Agent] } else { vec![Way::Direct, Way::Agent] };
        let gap = 1.0 / (load.rate * ways.len() as f64);
        Timetable { ways, gap, random: fastrand::Rng::with_seed(load.seed), next: 0 }
    }
}

impl Iterator for Timetable {
    type Item = (Duration, Way);

    fn next(&mut self) -> Option<(Duration, Way)> {
        let way = self.ways[(self.next % self.ways.len() as u64) as usize];
        let place = self.next as f64 + JITTER * self.random.f64();
        self.next += 1;
        Some((Duration::from_secs_f64(place * self.gap), way))
    }
}

struct Connection {
    reader: Reader<OwnedReadHalf>,
    output: OwnedWriteHalf,
}

/// The client: its kept connections.
pub struct Client {
    load: Load,
    clock: Clock,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// A client with no connection yet.
    pub fn new(load: Load) -> Arc<Client> {
        Arc::new(Client { load, clock: Clock::start(), idle: Mutex::default() })
    }

    /// Sends for so long, and waits for the last answer.
    pub async fn run(self: &Arc<Self>, length: Duration) -> Result<Latencies, String> {
        let (mut latencies, mut calls) = (Latencies::new()?, JoinSet::new());
        let began = tokio::time::Instant::now();
        for (number, (due, way)) in
            Timetable::new(&self.load).take_while(|(due, _)| *due < length).enumerate()
        {
            sleep_until(began + due).await;
            latencies.late.saturating_record((began.elapsed().saturating_sub(due)).as_nanos() as u64);
            while let Some(ended) = calls.try_join_next() {
                let (way, took) = ended.map_err(|e| e.to_string())?;
                latencies.note(way, took);
            }
            if calls.len() < OUT_MOST {
                calls.spawn(Arc::clone(self).timed(way, number));
            } else {
                latencies.note(way, None);
            }
        }
        while let Some(ended) = calls.join_next().await {
            let (way, took) = ended.map_err(|e| e.to_string())?;
            latencies.note(way, took);
        }
        Ok(latencies)
    }

    async fn timed(self: Arc<Self>, way: Way, number: usize) -> (Way, Option<Duration>) {
        let to = match way {
            Way::Agent => self.load.agent,
            Way::Direct => self.load.servers[number / 2 % self.load.servers.len()],
        };
        let took = timeout(CALL_WAIT, self.call(to, number)).await.ok().flatten();
        (way, took)
    }

    /// One call; the time for a connection, if it needs a new one, is the client's and does not count.
    async fn call(&self, to: SocketAddr, number: usize) -> Option<Duration> {
        let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(&to).and_then(Vec::pop);
        let mut connection = match kept {
            Some(kept) => kept,
            None => self.connect(to).await?,
        };
        let request = format!(
            "GET /read-schedule HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: call-{}-{number}\r\nX-Call-Class: read-schedule\r\nX-Caller: {CALLER}\r\nX-Budget-Ms: {}\r\n\r\n",
            self.load.seed,
            BUDGET.as_millis()
        );
        let sent = Instant::now();
        connection.output.write_all(request.as_bytes()).await.ok()?;
        let answer = connection.reader.next(|_, _| true).await.ok()?;
        let took = sent.elapsed();
        if answer.message.status() != 200 {
            return None;
        }
        let closes =
            answer.message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(to).or_default().push(connection);
        }
        Some(took)
    }

    async fn connect(&self, to: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (input, output) = stream.into_split();
        Some(Connection { reader: Reader::new(input, self.clock), output })
    }
}

#[cfg(test)]
mod tests;
