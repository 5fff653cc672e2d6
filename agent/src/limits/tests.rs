use super::*;

fn deployment(sockets: usize, memory_mb: f64) -> Deployment {
    Deployment::new(Some(sockets), Some(memory_mb), |stated| stated).expect("usable")
}

#[test]
fn shares_fit_into_the_resources_of_the_deployment() {
    for (sockets, memory) in [(64, 16.0), (400, 32.0), (1024, 64.0), (100_000, 1024.0)] {
        let limits = deployment(sockets, memory).limits(&LimitsTable::default()).expect("usable");
        assert!(limits.client_connections + limits.server_connections <= sockets - RESERVED_DESCRIPTORS);
        let clients = limits.client_connections as f64 * CLIENT_CONNECTION_BYTES;
        let servers = limits.server_connections as f64 * SERVER_CONNECTION_BYTES;
        let memory = memory * MEGABYTE - OWN_BYTES;
        assert!(clients + limits.body_bytes as f64 <= (BODIES_SHARE + CLIENTS_SHARE) * memory, "{limits:?}");
        assert!(clients + servers + limits.body_bytes as f64 <= memory, "{limits:?}");
    }
}

#[test]
fn a_key_that_is_left_out_keeps_the_share_of_the_deployment() {
    let deployment = deployment(1024, 64.0);
    let base = deployment.limits(&LimitsTable::default()).expect("usable");
    let own = LimitsTable { client_connections: Some(60), ..LimitsTable::default() };
    let limits = deployment.limits(&own).expect("usable");
    assert_eq!((limits.client_connections, limits.client_eviction_limits), (60, (40, 50)));
    assert_eq!((limits.server_connections, limits.body_bytes), (base.server_connections, base.body_bytes));
}

#[test]
fn more_connections_than_descriptors_are_rejected() {
    let own = LimitsTable { client_connections: Some(900), ..LimitsTable::default() };
    let fault = deployment(1024, 64.0).limits(&own).expect_err("488 + 900 are more than 976").to_string();
    assert!(fault.starts_with("limits: ") && fault.contains("1024 descriptors"), "{fault}");
    assert!(Deployment::new(Some(9), None, |n| n).is_err_and(|f| f.to_string().contains("at least")));
}
