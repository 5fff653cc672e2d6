//! Hosts the balancers: passes each event to its instance, and translates the simulator's names to ids and
//! back.

use crate::wire::{self, Batch, Incoming, Outgoing, Reply, ReplyPart};
use ryelead::*;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// A server of a catalogue. All instances that refer to the server share its name.
#[derive(Debug, Clone)]
struct CatalogueEntry {
    name: Rc<str>,
    /// The entry without its server id, which each instance assigns for itself.
    listed: ServerEntry,
}

/// The state of a request, kept so that its name can be dropped when nothing refers to it any more.
#[derive(Debug)]
struct Ticket {
    id: RequestId,
    /// The number of attempts in flight.
    in_flight: u32,
    /// Whether the request has its final answer.
    ended: bool,
}

/// An instance of the balancer, from ATTACH to RETIRE.
struct Instance {
    balancer: Balancer,
    servers: HashMap<Rc<str>, ServerId>,
    server_names: Vec<Rc<str>>,
    tickets: HashMap<Rc<str>, Ticket>,
    ticket_names: HashMap<RequestId, Rc<str>>,
    next_request: u64,
}

/// All instances of this process, and the catalogues, which are all that they share.
#[derive(Default)]
pub struct Host {
    catalogues: BTreeMap<u32, Vec<CatalogueEntry>>,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

impl Host {
    /// Processes a batch. An error is a message that says what is wrong with the batch.
    pub fn process(&mut self, batch: Batch<'_>) -> Result<Reply, String> {
        if !batch.clock_ms.is_finite() || batch.clock_ms < 0.0 {
            return Err(format!("tMs is {}; a time of zero or more was expected", batch.clock_ms));
        }
        let now = Time::from_ms(batch.clock_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let who = part.who;
            let mut outbox = Vec::new();
            for incoming in part.inbox {
                self.process_event(now, who, incoming, &mut outbox)
                    .map_err(|error| format!("instance {who}: {error}"))?;
            }
            if !outbox.is_empty() {
                reply.parts.push(ReplyPart { who, outbox });
            }
        }
        Ok(reply)
    }

    /// Processes one event of one instance.
    fn process_event(
        &mut self,
        now: Time,
        who: u32,
        incoming: Incoming<'_>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        match incoming {
            Incoming::Catalog { r#ref, members_list } => {
                let list = members_list.into_iter().map(catalogue_entry).collect::<Result<_, _>>()?;
                self.catalogues.insert(r#ref, list);
                return Ok(());
            }
            Incoming::Attach { salt, params } => {
                let balancer = Balancer::new(params.settings(), salt).map_err(|e| e.to_string())?;
                self.instances.insert(who, Instance::new(balancer));
                return self.drive(now, who, None, outbox);
            }
            Incoming::Retire {} => {
                // The ended instance must not act any more; its actions from earlier in this batch are
                // dropped too.
                self.instances.remove(&who);
                outbox.clear();
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&who).ok_or("an event came before ATTACH")?;
        let event = match incoming {
            Incoming::Registry { form, r#ref, .. } => Some(Event::List(match form {
                wire::Form::Error => ListUpdate::Failed,
                form => {
                    let number = r#ref.ok_or("REGISTRY names no catalogue")?;
                    let list = self.catalogues.get(&number).ok_or_else(|| {
                        format!("REGISTRY names catalogue {number}, which no CATALOG has set up")
                    })?;
                    let lines = instance.intern_list(list);
                    match form {
                        wire::Form::Partial => ListUpdate::Changes(lines),
                        wire::Form::Complete => ListUpdate::Complete(lines),
                        _ => ListUpdate::Saved(lines),
                    }
                }
            })),
            other => instance.translate(other)?,
        };
        match event {
            Some(event) => self.drive(now, who, Some(event), outbox),
            None => Ok(()),
        }
    }

    /// Passes one event, or the start, to the balancer and encodes its actions. A panic is reported as a
    /// `BUG`.
    fn drive(
        &mut self,
        now: Time,
        who: u32,
        event: Option<Event>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
        let actions = &mut self.actions;
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| match event {
            Some(event) => instance.balancer.handle(now, event, actions),
            None => instance.balancer.start(now, actions),
        }));
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
            outbox.push(Outgoing::Bug { what: text.unwrap_or_else(|| "panic without a text".into()) });
            return Ok(());
        }
        for action in self.actions.drain(..) {
            outbox.push(instance.encode(action));
        }
        instance.forget_ended();
        Ok(())
    }
}

