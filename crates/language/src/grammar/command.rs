//! Commands that change the configuration.

use paddlemount_protocol::identity::{ChangeId, EngineId, PoolId, WeightsVersion};
use winnow::{
    Parser,
    combinator::{alt, opt, separated},
    error::ErrMode,
};

use super::{
    condition::value_of,
    primitive::{
        Failure, ParseResult, Tokens, accept, any_word, clause, end, is_keyword, keyword, name, next_is,
        peek, quoted, revision, symbol, whole_number,
    },
};
use crate::{
    schema::Object,
    token::{Symbol, TokenKind},
    tree::{Action, ChangeCommand, Field, Setting},
    value::{Kind, Value},
};

/// Parses a command with its options.
pub fn change(input: &mut Tokens<'_, '_>) -> ParseResult<ChangeCommand> {
    let action = alt((
        clause("create", create),
        clause("set", set),
        clause("delete", delete),
        clause("drain", drain),
        clause("undrain", undrain),
        clause("roll", roll_out),
        clause("pin", pin),
    ))
    .parse_next(input)?;
    let command = ChangeCommand { action, dry_run: false, if_revision: None, id: None };
    options(input, command).map_err(ErrMode::cut)
}

fn options(input: &mut Tokens<'_, '_>, mut command: ChangeCommand) -> ParseResult<ChangeCommand> {
    loop {
        let token = peek(input)?;
        if is_keyword(token, "dry") && !command.dry_run {
            (keyword("dry"), keyword("run")).parse_next(input)?;
            command.dry_run = true;
        } else if is_keyword(token, "if") && command.if_revision.is_none() {
            let given = (keyword("if"), keyword("revision"), revision).parse_next(input)?;
            command.if_revision = Some(given.2);
        } else if is_keyword(token, "as") && command.id.is_none() {
            let given = (keyword("as"), name).parse_next(input)?;
            command.id = Some(ChangeId::from(given.1));
        } else {
            let expected = remaining_options(&command);
            return end(input).map(|()| command).map_err(|_| Failure::expected(token, expected).cut());
        }
    }
}

/// What can follow a command with the options parsed so far.
fn remaining_options(command: &ChangeCommand) -> Vec<&'static str> {
    let has_option = command.dry_run || command.if_revision.is_some() || command.id.is_some();
    let may_have_reason = matches!(&command.action, Action::Drain { reason, .. } if reason.is_empty());
    let options = [
        ("reason", may_have_reason && !has_option),
        ("dry run", !command.dry_run),
        ("if revision", command.if_revision.is_none()),
        ("as", command.id.is_none()),
        ("the end", true),
    ];
    options.into_iter().filter(|(_, possible)| *possible).map(|(option, _)| option).collect()
}

fn create(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    let (object, object_name) = (object, name).parse_next(input)?;
    let token = peek(input)?;
    let begins_option = ["dry", "if", "as"].iter().any(|option| is_keyword(token, option));
    let has_settings = token.kind != TokenKind::End && !begins_option;
    let settings = if has_settings { settings(input, object)? } else { Vec::new() };
    Ok(Action::Create(object, object_name, settings))
}

fn set(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    let (object, object_name) = (object, name).parse_next(input)?;
    Ok(Action::Set(object, object_name, settings(input, object)?))
}

fn delete(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    let (object, object_name) = (object, name).parse_next(input)?;
    Ok(Action::Delete(object, object_name))
}

fn object(input: &mut Tokens<'_, '_>) -> ParseResult<Object> {
    let token = any_word(input)?;
    let words = Object::ALL.iter().map(|object| object.name());
    Object::from_name(token.text).ok_or_else(|| Failure::expected(token, words).cut())
}

fn settings(input: &mut Tokens<'_, '_>, object: Object) -> ParseResult<Vec<Setting>> {
    let one = move |input: &mut Tokens<'_, '_>| setting(input, object).map_err(ErrMode::cut);
    let first = peek(input)?.clone();
    let settings: Vec<Setting> = separated(1.., one, symbol(Symbol::Comma, ",")).parse_next(input)?;
    let duplicate = settings
        .iter()
        .enumerate()
        .find(|(index, setting)| settings[..*index].iter().any(|earlier| earlier.field == setting.field));
    match duplicate {
        Some((_, setting)) => {
            Err(Failure::problem(&first, format!("{} is given twice", setting.field.name)).cut())
        }
        None => Ok(settings),
    }
}

fn setting(input: &mut Tokens<'_, '_>, object: Object) -> ParseResult<Setting> {
    let token = peek(input)?;
    let known = if token.kind == TokenKind::Word { object.setting(token.text) } else { None };
    let Some(field) = known else {
        let names = object.settings().iter().map(|setting| setting.name);
        let described = match object {
            Object::Tenant => "a setting of a tenant (see: help tenant)",
            Object::Pool => "a setting of a pool (see: help pool)",
            Object::Service => "a setting of a service (see: help service)",
        };
        return Err(Failure::unknown(token, described, names).cut());
    };
    accept(input, "a setting", |_| Some(()))?;
    symbol(Symbol::Equal, "=").parse_next(input)?;
    let value = setting_value(input, field)?;
    Ok(Setting { field, value })
}

fn setting_value(input: &mut Tokens<'_, '_>, field: Field) -> ParseResult<Value> {
    if field.kind != Kind::List {
        return accept(input, field.kind.description(), |token| value_of(token, field.kind));
    }
    symbol(Symbol::OpenList, "[").parse_next(input)?;
    let names: Option<Vec<String>> = match next_is(input, Symbol::CloseList) {
        true => None,
        false => Some(separated(1.., name, symbol(Symbol::Comma, ",")).parse_next(input)?),
    };
    symbol(Symbol::CloseList, "]").parse_next(input)?;
    Ok(Value::List(names.unwrap_or_default()))
}

fn drain(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    let engine = engine(input)?;
    let reason = opt(clause("reason", quoted)).parse_next(input)?.unwrap_or_default();
    Ok(Action::Drain { engine, reason })
}

fn undrain(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    engine(input).map(|engine| Action::Undrain { engine })
}

fn engine(input: &mut Tokens<'_, '_>) -> ParseResult<EngineId> {
    (keyword("engine"), name).map(|(_, name)| EngineId::from(name)).parse_next(input)
}

fn roll_out(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    keyword("out").parse_next(input)?;
    let version = version(input)?;
    keyword("to").parse_next(input)?;
    pool(input).map(|pool| Action::RollOut { version, pool })
}

fn pin(input: &mut Tokens<'_, '_>) -> ParseResult<Action> {
    let version = version(input)?;
    keyword("on").parse_next(input)?;
    pool(input).map(|pool| Action::Pin { version, pool })
}

fn version(input: &mut Tokens<'_, '_>) -> ParseResult<WeightsVersion> {
    (keyword("version"), whole_number).map(|(_, number)| WeightsVersion(number)).parse_next(input)
}

fn pool(input: &mut Tokens<'_, '_>) -> ParseResult<PoolId> {
    (keyword("pool"), name).map(|(_, name)| PoolId::from(name)).parse_next(input)
}
