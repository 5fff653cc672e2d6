use super::*;

const REASONS: [CloseReason; 8] = [
    CloseReason::StuckReader,
    CloseReason::Idle,
    CloseReason::Silent,
    CloseReason::HeadOverdue,
    CloseReason::TurnedAway,
    CloseReason::Evicted,
    CloseReason::Crowded,
    CloseReason::Leaving,
];

/// Tries every reason, manner and state: an immediate close is permitted only where no answer is pending, or
/// where the client does not read it.
#[test]
fn nothing_is_closed_immediately_with_an_answer_pending() {
    for reason in REASONS {
        for (answer_pending, has_unread) in [(false, false), (false, true), (true, false), (true, true)] {
            let facts = ConnectionFacts { answer_pending, has_unread };
            assert_eq!(close(facts, CloseManner::Graceful, reason).manner(), CloseManner::Graceful);
            let manner = close(facts, CloseManner::Immediate, reason).manner();
            let client_stuck = reason == CloseReason::StuckReader;
            let client_told = reason == CloseReason::TurnedAway;
            assert!(
                manner == CloseManner::Graceful || client_stuck || !answer_pending,
                "{reason:?}, {facts:?}"
            );
            assert!(
                manner == CloseManner::Graceful || client_stuck || client_told || !has_unread,
                "{reason:?}"
            );
            assert!(
                manner == CloseManner::Immediate || answer_pending || has_unread,
                "{reason:?}, {facts:?}"
            );
        }
    }
}
