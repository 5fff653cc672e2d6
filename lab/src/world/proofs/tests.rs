use super::*;

#[test]
fn every_proof_has_a_usable_world() {
    assert!(PROOFS.iter().all(|p| p.world().servers().len() == 4));
}
