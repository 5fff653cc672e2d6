//! What servers tell of their load, and how far that is still to be believed. No decision is made here.
//!
//! A report says how many requests wait, how many a second are answered and how long each took: by Little's law (L = rate x
//! time) all that the server holds. It is believed the less the older it is; in its place comes what others have at servers
//! on the whole, which fades as well. So no estimate stands for ever, and none can keep a server shut.

use crate::api::{Report, ReportField, Span, Time};

/// A report is believed to 1/e after this: a server's load turns over about as fast.
const AGE: Span = Span(300_000);
/// And the mean of all of them after this, if no other comes.
const MEAN_AGE: Span = Span(1_000_000);
/// Least weight of a new report in the mean of what others have; the first after a silence is all of it.
const MEAN_GAIN: f64 = 0.1;
/// What lies beyond this multiple of the mean, and so much more, counts as that much.
const ODD: f64 = 3.0;
const ODD_MORE: f64 = 20.0;
/// Weight of a new figure in a usual time.
const USUAL_GAIN: f64 = 0.04;
/// Weight of a new report in a server's breadth, and in that of servers on the whole.
const BREADTH_GAIN: f64 = 0.1;
const BREADTH_MEAN_GAIN: f64 = 0.05;
/// Weight of a new report in the rate at which a server is sent requests.
const RATE_GAIN: f64 = 0.02;
/// Own sends are counted over about this long.
const SENT: Span = Span(3_000_000);
/// What a share of own requests counts for against what servers tell: with a thirtieth of all requests the two weigh alike.
const OWN_WEIGHT: f64 = 12.0;
/// Below this multiple of the usual time requests hardly stand in each other's way, or it is chance.
const PLAIN: f64 = 2.0;
/// A server can work on one request at a time: too narrow for any by odd reports, it would never tell better.
const BREADTH_LEAST: f64 = 1.0;

/// The figures of a report that say something of load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Word {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait in it.
    pub queue: Option<f64>,
    rate: Option<f64>,
    service_ms: Option<f64>,
}

impl Word {
    /// Reads a report whose values stand in the order of these fields; what is no figure is left out.
    pub fn read(fields: &[ReportField], report: &Report) -> Word {
        let mut word = Word::default();
        for (field, value) in fields.iter().zip(report).filter(|(_, v)| v.is_finite()) {
            let value = Some(value.clamp(0.0, 1e6));
            match field {
                ReportField::InFlight => word.in_flight = value,
                ReportField::Queue => word.queue = value,
                ReportField::Rate => word.rate = value,
                ReportField::ServiceTime => word.service_ms = value,
                _ => {}
            }
        }
        word
    }

    /// All that the server holds, and the time that a request spends there now if that can be told.
    fn load(&self) -> Option<(f64, Option<f64>)> {
        let waits = self.queue.unwrap_or(0.0);
        match (self.rate, self.service_ms) {
            (Some(rate), Some(service)) if rate > 0.0 && service > 0.0 => {
                let load = self.in_flight.unwrap_or((rate * service / 1e3).max(waits));
                Some((load, Some(load / rate * 1e3)))
            }
            _ => self.in_flight.or(self.queue).map(|load| (load, None)),
        }
    }
}

/// What one server has told.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Told {
    /// What others had there, and when that was heard.
    others: f64,
    at: Option<Time>,
    /// How many requests it works on side by side before they slow each other down; 0 if that is unknown.
    breadth: f64,
}

impl Told {
    /// True if it has told something lately.
    pub fn is_fresh(&self, now: Time, within: Span) -> bool {
        self.at.is_some_and(|at| now.since(at) < within)
    }

    /// Others have so many requests there, by another sign than a report.
    pub fn guess(&mut self, now: Time, others: f64) {
        (self.others, self.at) = (others, Some(now));
    }
}

/// What all servers have told, taken together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Hearsay {
    others: f64,
    /// How many words that rests on, fading, and when the last came.
    heard: f64,
    at: Time,
    breadth: f64,
    /// The usual time of a request, leaning to the quick; 0 if none is known.
    usual_ms: f64,
    /// Requests a second that a server is sent, by reports; 0 if that is unknown.
    rate: f64,
    /// This balancer's own sends, fading, and up to when.
    sent: f64,
    sent_at: Time,
}

