//! The codec that the membership protocol reads and writes its packets with. It checks each member against the configuration and
//! against the direct evidence.

use super::direct_evidence::DirectEvidence;
use crate::member::Identity;
use foca::{Codec, Member, PostcardCodec};
use std::net::SocketAddr;
use std::rc::Rc;

/// Reads and writes what the membership protocol says; refuses a member at an address that belongs to another number.
pub(super) struct MemberCodec {
    pub(super) peers: Vec<SocketAddr>,
    pub(super) evidence: Rc<DirectEvidence>,
    pub(super) inner: PostcardCodec,
}

/// A member whose address contradicts the configuration, or a packet that can't be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum CodecError {
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    #[error("an address that belongs to another number")]
    Address,
}

impl MemberCodec {
    /// Whether this may be the address of that number: the configuration has the last word on numbers that it names.
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
            Ok(self.evidence.weigh(member))
        } else {
            Err(CodecError::Address)
        }
    }
}
