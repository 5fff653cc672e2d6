//! Decides from the resident memory of an agent's processes what may be done now. Budgets say what may be taken in;
//! the kernel ends the process for what is really held. No I/O here; [`crate::overload`] reads the figure.
//!
//! A level begins at its mark and ends [`HYSTERESIS`] below it.

/// The marks, as shares of the memory limit.
const SAVING_MARK: f64 = 0.84;
const REFUSING_MARK: f64 = 0.92;
const ENDING_MARK: f64 = 0.96;
/// A level is left this share of the limit below its mark.
const HYSTERESIS: f64 = 0.02;
/// With less work than this share of the limit in progress nothing is refused or ended.
const WORK_MIN: f64 = 0.15;

/// The most bytes that work in progress may be promised, in a process that holds `idle` bytes without any. Budgets
/// that promise more are cut down to this.
pub fn work_max(idle: u64, limit: u64) -> u64 {
    ((limit as f64 * ENDING_MARK) as u64).saturating_sub(idle)
}

/// How short memory is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverloadLevel {
    /// There is enough.
    #[default]
    Normal,
    /// Nothing is read ahead, and idle connections are closed.
    Saving,
    /// No new request is taken in: it is refused before its body is read.
    Refusing,
    /// Unfinished requests and answers that hold memory are ended.
    Ending,
}

impl OverloadLevel {
    /// The levels above [`OverloadLevel::Normal`], with their marks.
    const MARKS: [(OverloadLevel, f64); 3] = [
        (OverloadLevel::Ending, ENDING_MARK),
        (OverloadLevel::Refusing, REFUSING_MARK),
        (OverloadLevel::Saving, SAVING_MARK),
    ];

    /// The name of this level in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            OverloadLevel::Normal => "normal",
            OverloadLevel::Saving => "saving",
            OverloadLevel::Refusing => "refusing",
            OverloadLevel::Ending => "ending",
        }
    }

    /// The level that follows this one with `resident` of `limit` bytes in use, of which work that is in progress
    /// holds `work`. Memory that no work holds is free within the heap, and new work uses it: refusing or ending
    /// something would not give it back.
    pub fn next(self, resident: u64, work: u64, limit: u64) -> OverloadLevel {
        let by_resident = self.by_resident(resident, limit);
        if (work as f64) < WORK_MIN * limit as f64 {
            by_resident.min(OverloadLevel::Saving)
        } else {
            by_resident
        }
    }

    fn by_resident(self, resident: u64, limit: u64) -> OverloadLevel {
        let used = resident as f64 / limit.max(1) as f64;
        let applies = |(level, mark): &(OverloadLevel, f64)| {
            let mark = if self >= *level { mark - HYSTERESIS } else { *mark };
            used >= mark
        };
        OverloadLevel::MARKS
            .iter()
            .find(|level| applies(level))
            .map_or(OverloadLevel::Normal, |(level, _)| *level)
    }
}

#[cfg(test)]
mod tests;
