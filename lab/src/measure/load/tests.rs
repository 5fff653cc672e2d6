use super::*;

fn load(servers: Vec<SocketAddr>, agent: SocketAddr) -> Load {
    Load { agent, servers, rate: 100.0, seed: 7 }
}

#[test]
fn ways_alternate_at_the_stated_rate_and_never_overtake_one_another() {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    let calls: Vec<(Duration, Way)> = Timetable::new(&load(vec![any], any)).take(400).collect();
    assert!(calls.iter().step_by(2).all(|call| call.1 == Way::Direct));
    assert!(calls.iter().skip(1).step_by(2).all(|call| call.1 == Way::Agent));
    assert!(calls.windows(2).all(|pair| pair[0].0 < pair[1].0));
    let length = calls[399].0.as_secs_f64();
    assert!((1.99..2.0).contains(&length), "400 calls at 100 a second on each of two ways: {length}");
    let alone: Vec<(Duration, Way)> = Timetable::new(&load(Vec::new(), any)).take(200).collect();
    assert!(alone.iter().all(|call| call.1 == Way::Agent) && alone[199].0.as_secs_f64() < 2.0);
    let even: Vec<f64> = alone.iter().map(|call| call.0.as_secs_f64() * 100.0 % 1.0).collect();
    assert!(even.iter().any(|place| *place > 0.3), "calls keep step with the timers of the agent");
}

#[test]
fn what_is_added_is_the_difference_of_the_same_quantile() {
    let mut latencies = Latencies::new().expect("histograms");
    for us in 1..=100 {
        latencies.note(Way::Direct, Some(Duration::from_micros(us)));
        latencies.note(Way::Agent, Some(Duration::from_micros(us * 3)));
    }
    latencies.note(Way::Agent, None);
    assert_eq!(latencies.failed, 1);
    let near = |value: f64, wanted: f64| (value - wanted).abs() < 0.5;
    assert!(near(latencies.direct_us(0.5), 50.0) && near(latencies.direct_us(0.99), 99.0));
    assert!(near(latencies.added_us(0.5), 100.0) && near(latencies.added_us(0.99), 198.0));
}

#[tokio::test]
async fn calls_of_both_ways_are_answered_and_a_dead_address_fails_its_way_only() {
    let servers = crate::measure::servers::Servers::start(2).await.expect("servers");
    let nobody =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("an address");
    let length = Duration::from_millis(100);
    let addresses = servers.addresses().to_vec();
    let both = Client::new(load(addresses.clone(), addresses[1])).run(length).await.expect("a run");
    assert_eq!((both.direct.len(), both.agent.len(), both.failed), (10, 10, 0));
    let half = Client::new(load(addresses, nobody)).run(length).await.expect("a run");
    assert_eq!((half.direct.len(), half.agent.len(), half.failed), (10, 0, 10));
}
