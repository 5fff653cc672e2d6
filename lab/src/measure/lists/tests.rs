use super::*;

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
async fn changes_come_as_often_as_said_and_every_server_comes_back() {
    let registry = Registry::default();
    (0..4).for_each(|server| registry.set(entry(server, Word::Serving(0))));
    let draining = |registry: &Registry| (0..4).filter(|s| registry.word(*s) == Word::Draining).count();
    let _ = timeout(Duration::from_millis(310), change(&registry, 10.0, 4)).await;
    assert_eq!(draining(&registry), 3);
    let _ = timeout(Duration::from_millis(410), change(&registry, 10.0, 4)).await;
    assert_eq!(draining(&registry), 1, "three serve again and the fourth drains");
}
