//! Distribution of the configuration: revision gossip, pulls, and confirmation of changes.

use serde::{Deserialize, Serialize};

use crate::{
    configuration::{ChangeRecord, RevisedConfiguration},
    identity::{ChangeId, NodeId, RegionId, Revision},
};

/// Path of configuration requests.
pub const PATH: &str = "/peer/configuration";

/// Maximum length of [`RegionStatus::unconfirmed`].
pub const MAX_LISTED_UNCONFIRMED: usize = 8;

/// Unit of [`MemberConfirmation::age_steps`], in milliseconds.
pub const CONFIRMATION_AGE_STEP_MS: u64 = 50;

/// Maximum number of entries in a [`MemberConfirmations`].
pub const MAX_CONFIRMATIONS: usize = 64;

/// Length of one entry in the text form of [`MemberConfirmations`].
const MEMBER_CONFIRMATION_CHARS: usize = 6;

/// The state of a node's configuration, sent with each probe and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationGossip {
    /// The revision that the sender applies; 0 if it has none.
    pub revision: Revision,
    /// Milliseconds since a read of the store last confirmed that revision, if one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_age_ms: Option<u32>,
    /// Members of the sender's region that apply exactly that revision. Only set in answers: the age of an
    /// answer is bounded by the requester's wait, whereas a request may have been delayed for any time.
    #[serde(rename = "heard", default, skip_serializing_if = "MemberConfirmations::is_empty")]
    pub confirmations: MemberConfirmations,
}

/// Members, identified by a short hash of their names, with the age of their latest confirmation.
///
/// In JSON a string with six hexadecimal digits per member: four for the hash, two for the age.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberConfirmations(pub Vec<MemberConfirmation>);

/// One entry of [`MemberConfirmations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfirmation {
    /// The low 16 bits of the hash of the member's name.
    pub member: u16,
    /// The age in units of [`CONFIRMATION_AGE_STEP_MS`], rounded up.
    pub age_steps: u8,
}

/// The text cannot be parsed as [`MemberConfirmations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("confirmations must be groups of six hexadecimal digits, at most 64 of them")]
pub struct ConfirmationsFormatError;

impl MemberConfirmations {
    /// Whether there are no confirmations.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<MemberConfirmations> for String {
    fn from(confirmations: MemberConfirmations) -> Self {
        confirmations.0.iter().map(|entry| format!("{:04x}{:02x}", entry.member, entry.age_steps)).collect()
    }
}

impl TryFrom<String> for MemberConfirmations {
    type Error = ConfirmationsFormatError;

    fn try_from(text: String) -> Result<Self, ConfirmationsFormatError> {
        let is_complete = text.len().is_multiple_of(MEMBER_CONFIRMATION_CHARS);
        if !text.is_ascii() || !is_complete || text.len() > MAX_CONFIRMATIONS * MEMBER_CONFIRMATION_CHARS {
            return Err(ConfirmationsFormatError);
        }
        let entries =
            (0..text.len()).step_by(MEMBER_CONFIRMATION_CHARS).map(|start| parse_member(&text[start..]));
        entries.collect::<Result<_, _>>().map(Self)
    }
}

fn parse_member(text: &str) -> Result<MemberConfirmation, ConfirmationsFormatError> {
    let member = u16::from_str_radix(&text[..4], 16).map_err(|_| ConfirmationsFormatError)?;
    let age_steps = u8::from_str_radix(&text[4..6], 16).map_err(|_| ConfirmationsFormatError)?;
    Ok(MemberConfirmation { member, age_steps })
}

/// A configuration request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigurationRequest {
    /// Requests everything after a revision. Answered by one of the first three [`ConfigurationAnswer`]s.
    Pull {
        /// The revision that the requester applies.
        revision: Revision,
        /// The newest change recorded in the requester's document.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        last_change: Option<ChangeId>,
    },
    /// Asks whether the receiver applies this revision or a later one. Answered by
    /// [`ConfigurationAnswer::Applied`].
    Check {
        revision: Revision,
        /// The requester, from which the receiver may pull the revision.
        #[serde(rename = "asker")]
        requester: crate::peer::membership::Representative,
    },
    /// Asks for the status of a revision in the receiver's region. Answered by
    /// [`ConfigurationAnswer::RegionStatus`].
    CheckRegion {
        revision: Revision,
        /// The requester, from which the receiver may pull the revision.
        #[serde(rename = "asker")]
        requester: crate::peer::membership::Representative,
    },
}

/// The answer to a [`ConfigurationRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum ConfigurationAnswer {
    /// The receiver has nothing newer than this revision.
    NotNewer { revision: Revision },
    /// The changes since the requester's revision, in order.
    Changes {
        /// The revision after the last change.
        revision: Revision,
        /// Hash of the document after the last change.
        digest: u64,
        changes: Vec<ChangeRecord>,
    },
    /// The complete document.
    #[serde(rename = "whole")]
    Complete { configuration: Box<RevisedConfiguration> },
    /// The revision that the receiver applies.
    #[serde(rename = "holds")]
    Applied { revision: Revision },
    #[serde(rename = "region_holds")]
    RegionStatus(RegionStatus),
}

/// How many members of a region apply a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    pub region: RegionId,
    /// Members in any state except [`Left`](super::membership::MemberState::Left).
    pub known: u16,
    /// Members believed to be alive.
    pub alive: u16,
    /// Members that confirmed the revision or a later one.
    #[serde(rename = "holding")]
    pub confirmed: u16,
    /// Up to [`MAX_LISTED_UNCONFIRMED`] of the other members.
    pub unconfirmed: Vec<NodeId>,
}
