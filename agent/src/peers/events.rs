//! What a view tells, as lines of the log.

use dilljunction_cluster::view::Event;

/// Writes one line.
pub fn log_event(event: &Event) {
    match event {
        Event::Member(change, who) => {
            let (number, life, name) = (who.number.0, u64::from(who.life), who.name.as_str());
            tracing::info!(target: "fleet", event = change.word(), number, life, name);
        }
        Event::Sure(true) => tracing::info!(target: "fleet", event = "sure"),
        Event::Sure(false) => tracing::warn!(target: "fleet", event = "unsure"),
        Event::WentAbove { known, life } => {
            let (known, life) = (u64::from(*known), u64::from(*life));
            tracing::warn!(target: "fleet", event = "went-above", known, life);
        }
        Event::CalledGone => tracing::warn!(target: "fleet", event = "called-gone"),
        Event::Yielded { to } => tracing::error!(target: "fleet", event = "yielded", to = u64::from(*to)),
        Event::Late(by) => tracing::warn!(target: "fleet", event = "late", ms = by.as_millis() as u64),
    }
}
