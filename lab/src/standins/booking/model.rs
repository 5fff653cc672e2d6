//! What a booking server does with its time: cores shared among running requests, a waiting room, handshakes and probes
//! that cost work, a cold start that warms, and the fall of one that is pushed too far. No socket and no clock.

use crate::clock::At;
use std::collections::VecDeque;
use std::time::Duration;

/// The figures of a server; times in milliseconds.
#[derive(Debug, Clone, Copy, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    /// Cores that work at once.
    pub cores: f64,
    /// Requests that run at once and share them.
    pub slots: usize,
    /// Requests that may wait; more are turned away.
    pub room: usize,
    /// Connections that it holds; more are turned away.
    pub connections: usize,
    /// Work of a new connection.
    pub handshake_ms: f64,
    /// Work of a probe.
    pub probe_ms: f64,
    /// The share of its speed at a cold start.
    pub cold_share: f64,
    /// It is warm after this.
    pub warm_ms: f64,
    /// Sent more than this multiple of what it can do ...
    pub overload: f64,
    /// ... for this long, a cold one falls over.
    pub fall_ms: f64,
    /// Idle connections are closed after this.
    pub idle_ms: f64,
    /// Its load report is this old at most.
    pub report_ms: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            cores: 3.0,
            slots: 12,
            room: 60,
            connections: 400,
            handshake_ms: 4.0,
            probe_ms: 0.13,
            cold_share: 0.39,
            warm_ms: 7400.0,
            overload: 4.0,
            fall_ms: 1500.0,
            idle_ms: 10_000.0,
            report_ms: 200.0,
        }
    }
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It runs.
    Began(u64),
    /// Its work is done.
    Done(u64),
    /// The server has fallen over.
    Fell,
}

/// A load report: requests a second, service time, errors a second, requests waiting.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Requests a second that were put to work.
    pub qps: f64,
    /// Recent time from being put to work to being done, in milliseconds.
    pub latency_ms: f64,
    /// Requests a second that were turned away or broken.
    pub eps: f64,
    /// Requests that wait.
    pub queue: f64,
}

struct Running {
    /// `None` for a handshake or a probe, which takes no slot.
    id: Option<u64>,
    /// Work that is left, in microseconds of a warm core.
    left: f64,
    since: At,
}

/// The state of one life of a server.
pub struct Model {
    figures: Figures,
    born: At,
    cold: bool,
    slow: f64,
    hung: bool,
    now: At,
    running: Vec<Running>,
    waiting: VecDeque<(u64, f64)>,
    /// Work that came within the last `fall_ms`, for the fall.
    pressure: VecDeque<(At, f64)>,
    pressure_sum: f64,
    fallen: bool,
    begun: u32,
    failed: u32,
    latency_ms: f64,
    report: Report,
    reported: At,
}

/// While it warms its speed is taken anew after this long.
const WARM_STEP: Duration = Duration::from_millis(20);

impl Model {
    /// A server that starts at `born`, cold or warm.
    pub fn new(figures: Figures, born: At, cold: bool) -> Model {
        Model {
            figures,
            born,
            cold,
            slow: 1.0,
            hung: false,
            now: born,
            running: Vec::new(),
            waiting: VecDeque::new(),
            pressure: VecDeque::new(),
            pressure_sum: 0.0,
            fallen: false,
            begun: 0,
            failed: 0,
            latency_ms: 0.0,
            report: Report::default(),
            reported: born,
        }
    }

    /// The share of its warm speed that it has.
    pub fn warmth(&self, now: At) -> f64 {
        warmth(&self.figures, self.cold.then_some(self.born), now)
    }

    /// Runs so many times slower from now on.
    pub fn set_slow(&mut self, now: At, factor: f64, out: &mut Vec<Step>) {
        self.advance(now, out);
        self.slow = factor.max(0.01);
    }

    /// Gets nothing done while it hangs, and goes on where it was after that.
    pub fn set_hung(&mut self, now: At, hung: bool, out: &mut Vec<Step>) {
        self.advance(now, out);
        self.hung = hung;
    }

    /// A request has come; false if it is turned away.
    pub fn offer(&mut self, now: At, id: u64, work_us: f64, out: &mut Vec<Step>) -> bool {
        self.advance(now, out);
        self.press(now, work_us, out);
        if self.fallen {
            return false;
        }
        if self.slots_taken() < self.figures.slots {
            self.begin(id, work_us, out);
        } else if self.waiting.len() < self.figures.room {
            self.waiting.push_back((id, work_us));
        } else {
            self.failed += 1;
            return false;
        }
        true
    }

