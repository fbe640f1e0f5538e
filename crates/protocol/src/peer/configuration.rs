//! Messages of the configuration's distribution: revision gossip, pulls, confirmation of a change.

use serde::{Deserialize, Serialize};

use crate::{
    configuration::{ChangeRecord, RevisedConfiguration},
    identity::{ChangeId, NodeId, RegionId, Revision},
};

/// The path that configuration requests are posted to.
pub const PATH: &str = "/peer/configuration";

/// Unconfirmed members that an answer names.
pub const MAX_LISTED_UNCONFIRMED: usize = 8;

/// Milliseconds that one step of an age in [`MemberConfirmations`] stands for.
pub const CONFIRMATION_AGE_STEP_MS: u64 = 50;

/// Members that one [`MemberConfirmations`] may hold.
pub const MAX_CONFIRMATIONS: usize = 64;

/// Characters of one member in the text form of [`MemberConfirmations`].
const HEARD_CHARACTERS: usize = 6;

/// What a node says of its configuration on each probe and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationGossip {
    /// The revision in force at the sender; 0 where it has none.
    pub revision: Revision,
    /// Milliseconds since a read of the store confirmed that revision, where one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
    /// Members of the sender's region that hold exactly that revision. Only in answers: a request may have
    /// been delayed for any time before it was read, an answer not longer than its caller waited.
    #[serde(rename = "heard", default, skip_serializing_if = "MemberConfirmations::is_empty")]
    pub confirmations: MemberConfirmations,
}

/// Members by a short hash of their names, each with the age of its latest confirmation.
///
/// In JSON a text of six hexadecimal digits a member: four of the hash, two of the age.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberConfirmations(pub Vec<MemberConfirmation>);

/// One member of [`MemberConfirmations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfirmation {
    /// The low 16 bits of the hash of the member's name.
    pub member: u16,
    /// The age in steps of [`CONFIRMATION_AGE_STEP_MS`], rounded up.
    pub age_steps: u8,
}

/// The text is not the text form of [`MemberConfirmations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("confirmations must be groups of six hexadecimal digits, at most 64 of them")]
pub struct ConfirmationsFormatError;

impl MemberConfirmations {
    /// Whether no member was heard of.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<MemberConfirmations> for String {
    fn from(heard: MemberConfirmations) -> Self {
        heard.0.iter().map(|entry| format!("{:04x}{:02x}", entry.member, entry.age_steps)).collect()
    }
}

impl TryFrom<String> for MemberConfirmations {
    type Error = ConfirmationsFormatError;

    fn try_from(text: String) -> Result<Self, ConfirmationsFormatError> {
        let is_whole = text.len().is_multiple_of(HEARD_CHARACTERS);
        if !text.is_ascii() || !is_whole || text.len() > MAX_CONFIRMATIONS * HEARD_CHARACTERS {
            return Err(ConfirmationsFormatError);
        }
        let entries = (0..text.len()).step_by(HEARD_CHARACTERS).map(|start| parse_member(&text[start..]));
        entries.collect::<Result<_, _>>().map(Self)
    }
}

fn parse_member(text: &str) -> Result<MemberConfirmation, ConfirmationsFormatError> {
    let member = u16::from_str_radix(&text[..4], 16).map_err(|_| ConfirmationsFormatError)?;
    let age_steps = u8::from_str_radix(&text[4..6], 16).map_err(|_| ConfirmationsFormatError)?;
    Ok(MemberConfirmation { member, age_steps })
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigurationRequest {
    /// Send what follows my revision. Answered by one of the first three [`ConfigurationAnswer`]s.
    Pull {
        /// The revision in force at the asker.
        revision: Revision,
        /// The newest change that the asker's document remembers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        last_change: Option<ChangeId>,
    },
    /// Is this revision, or a later one, in force at you? Answered by [`ConfigurationAnswer::Holds`].
    Check {
        /// The revision.
        revision: Revision,
        /// Who asks, and where the receiver may pull the revision.
        asker: crate::peer::membership::Representative,
    },
    /// Is this revision in force in your region? Answered by [`ConfigurationAnswer::RegionStatus`].
    CheckRegion {
        /// The revision.
        revision: Revision,
        /// Who asks, and where the receiver may pull the revision.
        asker: crate::peer::membership::Representative,
    },
}

/// An answer to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigurationAnswer {
    /// The receiver has nothing newer.
    NotNewer {
        /// Its revision.
        revision: Revision,
    },
    /// The changes since the asker's revision, in order.
    Changes {
        /// The revision after the last of them.
        revision: Revision,
        /// The hash of the whole document after the last of them.
        digest: u64,
        /// The changes.
        changes: Vec<ChangeRecord>,
    },
    /// The whole document.
    #[serde(rename = "whole")]
    Complete {
        /// The document.
        configuration: Box<RevisedConfiguration>,
    },
    /// The revision in force at the receiver.
    Holds {
        /// The revision.
        revision: Revision,
    },
    /// How far a region holds a revision.
    #[serde(rename = "region_holds")]
    RegionStatus(RegionStatus),
}

/// How far a region holds a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region.
    pub region: RegionId,
    /// Members known, in any state but left.
    pub known: u16,
    /// Members believed to be alive.
    pub alive: u16,
    /// Members that confirmed the revision or a later one.
    #[serde(rename = "holding")]
    pub confirmed: u16,
    /// Some of the others, [`MAX_LISTED_UNCONFIRMED`] at most.
    pub unconfirmed: Vec<NodeId>,
}