impl Instance {
    fn new(balancer: Balancer) -> Self {
        Instance {
            balancer,
            servers: HashMap::new(),
            server_names: Vec::new(),
            tickets: HashMap::new(),
            ticket_names: HashMap::new(),
            next_request: 0,
        }
    }

    /// Assigns server ids in the order in which this instance learns of the servers, so that its decisions do
    /// not depend on what other instances the process hosts.
    fn intern_list(&mut self, list: &[CatalogueEntry]) -> Vec<ServerEntry> {
        list.iter()
            .map(|entry| {
                let next = ServerId(self.server_names.len() as u32);
                let server = *self.servers.entry(entry.name.clone()).or_insert(next);
                if server == next {
                    self.server_names.push(entry.name.clone());
                }
                ServerEntry { server, ..entry.listed.clone() }
            })
            .collect()
    }

    /// Translates an event for the balancer; `None` for an event of a request that is no longer known.
    fn translate(&mut self, incoming: Incoming<'_>) -> Result<Option<Event>, String> {
        Ok(match incoming {
            Incoming::Request { ticket, party, cls, affinity, estimate_ms, opts, expires_in_ms } => {
                let id = RequestId(self.next_request);
                self.next_request += 1;
                let name: Rc<str> = Rc::from(&*ticket);
                let entry = Ticket { id, in_flight: 0, ended: false };
                if self.tickets.insert(name.clone(), entry).is_some() {
                    return Err(format!("REQUEST {ticket} came twice"));
                }
                self.ticket_names.insert(id, name);
                let opts = opts.unwrap_or(0);
                let hint = estimate_ms.filter(|ms| opts & 1 != 0 && ms.is_finite() && *ms > 0.0);
                Some(Event::Request(Request {
                    id,
                    class: ClassId(cls),
                    tenant: party.map(TenantId),
                    key: affinity.map(|key| KeyId(fnv1a(&key))),
                    cost_hint: hint.map(Span::from_ms),
                    client_retry: opts & 2 != 0,
                    time_left: Span::from_ms(expires_in_ms),
                    body_incomplete: false,
                }))
            }
            Incoming::FirstByte { ticket, attempt } => self
                .tickets
                .get(&*ticket)
                .map(|t| Event::FirstByte { request: t.id, attempt: AttemptNo(attempt) }),
            Incoming::Done { ticket, finished, time_taken_ms, ending, attempt, gauge } => {
                self.tickets.get_mut(&*ticket).map(|t| {
                    t.in_flight = t.in_flight.saturating_sub(1);
                    t.ended |= finished;
                    Event::Outcome {
                        request: t.id,
                        attempt: AttemptNo(attempt),
                        outcome: outcome(ending),
                        elapsed: Span::from_ms(time_taken_ms),
                        report: gauge,
                        closed: finished,
                    }
                })
            }
            Incoming::Aborted { ticket } => self.tickets.get_mut(&*ticket).map(|t| {
                t.ended = true;
                Event::ClientGone { request: t.id }
            }),
            Incoming::Elapsed { key_back } => Some(Event::Timer(TimerId(key_back))),
            Incoming::Probed { backend, ending, time_taken_ms, gauge } => {
                let server = *self
                    .servers
                    .get(&*backend)
                    .ok_or_else(|| format!("PROBED names backend {backend}, which no list has named"))?;
                let elapsed = Span::from_ms(time_taken_ms);
                Some(Event::ProbeResult { server, outcome: outcome(ending), elapsed, report: gauge })
            }
            Incoming::Mail { src_peer, raw } => {
                Some(Event::PeerMessage { from: PeerId(src_peer), payload: unhex(&raw)? })
            }
            Incoming::Attach { .. }
            | Incoming::Retire {}
            | Incoming::Catalog { .. }
            | Incoming::Registry { .. } => None,
        })
    }

    /// The name and the state of a request that is still known.
    fn ticket(&mut self, id: RequestId) -> Option<(String, &mut Ticket)> {
        let name = self.ticket_names.get(&id)?;
        Some((name.to_string(), self.tickets.get_mut(name)?))
    }

