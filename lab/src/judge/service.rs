//! What was got out of a run: the worth answered within its wanted time over the worth asked for, as the users count it,
//! and latencies from the moment a request was due.

use crate::judge::evidence::{ClassFacts, End, Evidence, Try};
use std::collections::HashMap;

/// The parts of the time that service is counted in, in seconds.
pub const WINDOW_S: f64 = 10.0;

/// What a request counts for.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The classes by their numbers.
    pub classes: Vec<ClassFacts>,
    /// Each office's name, and the requests a second that are within its share.
    pub offices: Vec<(String, f64)>,
    /// What a request beyond that is worth, as a share of the usual.
    pub over_share: f64,
}

/// Worth in time, and worth asked for.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct Worth {
    /// Answered within the wanted time.
    pub got: f64,
    /// Asked for.
    pub asked: f64,
}

impl Worth {
    /// The share, 1 if nothing was asked for.
    pub fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }

    fn add(&mut self, worth: f64, got: bool) {
        self.asked += worth;
        self.got += if got { worth } else { 0.0 };
    }
}

/// Service in its parts.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Service {
    /// The whole run.
    pub whole: Worth,
    /// By class.
    pub classes: Vec<(String, Worth)>,
    /// By office.
    pub offices: Vec<(String, Worth)>,
    /// By parts of 10 s.
    pub windows: Vec<Worth>,
    /// By parts of 1 s, for pictures.
    pub seconds: Vec<Worth>,
    /// Latencies of first tries by class at [`QUANTILES`], in milliseconds; one that never came counts as its whole wait.
    pub latencies: Vec<(String, Vec<f64>)>,
    /// How tries ended.
    pub ends: HashMap<String, usize>,
}

/// The parts of all requests whose latency is told.
pub const QUANTILES: [f64; 7] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999];

/// Counts the service of a run.
pub fn count(evidence: &Evidence, terms: &Terms) -> Service {
    let mut service = Service {
        classes: terms.classes.iter().map(|c| (c.name.clone(), Worth::default())).collect(),
        offices: terms.offices.iter().map(|o| (o.0.clone(), Worth::default())).collect(),
        ..Service::default()
    };
    let mut firsts: HashMap<usize, (&Try, bool)> = HashMap::new();
    for one in evidence.tries.iter().filter(|t| t.number == 0) {
        firsts.insert(one.first, (one, false));
    }
    for one in &evidence.tries {
        *service.ends.entry(end_name(&one.end).into()).or_default() += 1;
        if let Some((first, got)) = firsts.get_mut(&one.first) {
            let wanted = first.due.plus(terms.classes[first.class].wanted);
            *got |= matches!(one.end, End::Served(_)) && one.ended <= wanted;
        }
    }
    let mut in_order: Vec<(&Try, bool)> = firsts.into_values().collect();
    in_order.sort_by_key(|(first, _)| (first.due, first.first));
    let mut latencies = vec![Vec::new(); terms.classes.len()];
    // What an office may still send within its share; a second's worth may come at once.
    let mut left: Vec<(f64, f64)> = terms.offices.iter().map(|o| (o.1, 0.0)).collect();
    for (first, got) in in_order {
        let (allowance, at) = &mut left[first.office];
        let rate = terms.offices[first.office].1;
        *allowance = (*allowance + (first.due.secs() - *at) * rate).min(rate);
        *at = first.due.secs();
        let within = *allowance >= 1.0;
        if within {
            *allowance -= 1.0;
        }
        let worth = terms.classes[first.class].worth * if within { 1.0 } else { terms.over_share };
        service.whole.add(worth, got);
        service.classes[first.class].1.add(worth, got);
        if within {
            service.offices[first.office].1.add(worth, got);
        }
        for (parts, length) in [(&mut service.windows, WINDOW_S), (&mut service.seconds, 1.0)] {
            let part = (first.due.secs() / length) as usize;
            if parts.len() <= part {
                parts.resize(part + 1, Worth::default());
            }
            parts[part].add(worth, got);
        }
        // The lab listens on for a while; the client had given up.
        let ended = if first.end == End::Silent { first.ended.min(first.give_up) } else { first.ended };
        latencies[first.class].push(ended.since(first.due).as_secs_f64() * 1e3);
    }
    service.latencies = terms
        .classes
        .iter()
        .zip(latencies)
        .map(|(class, mut all)| {
            all.sort_by(f64::total_cmp);
            (class.name.clone(), QUANTILES.iter().map(|q| quantile(&all, *q)).collect())
        })
        .collect();
    service
}

/// The least figure that so many of all do not exceed; 0 of none.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let place = (sorted.len() as f64 * q).ceil() as usize;
    sorted.get(place.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}

fn end_name(end: &End) -> &'static str {
    match end {
        End::Served(_) => "served",
        End::Refused(_) => "refused",
        End::Failed(_) => "failed",
        End::Broken => "broken off",
        End::Closed => "closed without an answer",
        End::Silent => "no answer",
        End::Left => "client left",
        End::Unsent => "agent not reached",
    }
}

#[cfg(test)]
mod tests;