    /// A handshake or a probe: work that takes no slot.
    pub fn burden(&mut self, now: At, work_ms: f64, out: &mut Vec<Step>) {
        self.advance(now, out);
        if work_ms > 0.0 {
            self.running.push(Running { id: None, left: work_ms * 1e3, since: now });
        }
    }

    /// A request ended badly for its caller.
    pub fn failed(&mut self) {
        self.failed += 1;
    }

    /// Lets time pass up to `now`.
    pub fn advance(&mut self, now: At, out: &mut Vec<Step>) {
        while self.now < now && !self.fallen && !self.hung {
            let next = self.next().map_or(now, |at| at.min(now)).max(At(self.now.0 + 1));
            let each = self.rate() * next.since(self.now).as_micros() as f64;
            self.now = next;
            for running in &mut self.running {
                running.left -= each;
            }
            self.finish(out);
        }
        self.now = self.now.max(now);
    }

    /// When something happens next if nothing comes.
    pub fn next(&self) -> Option<At> {
        if self.fallen || self.hung {
            return None;
        }
        let least = self.running.iter().map(|r| r.left).fold(f64::INFINITY, f64::min);
        if least == f64::INFINITY {
            return None;
        }
        let whole = Duration::from_micros((least / self.rate()).ceil().clamp(1.0, 1e12) as u64);
        let step = if self.warmth(self.now) < 1.0 { whole.min(WARM_STEP) } else { whole };
        Some(self.now.plus(step))
    }

    /// Requests that run and wait.
    pub fn load(&self) -> (usize, usize) {
        (self.slots_taken(), self.waiting.len())
    }

    /// The load report as it stands; it is made anew from time to time only.
    pub fn report(&mut self, now: At) -> Report {
        let age = now.since(self.reported);
        if age.as_secs_f64() * 1e3 >= self.figures.report_ms {
            let seconds = age.as_secs_f64();
            self.report = Report {
                qps: f64::from(self.begun) / seconds,
                latency_ms: self.latency_ms,
                eps: f64::from(self.failed) / seconds,
                queue: self.waiting.len() as f64,
            };
            (self.begun, self.failed, self.reported) = (0, 0, now);
        }
        self.report
    }

    fn slots_taken(&self) -> usize {
        self.running.iter().filter(|r| r.id.is_some()).count()
    }

    /// Work that each running request gets done in a unit of time.
    fn rate(&self) -> f64 {
        let share = (self.figures.cores / self.running.len().max(1) as f64).min(1.0);
        (self.warmth(self.now) / self.slow * share).max(1e-9)
    }

    fn begin(&mut self, id: u64, work_us: f64, out: &mut Vec<Step>) {
        self.begun += 1;
        self.running.push(Running { id: Some(id), left: work_us, since: self.now });
        out.push(Step::Began(id));
    }

    fn finish(&mut self, out: &mut Vec<Step>) {
        let now = self.now;
        let mut done = Vec::new();
        self.running.retain(|r| {
            let over = r.left <= 0.5;
            if let (true, Some(id)) = (over, r.id) {
                done.push((id, r.since));
            }
            !over
        });
        for (id, since) in done {
            let took = now.since(since).as_secs_f64() * 1e3;
            self.latency_ms += (took - self.latency_ms) * 0.2;
            out.push(Step::Done(id));
        }
        while self.slots_taken() < self.figures.slots {
            let Some((id, work)) = self.waiting.pop_front() else { return };
            self.begin(id, work, out);
        }
    }

    /// All that reaches a cold server presses, also what it turns away.
    fn press(&mut self, now: At, work_us: f64, out: &mut Vec<Step>) {
        let window = Duration::from_micros((self.figures.fall_ms * 1e3) as u64);
        while self.pressure.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.pressure_sum -= self.pressure.pop_front().map_or(0.0, |(_, work)| work);
        }
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.fallen {
            return;
        }
        self.pressure.push_back((now, work_us));
        self.pressure_sum += work_us;
        if self.pressure_sum > budget(&self.figures, warmth) {
            self.fallen = true;
            out.push(Step::Fell);
        }
    }
}

