//! A model of server load, built from the load reports that servers send. It makes no decisions.
//!
//! A report holds the number of queued requests, the number answered per second and the time that each took.
//! By Little's law (L = rate x time) this gives the number of requests at the server, whichever client sent
//! them. Some servers report a time that excludes queueing; their load is at least the queue length.
//!
//! Without this balancer's own requests, that is the remote load: what the other clients have there. The
//! older a report, the less it counts: its place is taken by the mean remote load of all servers, which
//! decays as well. So no estimate lasts for ever, and none can keep a server closed to requests.

use crate::api::{Report, ReportField, Span, Time};

/// Time constant of the exponential decay of a report: a server's load turns over about as fast.
const REPORT_DECAY: Span = Span(300_000);
/// Time constant of the decay of the mean remote load while no further report arrives.
const MEAN_DECAY: Span = Span(1_000_000);
/// Least weight of a new report in the mean remote load; the first report after a silence replaces the mean.
const MEAN_GAIN: f64 = 0.1;
/// Bound on outliers in the mean remote load: a report counts for at most this multiple of the mean plus the
/// margin, in requests.
const OUTLIER_FACTOR: f64 = 3.0;
const OUTLIER_MARGIN: f64 = 20.0;
/// Weight of a new sample in a baseline; [`update_baseline`] gives samples above the baseline a quarter of
/// it.
const BASELINE_GAIN: f64 = 0.04;
/// Weight of a new sample in the parallelism of one server, and in the mean of all servers.
const PARALLELISM_GAIN: f64 = 0.1;
const MEAN_PARALLELISM_GAIN: f64 = 0.05;
/// Weight of a new report in the mean request rate of a server.
const RATE_GAIN: f64 = 0.02;
/// Time constant of the decaying count of this balancer's own sends.
const SEND_DECAY: Span = Span(3_000_000);
/// Weight of this balancer's share of all requests against the load reports. At a share of one thirtieth, own
/// counts and reports weigh about the same.
const OWN_SHARE_WEIGHT: f64 = 12.0;
/// Below this multiple of the baseline time, requests hardly slow each other down, or the difference is
/// chance.
const UNCONTENDED_STRETCH: f64 = 2.0;
/// Lower bound of a server's parallelism, since any server can work on one request at a time. Without the
/// bound a few odd reports made a server look unable to take a single request; it was then sent none, so that
/// no better report could come.
const PARALLELISM_MIN: f64 = 1.0;

/// The load figures of one report; a figure that the server does not send is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct LoadReport {
    /// Requests at the server, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests queued at the server.
    pub queue: Option<f64>,
    /// Requests answered per second.
    rate: Option<f64>,
    /// Recent time per request in milliseconds. Servers differ in whether queueing is part of it.
    service_ms: Option<f64>,
}

impl LoadReport {
    /// Parses a report whose values are in the order of `fields`. Values that are not finite are left out,
    /// the others are clamped to 0..=1e6.
    pub fn parse(fields: &[ReportField], report: &Report) -> LoadReport {
        let mut parsed = LoadReport::default();
        for (field, value) in fields.iter().zip(report).filter(|(_, v)| v.is_finite()) {
            let value = Some(value.clamp(0.0, 1e6));
            match field {
                ReportField::InFlight => parsed.in_flight = value,
                ReportField::Queue => parsed.queue = value,
                ReportField::Rate => parsed.rate = value,
                ReportField::ServiceTime => parsed.service_ms = value,
                _ => {}
            }
        }
        parsed
    }

    /// The number of requests at the server and, where the report allows it, the time in milliseconds that a
    /// request now spends there, queueing included. `None` if the report says nothing about load.
    fn load(&self) -> Option<(f64, Option<f64>)> {
        let queued = self.queue.unwrap_or(0.0);
        match (self.rate, self.service_ms) {
            (Some(rate), Some(service)) if rate > 0.0 && service > 0.0 => {
                let load = self.in_flight.unwrap_or((rate * service / 1e3).max(queued));
                Some((load, Some(load / rate * 1e3)))
            }
            _ => self.in_flight.or(self.queue).map(|load| (load, None)),
        }
    }
}

