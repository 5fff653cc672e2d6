//! The four rules, judged from what offices, servers and lists have written down, and never from an agent's word.
//!
//! | rule | what breaks it |
//! | --- | --- |
//! | one answer | a request that an agent took ends without a whole answer before its client gives up; a second answer; an answer that no server made for this request; something sent for a request after its answer |
//! | no double effect | a request that may have run is sent again, or refused, beyond what its class allows; a key that takes effect twice |
//! | drains kept | a first byte at a server later than the grace after its agent was told that it drains or is gone |
//! | cold spared | a cold server is sent more than the stated multiple of what it can do, two thirds of it by agents that knew |
//! | agent emptied | 4 s after its clients were sent away an agent says that it is ready, or holds a connection that rests; 2 s after they are wanted back it does not say so |
//! | half requests ended | a client that stopped in the middle of a request and stays has neither an answer nor a close within 3 s |
//! | one answer | a request fails at whatever time, because the agent ended the connection to a server that was writing its answer of over 64 KiB |
//! | one answer | an unsafe request fails before its time, because the agent ended the connection to a server that was writing its answer |
//! | answered at once | a refusal that was sat on: past the wanted time, with nothing out for a while |
//!
//! What the checker does not hold against an agent: what it had taken when the world killed it; an answer that crossed
//! the client's give-up within the slack; what a client that went away would have got; a repeat in the right group and
//! window; how late the lab itself ran; a wait for an attempt that is stuck in a link which the world has silenced;
//! what such a link delivers late.

use crate::clock::At;
use crate::judge::evidence::{AgentIndex, Attempt, ClassFacts, Effect, End, Evidence, Group, Try, Word};
use crate::standins::booking::model::{budget, warmth};
use crate::standins::booking::Figures;
use ryelead::SHORT_ANSWER_MAX;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time limits are this much longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Beyond what a refusal may take with nothing out: connects that hang leave no trace at a server.
const HELD_SLACK: Duration = Duration::from_millis(450);
/// A cold server is pushed over by more than this multiple of its budget: the rule allows for chance.
const CHANCE: f64 = 1.1;
/// So much of what pushed it must come from agents that knew of its start.
const KNOWING_SHARE: f64 = 2.0 / 3.0;
/// An agent counts as told of a start this long after it at the latest.
const TOLD_AT_MOST: Duration = Duration::from_secs(6);
/// What bad clients are owed: an error or a close within this.
const HALF_REQUEST_MOST: Duration = Duration::from_secs(3);
/// An attempt may end this long before its client gives up: its final answer has to reach the client.
const CUT_OFF_SLACK: Duration = Duration::from_millis(150);
/// A process that is told to end is killed within this, and has to answer before that.
const PROCESS_END_MOST: Duration = Duration::from_millis(3_700);
/// Breaches that are told of each rule; the rest are counted.
const TOLD_MOST: usize = 20;

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Exactly one final answer in time for all that was taken.
    OneAnswer,
    /// No effect beyond what the class allows.
    NoDoubleEffect,
    /// Nothing new to a server after the grace.
    DrainsKept,
    /// Cold servers are not pushed over.
    ColdSpared,
    /// A request that is given up is answered at once.
    AnsweredAtOnce,
    /// An agent whose clients are sent away is empty in time, and takes them back in time.
    AgentEmptied,
    /// A client that stopped in the middle of a request hears of it in time.
    HalfRequestsEnded,
}

impl Rule {
    /// All of them, in their order.
    pub const ALL: [Rule; 7] = [
        Rule::OneAnswer,
        Rule::NoDoubleEffect,
        Rule::DrainsKept,
        Rule::ColdSpared,
        Rule::AnsweredAtOnce,
        Rule::AgentEmptied,
        Rule::HalfRequestsEnded,
    ];

    /// What it asks, in a few words.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer",
            Rule::NoDoubleEffect => "no double effect",
            Rule::DrainsKept => "drains kept",
            Rule::ColdSpared => "cold spared",
            Rule::AnsweredAtOnce => "answered at once",
            Rule::AgentEmptied => "agent emptied",
            Rule::HalfRequestsEnded => "half requests ended",
        }
    }
}

/// The figures of the rules.
#[derive(Debug, Clone)]
pub struct Rules {
    /// The classes by their numbers.
    pub classes: Vec<ClassFacts>,
    /// The servers' figures.
    pub figures: Figures,
    /// The building of each server.
    pub buildings: Vec<usize>,
    /// Nothing new to a server this long after the first word that it drains or is gone.
    pub drain_grace: Duration,
}

