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
mod tests {
    use super::*;
    use crate::clock::At;
    use crate::judge::evidence::Effect;
    use std::time::Duration;

    fn terms() -> Terms {
        let class = ClassFacts {
            name: "read".into(),
            effect: Effect::Safe,
            wanted: Duration::from_millis(200),
            deadline: Duration::from_millis(2000),
            worth: 2.0,
        };
        Terms { classes: vec![class], offices: vec![("courts".into(), 10.0)], over_share: 0.1 }
    }

    fn one(first: usize, number: u32, due_ms: u64, ended_ms: u64, end: End) -> Try {
        Try {
            call: format!("{first}-{number}"),
            first,
            number,
            class: 0,
            office: 0,
            agent: 0,
            key: None,
            due: At(due_ms * 1000),
            sent: None,
            resent: None,
            give_up: At(0),
            end,
            ended: At(ended_ms * 1000),
        }
    }

    #[test]
    fn a_retry_belongs_to_its_first_try_and_late_answers_are_worth_nothing() {
        let tries = vec![
            one(0, 0, 0, 100, End::Served(0)),
            one(1, 0, 0, 300, End::Served(0)),
            one(2, 0, 0, 20, End::Refused(None)),
            one(2, 1, 120, 190, End::Served(0)),
            one(3, 0, 12_000, 12_050, End::Failed(502)),
        ];
        let service = count(&Evidence { tries, ..Evidence::default() }, &terms());
        assert_eq!((service.whole.got, service.whole.asked), (4.0, 8.0));
        assert_eq!(service.windows.iter().map(|w| w.share()).collect::<Vec<_>>(), [4.0 / 6.0, 0.0]);
        assert_eq!((service.seconds.len(), service.ends["served"]), (13, 3));
    }

    #[test]
    fn what_lies_beyond_a_share_is_worth_a_tenth() {
        let tries = (0..30).map(|n| one(n, 0, 0, 50, End::Served(0))).collect();
        let service = count(&Evidence { tries, ..Evidence::default() }, &terms());
        assert!((service.whole.asked - (10.0 * 2.0 + 20.0 * 0.2)).abs() < 1e-9);
        assert_eq!(service.offices[0].1.asked, 20.0);
    }

    /// Coordinated omission: requests that were due while the agent stalled show the stall, each from its own moment.
    #[test]
    fn a_stall_of_a_second_shows_in_the_percentiles() {
        let tries = (0..100).map(|n| {
            let due = n as u64 * 10;
            // Stalled from 0 to 1 s, at once after that.
            one(n, 0, due, 1000.max(due + 1), End::Served(0))
        });
        let service = count(&Evidence { tries: tries.collect(), ..Evidence::default() }, &terms());
        let (median, most) = (service.latencies[0].1[0], service.latencies[0].1[6]);
        assert!((500.0..=520.0).contains(&median) && most == 1000.0, "{:?}", service.latencies);
    }
}
