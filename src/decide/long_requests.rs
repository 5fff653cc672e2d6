//! Requests and answers that pass through as they come: a request is bound to the attempt that has its
//! bytes, and its time runs from its last one.

use super::{Balancer, Flight, Stage};
use crate::api::{Action, AttemptNo, Outcome, RequestId, Time};

impl Balancer {
    /// What a request has sent or been given can't be taken back: no other attempt stands in for this one.
    pub(super) fn bind(&mut self, id: RequestId, attempt: AttemptNo) {
        if let Some(live) = self.live.get_mut(&id) {
            live.bound = (attempt.0 as usize) < live.attempts.len();
        }
    }

    /// All of a request has come: its time runs from now, and so does that of its attempt.
    pub(super) fn whole(&mut self, now: Time, id: RequestId) {
        let Some(live) = self.live.get_mut(&id).filter(|live| live.request.coming) else { return };
        let late = (now + live.request.time_left).min(self.answers_by).since(live.deadline);
        live.request.coming = false;
        (live.deadline, live.wanted_by) = (live.deadline + late, live.wanted_by + late);
        let flights = self.flights.range_mut((id, 0)..=(id, u32::MAX)).map(|(_, flight)| flight);
        for flight in flights.filter(|flight| flight.stage == Stage::Coming) {
            (flight.sent, flight.stage) = (now, Stage::Out);
            self.servers[flight.server].in_flight += 1;
        }
    }

    /// A long answer has begun: its server's work on it is done, and only the rest of it is out.
    pub(super) fn begin(&mut self, now: Time, id: RequestId, attempt: AttemptNo, out: &mut Vec<Action>) {
        self.bind(id, attempt);
        let Some(mut flight) = self.flights.remove(&(id, attempt.0)) else { return };
        self.land(&flight);
        if std::mem::replace(&mut flight.stage, Stage::Begun) != Stage::Begun {
            self.learn(now, &flight, Outcome::Success, now.since(flight.sent), out);
        }
        self.flights.insert((id, attempt.0), Flight { stuck: false, trial: None, ..flight });
    }
}