/// The share of its warm speed that a server has which started cold at a moment.
pub fn warmth(figures: &Figures, cold_since: Option<At>, now: At) -> f64 {
    let Some(born) = cold_since else { return 1.0 };
    let part = now.since(born).as_secs_f64() * 1e3 / figures.warm_ms.max(1.0);
    (figures.cold_share + (1.0 - figures.cold_share) * part).min(1.0)
}

/// The work within `fall_ms` that a server of this warmth outlives, in microseconds.
pub fn budget(figures: &Figures, warmth: f64) -> f64 {
    figures.overload * figures.cores * warmth * figures.fall_ms * 1e3
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(model: &mut Model, to: At) -> Vec<(u64, u64)> {
        let mut done = Vec::new();
        while let Some(next) = model.next().filter(|at| *at <= to) {
            let mut steps = Vec::new();
            model.advance(next, &mut steps);
            done.extend(steps.iter().filter_map(|s| match s {
                Step::Done(id) => Some((*id, next.0 / 1000)),
                _ => None,
            }));
        }
        done
    }

    #[test]
    fn cores_are_shared_and_what_finds_no_slot_waits_or_is_turned_away() {
        let figures = Figures { cores: 2.0, slots: 4, room: 1, ..Figures::default() };
        let mut model = Model::new(figures, At(0), false);
        let mut out = Vec::new();
        let offers: Vec<bool> = (0..6).map(|id| model.offer(At(0), id, 10_000.0, &mut out)).collect();
        assert_eq!(offers, [true, true, true, true, true, false]);
        assert_eq!(model.load(), (4, 1));
        // Four on two cores take twice as long; the fifth has a core of its own after that.
        let done = run(&mut model, At(1_000_000));
        assert_eq!(done.iter().map(|d| d.0).collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
        assert!(done[3].1 == 20 && done[4].1 == 30, "{done:?}");
    }

    #[test]
    fn a_cold_server_is_slow_warms_and_falls_over_what_is_too_much() {
        let figures = Figures { cores: 1.0, slots: 1000, room: 1000, ..Figures::default() };
        let mut model = Model::new(figures, At(0), true);
        assert!((model.warmth(At(0)) - 0.39).abs() < 1e-9 && model.warmth(At(7_400_000)) == 1.0);
        let mut out = Vec::new();
        // 4 x 0.39 cores x 1.5 s: 2.34 s of work are borne, and no more.
        let bears = (0..100).take_while(|id| model.offer(At(0), *id, 100_000.0, &mut out)).count();
        assert_eq!(bears, 23);
        assert!(out.contains(&Step::Fell) && model.next().is_none());
        let mut warm = Model::new(figures, At(0), false);
        assert!((0..1000).all(|id| warm.offer(At(0), id, 100_000.0, &mut out)));
    }

    #[test]
    fn a_hang_gets_nothing_done_whatever_comes_and_goes_on_after() {
        let mut model = Model::new(Figures { cores: 1.0, ..Figures::default() }, At(0), false);
        let mut out = Vec::new();
        model.offer(At(0), 1, 10_000.0, &mut out);
        model.set_hung(At(4_000), true, &mut out);
        assert!(model.offer(At(500_000), 2, 10_000.0, &mut out) && model.next().is_none());
        assert!(!out.contains(&Step::Done(1)));
        model.set_hung(At(600_000), false, &mut out);
        // 6 ms of the first are left, at half speed beside the second.
        assert_eq!(run(&mut model, At(1_000_000)), [(1, 612), (2, 616)]);
    }

    #[test]
    fn slowness_and_burdens_cost_time_and_reports_are_stale() {
        let figures = Figures { cores: 1.0, ..Figures::default() };
        let mut model = Model::new(figures, At(0), false);
        let mut out = Vec::new();
        model.set_slow(At(0), 5.0, &mut out);
        model.offer(At(0), 1, 10_000.0, &mut out);
        model.burden(At(0), 10.0, &mut out);
        assert_eq!(run(&mut model, At(1_000_000)), [(1, 100)]);
        let report = model.report(At(1_000_000));
        assert!((report.qps - 1.0).abs() < 0.01 && report.latency_ms > 10.0, "{report:?}");
        model.offer(At(1_000_001), 2, 10_000.0, &mut out);
        assert_eq!(model.report(At(1_100_000)), report);
    }
}
