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
        Failure, Parsed, Tokens, accept, after, any_word, at_sign, end, is_keyword, keyword, name, next,
        quoted, revision, sign, whole_number,
    },
};
use crate::{
    schema::Object,
    token::{Content, Sign},
    tree::{Action, ChangeCommand, Field, Setting},
    value::{Kind, Value},
};

/// Reads a command with its options.
pub fn change(input: &mut Tokens<'_, '_>) -> Parsed<ChangeCommand> {
    let action = alt((
        after("create", create),
        after("set", set),
        after("delete", delete),
        after("drain", drain),
        after("undrain", undrain),
        after("roll", roll_out),
        after("pin", pin),
    ))
    .parse_next(input)?;
    let command = ChangeCommand { action, dry_run: false, if_revision: None, id: None };
    options(input, command).map_err(ErrMode::cut)
}

fn options(input: &mut Tokens<'_, '_>, mut command: ChangeCommand) -> Parsed<ChangeCommand> {
    loop {
        let token = next(input)?;
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
            let wanted = possible_options(&command);
            return end(input).map(|()| command).map_err(|_| Failure::expected(token, wanted).cut());
        }
    }
}

/// What could follow a command whose options so far have been read.
fn possible_options(command: &ChangeCommand) -> Vec<&'static str> {
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

fn create(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    let (object, named) = (object, name).parse_next(input)?;
    let token = next(input)?;
    let begins_option = ["dry", "if", "as"].iter().any(|option| is_keyword(token, option));
    let has_settings = token.content != Content::End && !begins_option;
    let settings = if has_settings { settings(input, object)? } else { Vec::new() };
    Ok(Action::Create(object, named, settings))
}

fn set(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    let (object, named) = (object, name).parse_next(input)?;
    Ok(Action::Set(object, named, settings(input, object)?))
}

fn delete(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    let (object, named) = (object, name).parse_next(input)?;
    Ok(Action::Delete(object, named))
}

fn object(input: &mut Tokens<'_, '_>) -> Parsed<Object> {
    let token = any_word(input)?;
    let words = Object::ALL.iter().map(|object| object.name());
    Object::from_name(token.text).ok_or_else(|| Failure::expected(token, words).cut())
}

fn settings(input: &mut Tokens<'_, '_>, object: Object) -> Parsed<Vec<Setting>> {
    let one = move |input: &mut Tokens<'_, '_>| setting(input, object).map_err(ErrMode::cut);
    let first = next(input)?.clone();
    let settings: Vec<Setting> = separated(1.., one, sign(Sign::Comma, ",")).parse_next(input)?;
    let twice = settings
        .iter()
        .enumerate()
        .find(|(index, setting)| settings[..*index].iter().any(|earlier| earlier.field == setting.field));
    match twice {
        Some((_, setting)) => {
            Err(Failure::problem(&first, format!("{} is given twice", setting.field.name)).cut())
        }
        None => Ok(settings),
    }
}

fn setting(input: &mut Tokens<'_, '_>, object: Object) -> Parsed<Setting> {
    let token = next(input)?;
    let known = if token.content == Content::Word { object.setting(token.text) } else { None };
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
    sign(Sign::Equal, "=").parse_next(input)?;
    let value = setting_value(input, field)?;
    Ok(Setting { field, value })
}

fn setting_value(input: &mut Tokens<'_, '_>, field: Field) -> Parsed<Value> {
    if field.kind != Kind::List {
        return accept(input, field.kind.described(), |token| value_of(token, field.kind));
    }
    sign(Sign::OpenList, "[").parse_next(input)?;
    let names: Option<Vec<String>> = match at_sign(input, Sign::CloseList) {
        true => None,
        false => Some(separated(1.., name, sign(Sign::Comma, ",")).parse_next(input)?),
    };
    sign(Sign::CloseList, "]").parse_next(input)?;
    Ok(Value::List(names.unwrap_or_default()))
}

fn drain(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    let engine = engine(input)?;
    let reason = opt(after("reason", quoted)).parse_next(input)?.unwrap_or_default();
    Ok(Action::Drain { engine, reason })
}

fn undrain(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    engine(input).map(|engine| Action::Undrain { engine })
}

fn engine(input: &mut Tokens<'_, '_>) -> Parsed<EngineId> {
    (keyword("engine"), name).map(|(_, name)| EngineId::from(name)).parse_next(input)
}

fn roll_out(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    keyword("out").parse_next(input)?;
    let version = version(input)?;
    keyword("to").parse_next(input)?;
    pool(input).map(|pool| Action::RollOut { version, pool })
}

fn pin(input: &mut Tokens<'_, '_>) -> Parsed<Action> {
    let version = version(input)?;
    keyword("on").parse_next(input)?;
    pool(input).map(|pool| Action::Pin { version, pool })
}

fn version(input: &mut Tokens<'_, '_>) -> Parsed<WeightsVersion> {
    (keyword("version"), whole_number).map(|(_, number)| WeightsVersion(number)).parse_next(input)
}

fn pool(input: &mut Tokens<'_, '_>) -> Parsed<PoolId> {
    (keyword("pool"), name).map(|(_, name)| PoolId::from(name)).parse_next(input)
}
