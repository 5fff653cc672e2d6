//! The codec with which the membership protocol reads and writes its packets. It checks each member against
//! the configuration and the direct evidence.

use super::direct_evidence::DirectEvidence;
use crate::member::Identity;
use foca::{Codec, Member, PostcardCodec};
use std::net::SocketAddr;
use std::rc::Rc;

/// Encodes and decodes the membership protocol's packets; rejects a member at an address that belongs to
/// another number.
pub(super) struct MemberCodec {
    pub(super) peers: Vec<SocketAddr>,
    pub(super) evidence: Rc<DirectEvidence>,
    pub(super) inner: PostcardCodec,
}

/// A member's address contradicts the configuration, or a packet can't be decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    #[error("the address belongs to another number")]
    Address,
}

impl MemberCodec {
    /// Returns whether this may be the address of that number: the configuration decides for the numbers that
    /// it names.
    pub(super) fn matches_configuration(&self, identity: &Identity) -> bool {
        match self.peers.get(usize::from(identity.number.0)) {
            Some(address) => *address == identity.address,
            None => !self.peers.contains(&identity.address),
        }
    }
}

impl Codec<Identity> for MemberCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &foca::Header<Identity>,
        to: impl bytes::BufMut,
    ) -> Result<(), CodecError> {
        Ok(self.inner.encode_header(header, to)?)
    }

    fn decode_header(&mut self, from: impl bytes::Buf) -> Result<foca::Header<Identity>, CodecError> {
        Ok(self.inner.decode_header(from)?)
    }

    fn encode_member(&mut self, member: &Member<Identity>, to: impl bytes::BufMut) -> Result<(), CodecError> {
        Ok(self.inner.encode_member(member, to)?)
    }

    fn decode_member(&mut self, from: impl bytes::Buf) -> Result<Member<Identity>, CodecError> {
        let member: Member<Identity> = self.inner.decode_member(from)?;
        if self.matches_configuration(member.id()) {
            Ok(self.evidence.apply_evidence(member))
        } else {
            Err(CodecError::Address)
        }
    }
}
