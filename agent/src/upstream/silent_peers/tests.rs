use super::*;
use std::time::Duration;
use tokio::time::advance;

/// The longest silent one first, none that has been silent for a short time only, and each once.
#[tokio::test(start_paused = true)]
async fn the_exchange_that_is_silent_for_longest_is_given_up_first() {
    let peers = SilentPeers::default();
    let (talking, second, first, recent) =
        (peers.register(), peers.register(), peers.register(), peers.register());
    first.set_silent_since(Some(Instant::now()));
    advance(Duration::from_secs(1)).await;
    second.set_silent_since(Some(Instant::now()));
    advance(NEEDED_SILENCE_MIN).await;
    recent.set_silent_since(Some(Instant::now()));
    talking.set_silent_since(None);
    assert!(peers.give_up_longest());
    first.given_up().await;
    assert!(!second.is_given_up.get());
    assert!(peers.give_up_longest());
    second.given_up().await;
    assert!(!peers.give_up_longest() && !recent.is_given_up.get() && !talking.is_given_up.get());
    drop(recent);
    advance(NEEDED_SILENCE_MIN).await;
    assert!(!peers.give_up_longest(), "what has ended holds nothing");
}
