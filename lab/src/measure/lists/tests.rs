use super::*;
use std::collections::HashSet;

#[tokio::test]
async fn the_lines_of_a_list_are_told_again_as_they_were() {
    let addresses: Vec<std::net::SocketAddr> = (1..4).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let (registry, view) = discovery(&addresses, 2).await.expect("a discovery");
    let whole = registry.known(view.endpoints());
    registry.set_raw(targets_of(&whole));
    let again = registry.known(view.endpoints());
    assert_eq!(again, whole.replace("\"rev\":3", "\"rev\":4"));
    assert!(again.contains("127.0.0.1:2") && !again.contains("127.0.0.1:3"), "{again}");
}

#[tokio::test(start_paused = true)]
async fn changes_come_as_often_as_said() {
    let registry = Registry::default();
    (0..40).for_each(|server| registry.set(entry(server, Word::Serving(0))));
    let draining = |registry: &Registry| (0..40).filter(|s| registry.word(*s) == Word::Draining).count();
    let _ = timeout(Duration::from_millis(310), change(&registry, 10.0, 40)).await;
    assert_eq!(draining(&registry), 3);
}

/// With few servers of which all drain at once nobody would be left to call.
#[test]
fn every_server_drains_and_comes_back_and_at_most_a_quarter_of_them_at_once() {
    for servers in [1, 2, 4, 7, 40, 1_600] {
        let (mut draining, mut drained) = (HashSet::new(), HashSet::new());
        let most = (servers / 4).max(1);
        for (server, word) in changes(servers).take(4 * servers + most) {
            let is_new = match word {
                Word::Draining => {
                    drained.insert(server);
                    draining.insert(server)
                }
                _ => draining.remove(&server),
            };
            assert!(is_new, "{servers} servers: {server} is listed again as it was");
            assert!(draining.len() <= most, "{servers} servers: {draining:?} drain at once");
        }
        assert_eq!(drained.len(), servers);
    }
    assert_eq!(changes(0).count(), 0);
}