/// The load state of one server, from its own reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServerLoad {
    /// Requests of other clients at the server, and when that was reported or assumed.
    remote: f64,
    updated_at: Option<Time>,
    /// How many requests it processes in parallel before they slow each other down; 0 if unknown.
    parallelism: f64,
}

impl ServerLoad {
    /// Whether its load was reported or assumed less than `within` ago.
    pub fn is_fresh(&self, now: Time, within: Span) -> bool {
        self.updated_at.is_some_and(|at| now.since(at) < within)
    }

    /// Sets the remote load by evidence other than a report, such as a probe that failed.
    pub fn assume_remote_load(&mut self, now: Time, remote: f64) {
        (self.remote, self.updated_at) = (remote, Some(now));
    }
}

/// The load of all servers together: means over their reports, and this balancer's own send rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadModel {
    /// Mean remote load of a server, as of `updated_at`.
    mean_remote: f64,
    /// Decaying count of the reports behind the mean, and when the last of them arrived.
    report_count: f64,
    updated_at: Time,
    /// Mean parallelism of a server; 0 if unknown.
    mean_parallelism: f64,
    /// Baseline time of a request without contention, in milliseconds, biased towards fast requests; 0 if
    /// unknown.
    baseline_ms: f64,
    /// Mean number of requests per second at one server, by the reports; 0 if unknown.
    mean_rate: f64,
    /// Decaying count of this balancer's own sends, as of `sent_at`.
    send_count: f64,
    sent_at: Time,
}

impl LoadModel {
    /// Records a server's report. `own` is the number of this balancer's requests there; `baseline_ms` is its
    /// own estimate of the baseline time, which seeds the model at the first report.
    pub fn record_report(
        &mut self,
        now: Time,
        server: &mut ServerLoad,
        report: &LoadReport,
        own: f64,
        baseline_ms: f64,
    ) {
        let Some((load, time)) = report.load() else { return };
        if let (Some(time), Some(service)) = (time, report.service_ms) {
            if self.baseline_ms == 0.0 {
                self.baseline_ms = baseline_ms.max(0.001);
            }
            update_baseline(&mut self.baseline_ms, service);
            self.learn_parallelism(server, load, time / self.baseline_ms);
        }
        server.assume_remote_load(now, (load - own).max(0.0));
        if let Some(rate) = report.rate {
            self.mean_rate = if self.mean_rate == 0.0 {
                rate
            } else {
                self.mean_rate + RATE_GAIN * (rate - self.mean_rate)
            };
        }
        // The outlier bound: one server with impossible figures must not make all others look full.
        let mean = self.mean(now);
        self.report_count = self.report_count * decay(now.since(self.updated_at), MEAN_DECAY) + 1.0;
        let gain = MEAN_GAIN.max(1.0 / self.report_count);
        self.mean_remote = mean + gain * (server.remote.min(OUTLIER_FACTOR * mean + OUTLIER_MARGIN) - mean);
        self.updated_at = now;
    }

    /// Records the answer to one of this balancer's requests: the server held `load` requests, and the answer
    /// took `stretch` times its baseline. This is the only evidence of parallelism where reports hold no
    /// times; it is ignored where they do.
    pub fn record_answer(&mut self, server: &mut ServerLoad, load: f64, stretch: f64) {
        if self.baseline_ms == 0.0 {
            self.learn_parallelism(server, load, stretch);
        }
    }