impl Hearsay {
    /// Takes in a server's word. `own` requests of this balancer are there; `usual_ms` is its own guess at the usual time,
    /// for the first word of all.
    pub fn hear(&mut self, now: Time, told: &mut Told, word: &Word, own: f64, usual_ms: f64) {
        let Some((load, time)) = word.load() else { return };
        if let (Some(time), Some(service)) = (time, word.service_ms) {
            if self.usual_ms == 0.0 {
                self.usual_ms = usual_ms.max(0.001);
            }
            lean(&mut self.usual_ms, service);
            self.learn_breadth(told, load, time / self.usual_ms);
        }
        told.guess(now, (load - own).max(0.0));
        if let Some(rate) = word.rate {
            self.rate = if self.rate == 0.0 { rate } else { self.rate + RATE_GAIN * (rate - self.rate) };
        }
        // One server whose figures can't be must not make all others look full.
        let mean = self.mean(now);
        self.heard = self.heard * fading(now.since(self.at), MEAN_AGE) + 1.0;
        let gain = MEAN_GAIN.max(1.0 / self.heard);
        self.others = mean + gain * (told.others.min(ODD * mean + ODD_MORE) - mean);
        self.at = now;
    }

    /// An own request was answered by a server that held so many, in this multiple of its usual time: for want of reports.
    pub fn answered(&mut self, told: &mut Told, load: f64, stretch: f64) {
        if self.usual_ms == 0.0 {
            self.learn_breadth(told, load, stretch);
        }
    }

    fn learn_breadth(&mut self, told: &mut Told, load: f64, stretch: f64) {
        let told_much = stretch > PLAIN || load / PLAIN > self.breadth;
        let seen = if stretch > PLAIN { load / stretch } else { load / PLAIN };
        if told_much {
            self.breadth = leaned(self.breadth, seen, BREADTH_MEAN_GAIN);
        }
        // One that is not stretched has shown nothing of its bounds, and is taken for one like the others: by its own low
        // load it would look narrow, be sent little for that, and stay so.
        let seen = if told_much { seen } else { self.breadth.max(seen) };
        told.breadth = leaned(told.breadth, seen, BREADTH_GAIN);
    }

    fn mean(&self, now: Time) -> f64 {
        self.others * fading(now.since(self.at), MEAN_AGE)
    }

    /// What others have at a server, by all that has been told; one that is unlike the rest has only what it told itself.
    pub fn others(&self, now: Time, told: &Told, is_usual: bool) -> f64 {
        let belief = told.at.map_or(0.0, |at| fading(now.since(at), AGE));
        belief * told.others + if is_usual { (1.0 - belief) * self.mean(now) } else { 0.0 }
    }

    /// This balancer sends a request.
    pub fn send(&mut self, now: Time) {
        self.sent = self.sent * fading(now.since(self.sent_at), SENT) + 1.0;
        self.sent_at = now;
    }

    /// Requests a second that this balancer sends.
    pub fn own_rate(&self, now: Time) -> f64 {
        self.sent * fading(now.since(self.sent_at), SENT) / (SENT.ms() / 1e3)
    }

    /// How far a balancer has to go by what so many servers tell, where its own counts and limits say little: from nearly
    /// 0 for one that sends all their requests to 1 for one of very many. Without rates, `balancers` send alike.
    pub fn of_others(&self, now: Time, servers: usize, balancers: u32) -> f64 {
        let all = self.rate * servers as f64;
        let share =
            if all > 0.0 { (self.own_rate(now) / all).min(1.0) } else { 1.0 / f64::from(balancers.max(1)) };
        (1.0 + OWN_WEIGHT * share).powi(-2)
    }

    /// How many requests a server works on side by side; `None` if no server has told.
    pub fn breadth(&self, told: &Told) -> Option<f64> {
        [told.breadth, self.breadth].into_iter().find(|b| *b > 0.0)
    }
}

/// Moves a usual time towards a new one, a quarter as fast if that is slower: a crowd must not pass for usual.
pub(crate) fn lean(usual: &mut f64, new: f64) {
    let gain = if new < *usual { USUAL_GAIN } else { USUAL_GAIN / 4.0 };
    *usual += gain * (new - *usual);
}

fn leaned(figure: f64, seen: f64, gain: f64) -> f64 {
    let figure = if figure == 0.0 { seen } else { figure + gain * (seen - figure) };
    figure.max(BREADTH_LEAST)
}

fn fading(age: Span, length: Span) -> f64 {
    (-age.ms() / length.ms()).exp()
}

#[cfg(test)]
mod tests;
