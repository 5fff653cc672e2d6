//! Takes pieces out of something that fails for as long as it goes on failing, so that what is left is what matters.

/// The fewest of these with which `fails` still says yes, tried in halves and then one at a time. It is asked at most `tries`
/// times, and all of them together must fail.
pub fn fewest<T: Clone>(all: &[T], mut tries: usize, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let mut best = all.to_vec();
    let mut piece = best.len().div_ceil(2).max(1);
    loop {
        let (mut at, mut is_shorter) = (0, false);
        while at < best.len() && tries > 0 {
            let end = (at + piece).min(best.len());
            let rest = [&best[..at], &best[end..]].concat();
            tries -= 1;
            if fails(&rest) {
                (best, is_shorter) = (rest, true);
            } else {
                at += piece;
            }
        }
        if tries == 0 || (piece == 1 && !is_shorter) {
            return best;
        }
        piece = (piece / 2).max(1);
    }
}