    /// Updates the parallelism of a server, and the mean of all servers, from a load and the multiple of the
    /// baseline time that requests take under it.
    fn learn_parallelism(&mut self, server: &mut ServerLoad, load: f64, stretch: f64) {
        let is_informative =
            stretch > UNCONTENDED_STRETCH || load / UNCONTENDED_STRETCH > self.mean_parallelism;
        let sample = if stretch > UNCONTENDED_STRETCH { load / stretch } else { load / UNCONTENDED_STRETCH };
        if is_informative {
            self.mean_parallelism =
                smoothed_parallelism(self.mean_parallelism, sample, MEAN_PARALLELISM_GAIN);
        }
        // A server without contention has not shown its bound and counts as an average one. Judged by its own
        // low load it would seem to have little parallelism, be sent few requests for that, and stay so.
        let sample = if is_informative { sample } else { self.mean_parallelism.max(sample) };
        server.parallelism = smoothed_parallelism(server.parallelism, sample, PARALLELISM_GAIN);
    }

    /// The mean remote load of a server, decayed to `now`.
    fn mean(&self, now: Time) -> f64 {
        self.mean_remote * decay(now.since(self.updated_at), MEAN_DECAY)
    }

    /// Estimates how many requests of other clients a server holds: its last report, replaced by the mean of
    /// all servers as it ages. Without `use_mean`, for a server unlike the rest, only its own report counts.
    pub fn remote_load(&self, now: Time, server: &ServerLoad, use_mean: bool) -> f64 {
        let confidence = server.updated_at.map_or(0.0, |at| decay(now.since(at), REPORT_DECAY));
        confidence * server.remote + if use_mean { (1.0 - confidence) * self.mean(now) } else { 0.0 }
    }

    /// Counts a request that this balancer sends.
    pub fn record_send(&mut self, now: Time) {
        self.send_count = self.send_count * decay(now.since(self.sent_at), SEND_DECAY) + 1.0;
        self.sent_at = now;
    }

    /// Requests per second that this balancer sends.
    pub fn own_rate(&self, now: Time) -> f64 {
        self.send_count * decay(now.since(self.sent_at), SEND_DECAY) / (SEND_DECAY.ms() / 1e3)
    }

    /// The weight of load reports against this balancer's own counts and limits, which say little if it sends
    /// only a small share of all requests. It goes from nearly 0 for a balancer that sends all requests of
    /// `servers` servers to 1 for one of very many. Without reported rates, `balancers` balancers are taken
    /// to send alike.
    pub fn report_weight(&self, now: Time, servers: usize, balancers: u32) -> f64 {
        let total = self.mean_rate * servers as f64;
        let share = if total > 0.0 {
            (self.own_rate(now) / total).min(1.0)
        } else {
            1.0 / f64::from(balancers.max(1))
        };
        (1.0 + OWN_SHARE_WEIGHT * share).powi(-2)
    }

    /// How many requests a server processes in parallel, by default the mean; `None` if both are unknown.
    pub fn parallelism(&self, server: &ServerLoad) -> Option<f64> {
        [server.parallelism, self.mean_parallelism].into_iter().find(|p| *p > 0.0)
    }
}

/// Moves a baseline towards a new sample, as an exponentially weighted moving average. A sample above the
/// baseline has a quarter of the weight, so that contention does not become the baseline.
pub(crate) fn update_baseline(baseline: &mut f64, sample: f64) {
    let gain = if sample < *baseline { BASELINE_GAIN } else { BASELINE_GAIN / 4.0 };
    *baseline += gain * (sample - *baseline);
}

/// The moving average of a parallelism with a new sample, at least [`PARALLELISM_MIN`]; 0 means no average
/// yet.
fn smoothed_parallelism(average: f64, sample: f64, gain: f64) -> f64 {
    let average = if average == 0.0 { sample } else { average + gain * (sample - average) };
    average.max(PARALLELISM_MIN)
}

/// The factor that remains after `age` of an exponential decay.
fn decay(age: Span, time_constant: Span) -> f64 {
    (-age.ms() / time_constant.ms()).exp()
}

#[cfg(test)]
mod tests;