/// A broken rule, with what shows it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// The request or the server.
    pub subject: String,
    /// When, in seconds.
    pub at: f64,
    /// What was seen, with its times.
    pub evidence: String,
}

/// What the checker found.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Verdict {
    /// The first breaches of each rule.
    pub breaches: Vec<Breach>,
    /// How many there are of each rule.
    pub counts: BTreeMap<Rule, usize>,
    /// Tries, attempts and server lives that were looked at.
    pub looked_at: (usize, usize, usize),
}

impl Verdict {
    /// True if no rule is broken.
    pub fn kept(&self) -> bool {
        self.counts.is_empty()
    }

    /// How often a rule is broken.
    pub fn count(&self, rule: Rule) -> usize {
        self.counts.get(&rule).copied().unwrap_or(0)
    }
}

struct Bench<'a> {
    rules: &'a Rules,
    evidence: &'a Evidence,
    /// What times on sockets may be longer: the protocol's slack, and how late the lab was at worst.
    slack: Duration,
    verdict: Verdict,
}

/// Judges a run.
pub fn judge(evidence: &Evidence, rules: &Rules) -> Verdict {
    let slack = SOCKET_SLACK + evidence.lag_most;
    let mut bench = Bench { rules, evidence, slack, verdict: Verdict::default() };
    bench.verdict.looked_at = (evidence.tries.len(), evidence.attempts.len(), evidence.lives.len());
    bench.answers();
    bench.cut_off();
    bench.effects();
    bench.drains();
    bench.cold();
    bench.emptied();
    bench.half_requests();
    bench.verdict
}

