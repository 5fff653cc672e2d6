//! What the evidence has said so far of each member: what was done to it, and what it says of itself and the others.

use crate::fleet::evidence::Belief;
use std::rc::Rc;

/// Whether a member runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Run {
    /// No process of it runs.
    Away,
    /// It runs.
    Awake,
    /// Its process stands still.
    Stopped,
    /// Told to end: it may still say so.
    Ending,
}

/// What a member says of another.
#[derive(Clone, Copy)]
pub(super) struct Opinion {
    pub(super) life: u64,
    pub(super) belief: Belief,
}

/// One member: what was done to it, and what it says.
#[derive(Clone)]
pub(super) struct Member {
    pub(super) run: Run,
    /// Since when it runs awake, or is away.
    pub(super) since: f64,
    pub(super) own_life: Option<u64>,
    pub(super) digest: u64,
    pub(super) sure: bool,
    pub(super) opinions: Vec<Option<Opinion>>,
    pub(super) reachable_since: Option<f64>,
    /// Since when each other reaches it, both ways.
    pub(super) linked_since: Vec<Option<f64>>,
    pub(super) cut_since: Option<f64>,
    /// Whom it reached when that was last looked at, by itself or through others.
    pub(super) group: Rc<[usize]>,
    pub(super) lost: bool,
    pub(super) lost_since: Option<f64>,
    pub(super) wrongly_gone_at: Vec<Option<f64>>,
    /// When it last went on after a stop, until it is found rash.
    pub(super) woke: Option<f64>,
    /// When another process of it last took over, while nothing else has been wrong since.
    pub(super) upgraded: Option<f64>,
    /// When it ended, while nothing else has been wrong since.
    pub(super) died: Option<f64>,
    pub(super) told: bool,
}

impl Member {
    /// One of a fleet of so many that has not started yet.
    pub(super) fn new(agents: usize) -> Member {
        Member {
            run: Run::Away,
            since: 0.0,
            own_life: None,
            digest: 0,
            sure: false,
            opinions: vec![None; agents],
            reachable_since: None,
            linked_since: vec![None; agents],
            cut_since: None,
            group: Rc::from([]),
            lost: false,
            lost_since: None,
            wrongly_gone_at: vec![None; agents],
            woke: None,
            upgraded: None,
            died: None,
            told: false,
        }
    }

    /// True if its process runs.
    pub(super) fn is_awake(&self) -> bool {
        self.run == Run::Awake
    }
}
