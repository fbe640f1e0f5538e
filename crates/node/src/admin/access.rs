//! Authentication and authorization of operators.

use paddlemount_language::tree::{Action, ChangeCommand, Statement};
use paddlemount_protocol::{
    identity::OperatorId,
    refusal::{Refusal, RefusalCode},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use xitca_web::http::{HeaderMap, header};

use crate::settings::{OperatorRole, OperatorSettings};

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    pub name: OperatorId,
    pub role: OperatorRole,
}

/// The operator of the key in `Authorization: Bearer KEY`. Runs in constant time with respect to the key.
///
/// # Errors
///
/// [`RefusalCode::Unauthenticated`].
pub fn authenticate(operators: &[OperatorSettings], headers: &HeaderMap) -> Result<Operator, Refusal> {
    let key = bearer_key(headers).unwrap_or_default();
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    let mut found = None;
    for operator in operators {
        if bool::from(operator.key_hash.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(Operator { name: operator.name.clone(), role: operator.role });
        }
    }
    found.filter(|_| !key.is_empty()).ok_or_else(|| {
        let message = "the operator's key is missing or unknown; send `Authorization: Bearer KEY`";
        Refusal::not_run(RefusalCode::Unauthenticated, message)
    })
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Checks that an operator may run a statement.
///
/// # Errors
///
/// [`RefusalCode::Forbidden`].
pub fn authorize(operator: &Operator, statement: &Statement) -> Result<(), Refusal> {
    let needed = required_role(statement);
    if operator.role >= needed {
        return Ok(());
    }
    let message = format!(
        "{} has the role {}; this needs the role {}",
        operator.name,
        role_name(operator.role),
        role_name(needed)
    );
    Err(Refusal::not_run(RefusalCode::Forbidden, message))
}

/// The lowest role that may run a statement.
pub fn required_role(statement: &Statement) -> OperatorRole {
    match statement {
        Statement::Show(_) | Statement::Watch(_) | Statement::Explain(_) | Statement::Help(_) => {
            OperatorRole::Read
        }
        Statement::Change(ChangeCommand { action, .. }) => match action {
            Action::Create(..) | Action::Delete(..) => OperatorRole::Administer,
            Action::Set(_, _, settings) if settings.iter().any(|set| set.field.name == "key_hashes") => {
                OperatorRole::Administer
            }
            _ => OperatorRole::Operate,
        },
    }
}

const fn role_name(role: OperatorRole) -> &'static str {
    match role {
        OperatorRole::Read => "read",
        OperatorRole::Operate => "operate",
        OperatorRole::Administer => "administer",
    }
}