impl Bench<'_> {
    fn breach(&mut self, rule: Rule, subject: &str, at: At, evidence: String) {
        let count = self.verdict.counts.entry(rule).or_default();
        *count += 1;
        if *count <= TOLD_MOST {
            self.verdict.breaches.push(Breach { rule, subject: subject.into(), at: at.secs(), evidence });
        }
    }

    /// True if the world killed the agent while it may have held a request.
    fn killed(&self, agent: AgentIndex, from: At, to: At) -> bool {
        self.evidence.outages.iter().any(|o| o.agent == agent && o.from <= to && from <= o.to)
    }

    fn emptied(&mut self) {
        for seen in &self.evidence.emptied {
            let wrong = if seen.away { seen.ready || seen.resting > 0 } else { !seen.ready };
            if wrong {
                let (when, says) = if seen.away {
                    ("clients sent away", if seen.ready { "yes" } else { "no" })
                } else {
                    ("clients wanted back", "no")
                };
                let text = format!("{when}: readiness says {says}, {} connections rest", seen.resting);
                self.breach(Rule::AgentEmptied, &format!("agent-{}", seen.agent), seen.at, text);
            }
        }
    }

    fn half_requests(&mut self) {
        for half in &self.evidence.half_requests {
            let waited = half.to.since(half.from);
            let killed = self.killed(half.agent, half.from, half.to);
            if !killed && waited > HALF_REQUEST_MOST + self.slack {
                let text =
                    format!("half a request since {} was left without a word for {waited:?}", half.from);
                self.breach(Rule::HalfRequestsEnded, &format!("agent-{}", half.agent), half.to, text);
            }
        }
    }

    fn answers(&mut self) {
        let evidence = self.evidence;
        let by_call = evidence.attempts_by_call();
        for stray in &evidence.strays {
            let text =
                format!("bytes behind the answer to it, from agent {}, found at {}", stray.agent, stray.at);
            self.breach(Rule::OneAnswer, &stray.call, stray.at, text);
        }
        for one in &evidence.tries {
            let attempts = by_call.get(one.call.as_str()).map_or(&[][..], Vec::as_slice);
            self.answer(one, attempts);
        }
    }

    fn answer(&mut self, one: &Try, attempts: &[&Attempt]) {
        let Some(sent) = one.sent else { return };
        let said = |what: &str| {
            format!(
                "{what}: sent to agent {} at {sent}, client gives up at {}, answer of {} bytes began at {}, ended at {} as {:?}; {}",
                one.agent,
                one.give_up,
                one.bytes,
                one.began.unwrap_or_default(),
                one.ended,
                one.end,
                told(attempts)
            )
        };
        let killed = self.killed(one.agent, one.due, one.ended);
        // A long answer is timed by its first byte, any other by its last.
        let timed = one.began.filter(|_| one.bytes as u64 > SHORT_ANSWER_MAX).unwrap_or(one.ended);
        // A close between requests may cross a request that was not read, and the client sends it once more; but this
        // one had been read and passed on.
        let passed_on = one.resent.and_then(|at| attempts.iter().find(|a| a.first < at));
        if let (Some(first), false) = (passed_on, killed) {
            let text = said(&format!(
                "its connection closed without an answer, though it was passed on at {}",
                first.first
            ));
            self.breach(Rule::OneAnswer, &one.call, one.ended, text);
        }
        match &one.end {
            // What was sent when hardly any time was left could not be answered by anyone.
            End::Closed | End::Silent if !killed && one.give_up.since(sent) > self.slack => {
                self.breach(Rule::OneAnswer, &one.call, one.ended, said("no whole answer"));
            }
            // Nobody was there any more for the second try; but the first had been read and passed on.
            End::Unsent if !killed && passed_on.is_none() && !attempts.is_empty() => {
                let text = said("its connection closed without an answer, though it was passed on");
                self.breach(Rule::OneAnswer, &one.call, one.ended, text);
            }
            End::Served(_) | End::Refused(_) | End::Failed(_)
                if !killed && timed > one.give_up.max(sent).plus(self.slack) =>
            {
                self.breach(Rule::OneAnswer, &one.call, one.ended, said("answered too late"));
            }
            End::Served(body) => {
                let made = |a: &&&Attempt| a.answered.is_some() || a.over.is_some();
                if !attempts.iter().filter(made).any(|a| a.body == *body) {
                    self.breach(
                        Rule::OneAnswer,
                        &one.call,
                        one.ended,
                        said("served with what no server made for it"),
                    );
                }
            }
            End::Refused(_) => {
                let wanted = one.due.plus(self.rules.classes[one.class].wanted);
                let idle_since = attempts
                    .iter()
                    .map(|a| a.over.filter(|over| *over <= one.ended).unwrap_or(one.ended))
                    .fold(sent.max(wanted), At::max);
                // What is stuck in a silent link is out, whatever its server says of it.
                let stuck = self.evidence.silences.iter().any(|s| s.from <= one.ended && sent <= s.to);
                if !stuck && !killed && one.ended.since(idle_since) > HELD_SLACK + self.slack {
                    let text = said(&format!("refused with nothing out since {idle_since}"));
                    self.breach(Rule::AnsweredAtOnce, &one.call, one.ended, text);
                }
            }
            _ => {}
        }
        if matches!(one.end, End::Served(_) | End::Refused(_) | End::Failed(_)) {
            let late = attempts.iter().find(|a| a.first > one.ended.plus(self.slack));
            if let Some(late) = late {
                let text =
                    said(&format!("sent to server {} at {}, after its answer", late.server, late.first));
                self.breach(Rule::OneAnswer, &one.call, late.first, text);
            }
        }
    }

    /// A request that can't be sent again has no other answer to wait for: only its own time ends it.
    fn cut_off(&mut self) {
        let evidence = self.evidence;
        let by_call = evidence.by_call();
        for cut in &evidence.cut_off {
            let Some(one) = by_call.get(cut.call.as_str()) else { continue };
            let is_unsafe = self.rules.classes[one.class].effect == Effect::Unsafe;
            // A server that begins to write after the request has ended finds its connection closed.
            let is_long = cut.bytes as u64 > SHORT_ANSWER_MAX && cut.began.plus(CUT_OFF_SLACK) <= one.ended;
            let ended_early = cut.at.plus(CUT_OFF_SLACK) < one.give_up;
            let by_the_agent = matches!(one.end, End::Failed(_) | End::Refused(_));
            let by_a_link = evidence.silences.iter().any(|s| s.from <= cut.at && cut.came <= s.to)
                || evidence.resets.iter().any(|at| *at <= cut.at && cut.came <= at.plus(CUT_OFF_SLACK));
            let ends = self.killed(one.agent, one.due, cut.at.plus(PROCESS_END_MOST));
            if (is_long || is_unsafe && ended_early) && by_the_agent && !by_a_link && !ends {
                let text = format!(
                    "cut off at {} while server {} was writing its answer; client gives up at {}, ended at {} as {:?}",
                    cut.at, cut.server, one.give_up, one.ended, one.end
                );
                self.breach(Rule::OneAnswer, &cut.call, cut.at, text);
            }
        }
    }

    fn effects(&mut self) {
        let evidence = self.evidence;
        let by_name = evidence.by_call();
        for (call, attempts) in evidence.attempts_by_call() {
            let Some(one) = by_name.get(call) else { continue };
            // The client has sent it twice: the first rule has the close that made it do so.
            if one.resent.is_some() {
                continue;
            }
            let effect = self.rules.classes[one.class].effect;
            for (n, later) in attempts.iter().enumerate() {
                // Whatever came whole and had not been turned away by then may have run.
                let earlier = attempts[..n]
                    .iter()
                    .find(|a| may_have_run(a, later.first) && !self.allows(effect, a, later));
                if let Some(earlier) = earlier {
                    let text = format!(
                        "sent to server {} at {} though it may have run at server {} since {} ({effect:?}); {}",
                        later.server, later.first, earlier.server, earlier.came, told(&attempts)
                    );
                    self.breach(Rule::NoDoubleEffect, call, later.first, text);
                }
            }
            // A refusal promises that another try is harmless.
            let promises = !matches!(effect, Effect::Safe | Effect::Keyed(Group::All, _));
            let ran = attempts.iter().find(|a| may_have_run(a, one.ended));
            if let (End::Refused(_), true, Some(ran)) = (&one.end, promises, ran) {
                let text = format!(
                    "refused at {} though it may have run at server {} since {} ({effect:?}); {}",
                    one.ended,
                    ran.server,
                    ran.came,
                    told(&attempts)
                );
                self.breach(Rule::NoDoubleEffect, call, one.ended, text);
            }
        }
        self.keys(&by_name);
    }

    /// A key that took effect twice, in one request of a client or across its retries.
    fn keys(&mut self, by_name: &HashMap<&str, &Try>) {
        let mut took: HashMap<(usize, &str), Vec<&Attempt>> = HashMap::new();
        for attempt in self.evidence.attempts.iter().filter(|a| a.effect.is_some()) {
            let name = match self.rules.classes[attempt.class].effect {
                Effect::Safe => continue,
                Effect::Keyed(..) => attempt.key.as_deref().unwrap_or(&attempt.call),
                Effect::Unsafe => &attempt.call,
            };
            took.entry((attempt.class, name)).or_default().push(attempt);
        }
        let mut twice: Vec<_> = took.into_iter().filter(|(_, attempts)| attempts.len() > 1).collect();
        twice.sort_by_key(|(_, attempts)| attempts[1].effect);
        for ((_, name), attempts) in twice {
            // An agent that was killed leaves what it held to its client, whose retry may then run twice; and what a
            // client has sent twice is no repeat of the agent's.
            let killed = attempts.iter().any(|a| {
                by_name
                    .get(a.call.as_str())
                    .is_some_and(|t| t.resent.is_some() || self.killed(t.agent, t.due, t.ended))
            });
            // One that was sent in its window and came late for want of a faster machine is judged as it was sent.
            let effect = self.rules.classes[attempts[0].class].effect;
            let in_window = matches!(effect, Effect::Keyed(_, window) if attempts.windows(2).all(|pair| {
                let apart = pair[1].first.since(pair[0].first);
                self.allows(effect, pair[0], pair[1]) && apart + self.slack > window
            }));
            if !killed && !in_window {
                let text = format!("took effect {} times; {}", attempts.len(), told(&attempts));
                self.breach(Rule::NoDoubleEffect, name, attempts[1].came, text);
            }
        }
    }

    fn allows(&self, effect: Effect, earlier: &Attempt, later: &Attempt) -> bool {
        match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(group, window) => {
                let same = group == Group::All
                    || self.rules.buildings[earlier.server] == self.rules.buildings[later.server];
                let window_end = earlier.first.plus(window + self.slack);
                same && (later.first <= window_end || self.was_stuck(window_end, later.first))
            }
        }
    }

    /// True if a link that the world had silenced from before `due` may have held what came at `came`: it was sent in time, as far
    /// as anybody can tell, and delivered when the link was whole again.
    fn was_stuck(&self, due: At, came: At) -> bool {
        self.evidence.silences.iter().any(|silence| silence.from <= due && came <= silence.to)
    }

    fn drains(&mut self) {
        let evidence = self.evidence;
        let by_name = evidence.by_call();
        let whole = evidence.attempts.iter().map(|a| (a.server, Some(a.call.as_str()), a.first));
        let parts = evidence.fragments.iter().map(|f| (f.server, f.call.as_deref(), f.first));
        let mut words: HashMap<(usize, usize), Vec<(At, Word)>> = HashMap::new();
        for told in &evidence.told {
            words.entry((told.agent, told.server)).or_default().push((told.at, told.word));
        }
        words.values_mut().for_each(|list| list.sort_by_key(|(at, _)| *at));
        for (server, call, first) in whole.chain(parts) {
            let Some((call, one)) = call.and_then(|c| Some((c, by_name.get(c)?))) else { continue };
            let heard = words.get(&(one.agent, server)).map_or(&[][..], Vec::as_slice);
            let Some(since) = off_since(heard, first) else { continue };
            let due = since.plus(self.rules.drain_grace + self.slack);
            if first > due && !self.was_stuck(due, first) {
                let text = format!(
                    "first byte at server {server} at {first}; agent {} was told that it drains or is gone at {since}",
                    one.agent
                );
                self.breach(Rule::DrainsKept, call, first, text);
            }
        }
    }

    fn cold(&mut self) {
        let evidence = self.evidence;
        let by_name = evidence.by_call();
        let figures = self.rules.figures;
        let window = Duration::from_micros((figures.fall_ms * 1e3) as u64);
        for life in evidence.lives.iter().filter(|life| life.cold) {
            let mut came: Vec<&Attempt> =
                evidence.attempts.iter().filter(|a| (a.server, a.life) == (life.server, life.life)).collect();
            came.sort_by_key(|a| a.came);
            let knew = |a: &Attempt| {
                let agent = by_name.get(a.call.as_str()).map(|t| t.agent);
                let told = |t: &&crate::judge::evidence::Told| {
                    Some(t.agent) == agent && t.server == life.server && t.word == Word::Serving(life.life)
                };
                let told = evidence.told.iter().filter(told).map(|t| t.at).min();
                told.is_some_and(|at| at <= a.came) || a.came.since(life.from) > TOLD_AT_MOST
            };
            let (mut start, mut sum) = (0, 0.0);
            for end in 0..came.len() {
                let now = came[end].came;
                sum += came[end].work as f64;
                while now.since(came[start].came) > window {
                    sum -= came[start].work as f64;
                    start += 1;
                }
                let warm = warmth(&figures, Some(life.from), now);
                let most = budget(&figures, warm);
                // What makes it fall is the last that it sees.
                let fell = life.fell.is_some() && end + 1 == came.len();
                if warm >= 1.0 || (sum <= most * CHANCE && !fell) {
                    continue;
                }
                let knowing: f64 = came[start..=end].iter().filter(|a| knew(a)).map(|a| a.work as f64).sum();
                if knowing >= KNOWING_SHARE * sum {
                    let text = format!(
                        "{:.2} s of work within {:.1} s where it bears {:.2} s (started {}, {:.0}% warm), {:.0}% from agents that knew",
                        sum / 1e6, window.as_secs_f64(), most / 1e6, life.from, warm * 100.0, 100.0 * knowing / sum
                    );
                    self.breach(Rule::ColdSpared, &format!("server {}", life.server), now, text);
                    break;
                }
            }
        }
    }
}

