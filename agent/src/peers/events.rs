//! Log lines for the events of the membership view.

use dilljunction_cluster::view::Event;

/// Logs one event.
pub fn log_event(event: &Event) {
    match event {
        Event::Member(change, member) => {
            let (number, life, name) = (member.number.0, u64::from(member.generation), member.name.as_str());
            tracing::info!(target: "fleet", event = change.name(), number, life, name);
        }
        Event::Converged(true) => tracing::info!(target: "fleet", event = "sure"),
        Event::Converged(false) => tracing::warn!(target: "fleet", event = "unsure"),
        Event::GenerationRaised { known, generation } => {
            let (known, life) = (u64::from(*known), u64::from(*generation));
            tracing::warn!(target: "fleet", event = "went-above", known, life);
        }
        Event::DeclaredDead => tracing::warn!(target: "fleet", event = "called-gone"),
        Event::Yielded { to } => tracing::error!(target: "fleet", event = "yielded", to = u64::from(*to)),
        Event::Stalled(by) => tracing::warn!(target: "fleet", event = "late", ms = by.as_millis() as u64),
    }
}
