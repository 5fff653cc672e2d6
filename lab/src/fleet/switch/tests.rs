use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn a_sender_is_known_by_where_it_listens_now_and_its_packets_are_counted() {
    let (addresses, traffic) = (vec![None; 3], vec![Traffic::default(); 3]);
    let mut members = Members { addresses, numbers: HashMap::new(), traffic };
    members.place(0, at(1));
    members.place(1, at(2));
    assert_eq!(
        (members.sent(at(1), 100), members.sent(at(2), 50), members.sent(at(3), 9)),
        (Some(0), Some(1), None)
    );
    // Member 2 gets the address that member 0 had, before it is heard that member 0 is elsewhere.
    members.place(2, at(1));
    members.place(0, at(4));
    assert_eq!((members.sent(at(1), 1), members.sent(at(4), 1)), (Some(2), Some(0)));
    assert_eq!(members.received(1, 256), Some(at(2)));
    let counted = Traffic { packets_out: 1, bytes_out: 50, packets_in: 1, bytes_in: 256 };
    assert_eq!(members.traffic[1], counted);
    assert_eq!(members.traffic[0].packets_out, 2);
}