fn may_have_run(attempt: &Attempt, by: At) -> bool {
    attempt.came <= by && attempt.rejected.is_none_or(|at| at > by)
}

/// Since when an agent had been told that a server takes nothing new, as it stood at a moment.
fn off_since(heard: &[(At, Word)], at: At) -> Option<At> {
    heard.iter().filter(|(told, _)| *told <= at).fold(None, |since, (told, word)| match word {
        Word::Serving(_) => None,
        Word::Draining | Word::Gone => since.or(Some(*told)),
    })
}

fn told(attempts: &[&Attempt]) -> String {
    if attempts.is_empty() {
        return "no server has seen it".into();
    }
    let one = |a: &&Attempt| {
        let fate = match (a.rejected, a.effect, a.dropped) {
            (Some(at), ..) => format!("turned away at {at}"),
            (_, Some(at), _) => format!("took effect at {at}"),
            (_, _, true) => "dropped as a repeat".into(),
            _ => "did not take effect".into(),
        };
        let answered = a.answered.map_or(String::new(), |at| format!(", answered at {at}"));
        format!("attempt {} came to server {} at {}, {fate}{answered}", a.serial, a.server, a.came)
    };
    attempts.iter().map(one).collect::<Vec<_>>().join("; ")
}

#[cfg(test)]
mod tests;
