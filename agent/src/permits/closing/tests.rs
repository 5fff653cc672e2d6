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

/// Every reason, manner and state: at once only where nothing is owed, or its client takes nothing of it.
#[test]
fn nothing_is_closed_at_once_with_an_answer_owed() {
    for reason in REASONS {
        for (answer_is_owed, has_unread) in [(false, false), (false, true), (true, false), (true, true)] {
            let facts = ConnectionFacts { answer_is_owed, has_unread };
            assert_eq!(close(facts, CloseManner::Gently, reason).manner(), CloseManner::Gently);
            let manner = close(facts, CloseManner::AtOnce, reason).manner();
            let given_up = matches!(reason, CloseReason::StuckReader | CloseReason::TurnedAway);
            assert!(manner == CloseManner::Gently || given_up || !answer_is_owed, "{reason:?}, {facts:?}");
            assert!(manner == CloseManner::Gently || given_up || !has_unread, "{reason:?}");
            assert!(manner == CloseManner::AtOnce || answer_is_owed || has_unread, "{reason:?}, {facts:?}");
        }
    }
}