    /// Translates an action for the simulator.
    fn encode(&mut self, action: Action) -> Outgoing {
        let backend_name = |server: ServerId, names: &[Rc<str>]| names[server.0 as usize].to_string();
        let unknown_request = || Outgoing::Bug { what: "an action for a request that is not open".into() };
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let backend = backend_name(server, &self.server_names);
                let Some((ticket, entry)) = self.ticket(request) else { return unknown_request() };
                entry.in_flight += 1;
                Outgoing::Route { ticket, backend, until_ms: timeout_at.ms() }
            }
            Action::Cancel { request, attempt } => {
                let Some((ticket, _)) = self.ticket(request) else { return unknown_request() };
                Outgoing::Abandon { ticket, attempt: attempt.0 }
            }
            // Answers of the simulator arrive whole.
            Action::Forward { .. } => Outgoing::Bug { what: "an answer is to be forwarded early".into() },
            Action::Refuse { request, retry_after, .. } => {
                let Some((ticket, entry)) = self.ticket(request) else { return unknown_request() };
                entry.ended = true;
                Outgoing::OverloadReply { ticket, not_before_for_ms: retry_after.map(Span::ms) }
            }
            Action::Fail { request, .. } => {
                let Some((ticket, entry)) = self.ticket(request) else { return unknown_request() };
                entry.ended = true;
                Outgoing::Abort { ticket }
            }
            Action::SetTimer { at, timer } => Outgoing::Timer { at_ms: at.ms(), key_back: timer.0 },
            Action::Probe { server } => {
                Outgoing::HealthCheck { backend: backend_name(server, &self.server_names) }
            }
            Action::CloseIdle { server } => {
                Outgoing::CloseIdle { backend: backend_name(server, &self.server_names) }
            }
            Action::SendPeerMessage { to, payload } => {
                Outgoing::Announce { to: to.map_or(-1, |peer| i64::from(peer.0)), raw: hex(&payload) }
            }
            Action::SubscribeList { active } => Outgoing::Follow { active },
            Action::FetchList => Outgoing::Pull {},
            Action::Log { text } => Outgoing::NoteDown { what: text },
        }
    }

    /// Drops the names of requests that have their final answer and no attempt in flight.
    fn forget_ended(&mut self) {
        if self.tickets.len() < 2 * SWEEP_THRESHOLD {
            return;
        }
        let names = &mut self.ticket_names;
        self.tickets.retain(|_, t| {
            let keep = !t.ended || t.in_flight > 0;
            if !keep {
                names.remove(&t.id);
            }
            keep
        });
    }
}

/// Names of ended requests are dropped only once twice this many requests are held, so that the cost of a
/// sweep is spread over many requests.
const SWEEP_THRESHOLD: usize = 512;

/// Converts an entry of a catalogue; the server id is assigned later.
fn catalogue_entry(entry: wire::Entry<'_>) -> Result<CatalogueEntry, String> {
    let weight = entry.units.unwrap_or(1.0);
    let started = entry.last_start_ms.filter(|ms| *ms > 0.0).map(Time::from_ms);
    Ok(CatalogueEntry {
        name: Rc::from(&*entry.backend),
        listed: ServerEntry {
            server: ServerId(0),
            zone: ZoneId(entry.campus),
            kind: KindId(entry.class_of_host),
            cell: CellId(entry.cluster),
            status: match entry.status {
                wire::EntryStatus::Serving => Status::Serving,
                wire::EntryStatus::Draining => Status::Draining,
                wire::EntryStatus::Deleted => Status::Gone,
            },
            weight,
            started,
        },
    })
}

/// Converts the ending of an attempt or a probe.
fn outcome(ending: wire::Ending) -> Outcome {
    match ending {
        wire::Ending::Done => Outcome::Success,
        wire::Ending::Err => Outcome::ServerError,
        wire::Ending::Busy => Outcome::Rejected,
        wire::Ending::Etimedout => Outcome::TimedOut,
        wire::Ending::Econnrefused => Outcome::ConnectFailed,
        wire::Ending::Econnreset => Outcome::ConnectionReset,
        wire::Ending::Ecanceled => Outcome::Cancelled,
        wire::Ending::Skipped => Outcome::NotSent,
    }
}

/// FNV-1a hash of a key. Keys are only compared with each other; the hash is the same in every process.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Encodes bytes as lowercase hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hexadecimal digits.
fn unhex(text: &str) -> Result<Vec<u8>, String> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => Ok(digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect()),
        _ => Err(format!("MAIL holds {text:?}; an even number of hex digits was expected")),
    }
}
