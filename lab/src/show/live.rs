//! What people see while a world runs: a picture that is drawn anew on a terminal, plain lines elsewhere.

use crate::judge::checker::Verdict;
use crate::judge::service::{Service, Worth, QUANTILES};
use crate::world::run::{Frame, Outcome};
use crate::world::World;
use std::fmt::Write as _;
use std::io::{IsTerminal, Write};

/// Servers and agents that are shown one by one.
const SHOWN_MOST: usize = 24;

/// Shows frames on standard output.
pub struct Live {
    terminal: bool,
    drawn: usize,
    last: f64,
}

impl Default for Live {
    fn default() -> Self {
        Live { terminal: std::io::stdout().is_terminal(), drawn: 0, last: f64::NEG_INFINITY }
    }
}

impl Live {
    /// Shows the world at a moment.
    pub fn show(&mut self, world: &World, frame: &Frame) {
        self.put(frame.at, || picture(world, frame), || line(world, frame));
    }

    /// Shows what is so at a moment, in seconds: a picture in place of the last one on a terminal, lines elsewhere.
    pub fn put(&mut self, at: f64, picture: impl FnOnce() -> String, line: impl FnOnce() -> String) {
        // Plain lines once a second are enough.
        if !self.terminal && at - self.last < 0.95 {
            return;
        }
        self.last = at;
        let text = if self.terminal { picture() } else { line() };
        let mut out = String::new();
        if self.terminal && self.drawn > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn);
        }
        self.drawn = text.lines().count();
        out.push_str(&text);
        let mut stdout = std::io::stdout().lock();
        let _ = stdout.write_all(out.as_bytes());
        let _ = stdout.flush();
    }
}

fn counts(frame: &Frame) -> String {
    let part = |name| frame.counts.get(name).copied().unwrap_or(0);
    let [served, refused, failed, lost] = ["served", "refused", "failed", "lost"].map(part);
    format!("served {served}, refused {refused}, failed {failed}, lost {lost}, under way {}", frame.under_way)
}

fn faults(frame: &Frame) -> String {
    if frame.faults.is_empty() {
        "-".into()
    } else {
        frame.faults.join("; ")
    }
}

fn line(world: &World, frame: &Frame) -> String {
    let up = frame.servers.iter().filter(|s| s.up).count();
    format!(
        "{:5.1} s of {:.0}: {}; servers up {up}/{}; fault: {}\n",
        frame.at,
        world.seconds,
        counts(frame),
        frame.servers.len(),
        faults(frame)
    )
}

fn picture(world: &World, frame: &Frame) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "{} - {:.1} s of {:.0}", world.name, frame.at, world.seconds);
    let _ = writeln!(text, "  {}", counts(frame));
    let _ = writeln!(text, "  fault: {}", faults(frame));
    let names = world.servers();
    for ((name, _), look) in names.iter().zip(&frame.servers).take(SHOWN_MOST) {
        let state = match (look.up, look.warmth < 1.0, look.slow > 1.0) {
            (false, ..) => "down".into(),
            (_, true, _) => format!("cold, {:.0}% warm", look.warmth * 100.0),
            (_, _, true) => format!("{:.1} times slower", look.slow),
            _ => String::new(),
        };
        let bar: String = "#".repeat(look.running.min(20)) + &"+".repeat(look.waiting.min(20));
        let _ = writeln!(text, "  {name:18} {:4} conns  {bar:<24} {state}", look.connections);
    }
    if names.len() > SHOWN_MOST {
        let _ = writeln!(text, "  and {} servers more", names.len() - SHOWN_MOST);
    }
    for (n, usage) in frame.agents.iter().enumerate().take(SHOWN_MOST / 4) {
        if let Some(usage) = usage {
            let mib = usage.rss_kib as f64 / 1024.0;
            let _ = writeln!(
                text,
                "  agent-{n:<12} {:4} files  {mib:5.1} MiB  {} ms of CPU",
                usage.descriptors, usage.cpu_ms
            );
        }
    }
    text
}

/// The end of a run, in plain words.
pub fn verdict(outcome: &Outcome) -> String {
    let mut text = judged(&outcome.world.name, &outcome.verdict);
    for agent in &outcome.crashed {
        let _ = writeln!(text, "  agent-{agent} has ended by itself");
    }
    if outcome.late {
        let _ = writeln!(
            text,
            "  the lab itself ran late ({:.0} ms for one in a hundred, {:.0} ms at worst): no figures",
            outcome.evidence.lag_p99.as_secs_f64() * 1e3,
            outcome.evidence.lag_most.as_secs_f64() * 1e3
        );
        return text;
    }
    text + &served(&outcome.service)
}

/// What the checker has found.
pub fn judged(world: &str, verdict: &Verdict) -> String {
    let (tries, attempts, lives) = verdict.looked_at;
    let mut text =
        format!("\n{world}: {tries} tries, {attempts} attempts, {lives} lives of servers looked at\n");
    for rule in crate::judge::checker::Rule::ALL {
        let count = verdict.count(rule);
        let word = if count == 0 { "kept".into() } else { format!("BROKEN {count} times") };
        let _ = writeln!(text, "  {:18} {word}", rule.name());
    }
    for breach in verdict.breaches.iter().take(10) {
        let (rule, subject, at) = (breach.rule.name(), &breach.subject, breach.at);
        let _ = writeln!(text, "    {rule}: {subject} at {at:.3} s: {}", breach.evidence);
    }
    text
}

/// The service in its parts.
pub fn served(service: &Service) -> String {
    let mut text =
        format!("  service {:.3} (worth in its wanted time over worth asked for)\n", service.whole.share());
    let share = |parts: &[(String, Worth)]| {
        let parts: Vec<String> =
            parts.iter().map(|(name, worth)| format!("{name} {:.3}", worth.share())).collect();
        parts.join(", ")
    };
    let _ = writeln!(text, "    by class:  {}", share(&service.classes));
    let _ = writeln!(text, "    by office: {}", share(&service.offices));
    let windows: Vec<String> = service.windows.iter().map(|w| format!("{:.3}", w.share())).collect();
    let _ = writeln!(text, "    by 10 s:   {}", windows.join(", "));
    for (name, latencies) in &service.latencies {
        let figures = QUANTILES.iter().zip(latencies).map(|(q, ms)| format!("p{} {ms:.0}", q * 100.0));
        let figures: Vec<String> = figures.collect();
        let _ = writeln!(text, "    {name}, ms from when it was due: {}", figures.join(", "));
    }
    text
}
