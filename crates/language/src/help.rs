//! The `help` statement: an explanation and a valid example for each word of the language.

use crate::{
    schema::{FieldSchema, Mechanism, Noun, Object},
    tree::Function,
};

/// The explanation of one word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topic {
    pub word: &'static str,
    pub text: String,
    /// A valid statement that contains the word.
    pub example: String,
}

/// The explanation of a word that is not a noun, mechanism, object or function.
struct KeywordHelp {
    word: &'static str,
    text: &'static str,
    example: &'static str,
}

const fn keyword(word: &'static str, text: &'static str, example: &'static str) -> KeywordHelp {
    KeywordHelp { word, text, example }
}

const KEYWORDS: &[KeywordHelp] = &[
    keyword(
        "show",
        "Rows as they are now, from all nodes: show NOUN [columns] [where …] [group by …] [order by …] [limit N].",
        "show engines engine, running, in_flight where pool = contracts order by running desc limit 5",
    ),
    keyword(
        "watch",
        "Rows as they appear or change, until broken off: watch NOUN or watch MECHANISM, with columns, where and limit.",
        "watch routing where subject like \"engine-*\"",
    ),
    keyword(
        "explain",
        "Why a request went where it went (explain request ID), or where a prompt would go now (explain route …).",
        "explain route pool contracts tenant kestrel prompt \"Rental terms, version 7.\"",
    ),
    keyword(
        "request",
        "The identity of a request, as in the x-request-id header of its answer.",
        "explain request 0193a7c2-8b1e-7c44-9a51-0d5f6c1e2b3a",
    ),
    keyword(
        "route",
        "A prompt that has not been sent: what would be chosen, and why.",
        "explain route pool permits tenant benoni prompt \"Standing hire terms.\"",
    ),
    keyword(
        "prompt",
        "The text of a prompt in double quotes.",
        "explain route pool contracts tenant kestrel prompt \"Claim rules:\"",
    ),
    keyword(
        "where",
        "Keeps rows that meet a condition: comparisons with = != < <= > >= like contains, joined by and, or, not and brackets.",
        "show requests where total > 2s and not (tenant = benoni or code = quota_exceeded)",
    ),
    keyword("and", "Both conditions hold.", "show engines where pool = contracts and draining = true"),
    keyword("or", "At least one condition holds.", "show engines where draining = true or waiting > 10"),
    keyword("not", "The condition does not hold.", "show nodes where not state = alive"),
    keyword(
        "like",
        "A text matches a pattern: * stands for any run of characters, ? for one.",
        "show engines where engine like \"a-*\"",
    ),
    keyword(
        "contains",
        "A text has a part, or a list has an element.",
        "show prefixes where holders contains engine-3",
    ),
    keyword(
        "ago",
        "A point in time before now: a duration (us, ms, s, m, h, d) and ago.",
        "show changes where at > 2h ago",
    ),
    keyword(
        "none",
        "Unknown or not set. It equals only none.",
        "show tenants tenant where requests_per_second = none",
    ),
    keyword("true", "A value of fields that are true or false.", "show engines where draining = true"),
    keyword("false", "A value of fields that are true or false.", "show engines where draining = false"),
    keyword(
        "group",
        "Puts rows with equal fields together; the other columns are then functions.",
        "show requests tenant, count(), p95(first_token) group by tenant",
    ),
    keyword(
        "order",
        "Sorts by columns, the least first; desc turns a column around.",
        "show prefixes prefix, heat, holders order by heat desc limit 1",
    ),
    keyword(
        "by",
        "Follows group and order.",
        "show decisions engine, count() group by engine order by count() desc",
    ),
    keyword("asc", "The least first; the default of order by.", "show engines order by in_flight asc"),
    keyword("desc", "The greatest first.", "show requests order by total desc limit 10"),
    keyword("limit", "Shows so many rows at most.", "show requests limit 20"),
    keyword(
        "create",
        "Creates a tenant, pool or service that does not exist.",
        "create pool contracts model = ledger, weights = 7, reuse_weight = 0.3",
    ),
    keyword(
        "set",
        "Changes settings; refused where another change of the object came first.",
        "set tenant kestrel requests_per_second = 40 if revision 12",
    ),
    keyword("delete", "Deletes a tenant, pool or service.", "delete service claims dry run"),
    keyword(
        "drain",
        "Stops new work for an engine; work in progress runs to its end.",
        "drain engine engine-3 reason \"memory errors\"",
    ),
    keyword("undrain", "Lets an engine take work again.", "undrain engine engine-3"),
    keyword("engine", "The name of an engine, after drain and undrain.", "drain engine engine-3"),
    keyword(
        "reason",
        "Why an engine is drained, in double quotes.",
        "drain engine engine-3 reason \"kernel update\"",
    ),
    keyword(
        "roll",
        "Rolls out a weights version over a pool, engine by engine: roll out version N to pool POOL.",
        "roll out version 8 to pool contracts",
    ),
    keyword("out", "Follows roll.", "roll out version 8 to pool contracts dry run"),
    keyword(
        "pin",
        "Serves one version alone and ends a rollout: pin version N on pool POOL.",
        "pin version 7 on pool contracts",
    ),
    keyword("version", "A weights version.", "roll out version 8 to pool contracts"),
    keyword("dry", "dry run: checks a change and makes none.", "set tenant kestrel weight = 3 dry run"),
    keyword(
        "if",
        "if revision N: refused where the object has changed since revision N.",
        "delete tenant old if revision 30",
    ),
    keyword(
        "revision",
        "A revision of the configuration; rises with each accepted change.",
        "set pool contracts reuse_weight = 0.2 if revision 30",
    ),
    keyword(
        "as",
        "Names the change; sent again under the same name, it is made once.",
        "drain engine engine-3 as change-2026-12-02-a",
    ),
    keyword("help", "Explains a word.", "help where"),
];

/// Returns the explanation of a word.
pub fn topic(word: &str) -> Option<Topic> {
    let by_noun = || Noun::from_name(word).map(noun_topic);
    let by_mechanism = || Mechanism::from_name(word).map(mechanism_topic);
    let by_object = || Object::from_name(word).map(object_topic);
    let by_function = || Function::from_name(word).map(function_topic);
    keyword_topic(word).or_else(by_noun).or_else(by_mechanism).or_else(by_object).or_else(by_function)
}

/// All words that have an explanation.
pub fn words() -> impl Iterator<Item = &'static str> {
    let keywords = KEYWORDS.iter().map(|word| word.word);
    let nouns = Noun::ALL.iter().map(|noun| noun.name());
    let mechanisms = Mechanism::ALL.iter().map(|mechanism| mechanism.name());
    let mechanisms = mechanisms.filter(|word| Noun::from_name(word).is_none());
    let objects = Object::ALL.iter().map(|object| object.name());
    let functions = Function::ALL.iter().map(|function| function.name());
    keywords.chain(nouns).chain(mechanisms).chain(objects).chain(functions)
}

/// The answer to `help` or `help WORD`.
pub fn text(word: Option<&str>) -> String {
    match word.and_then(topic) {
        Some(topic) => format!("{}\n\nexample: {}", topic.text, topic.example),
        None => overview(),
    }
}

fn overview() -> String {
    let nouns: Vec<&str> = Noun::ALL.iter().map(|noun| noun.name()).collect();
    let mechanisms: Vec<&str> = Mechanism::ALL.iter().map(|mechanism| mechanism.name()).collect();
    let functions: Vec<&str> = Function::ALL.iter().map(|function| function.name()).collect();
    format!(
        "show NOUN [columns] [where …] [group by …] [order by …] [limit N]\n\
         watch NOUN or MECHANISM [columns] [where …] [limit N]\n\
         explain request ID | explain route pool POOL tenant TENANT prompt \"…\"\n\
         create, set, delete: tenant, pool, service    drain, undrain: engine    roll out, pin: version\n\
         options of changes: dry run, if revision N, as ID\n\
         help WORD\n\n\
         nouns: {}\nmechanisms: {}\nfunctions: {}",
        nouns.join(", "),
        mechanisms.join(", "),
        functions.join(", ")
    )
}

fn keyword_topic(word: &str) -> Option<Topic> {
    let found = KEYWORDS.iter().find(|keyword| keyword.word.eq_ignore_ascii_case(word))?;
    Some(Topic { word: found.word, text: found.text.to_owned(), example: found.example.to_owned() })
}

fn noun_topic(noun: Noun) -> Topic {
    let mechanism = Mechanism::from_name(noun.name());
    let watch_text = mechanism.map_or(String::new(), |mechanism| format!(" In watch: {}", mechanism.help()));
    let text = format!("{}{watch_text}\n{}", noun.help(), field_lines(noun.fields()));
    Topic { word: noun.name(), text, example: format!("show {}", noun.name()) }
}

fn mechanism_topic(mechanism: Mechanism) -> Topic {
    let fields = field_lines(Noun::Events.fields());
    let text = format!("{} Its events can be watched.\n{fields}", mechanism.help());
    Topic { word: mechanism.name(), text, example: format!("watch {}", mechanism.name()) }
}

fn object_topic(object: Object) -> Topic {
    let text = format!("The name of a {}. Its settings:\n{}", object.name(), field_lines(object.settings()));
    let example = match object {
        Object::Tenant => "create tenant kestrel weight = 3, requests_per_second = 50, models = [ledger]",
        Object::Pool => "set pool contracts reuse_weight = 0.2",
        Object::Service => "create service booking repeatable_operations = [slot]",
    };
    Topic { word: object.name(), text, example: example.to_owned() }
}

fn field_lines<'a>(fields: impl IntoIterator<Item = &'a FieldSchema>) -> String {
    let line = |field: &FieldSchema| format!("  {:<24} {}", field.name, field.help);
    fields.into_iter().map(line).collect::<Vec<_>>().join("\n")
}

fn function_topic(function: Function) -> Topic {
    let text = match function {
        Function::Count => "The number of rows, or of rows where a field is known.",
        Function::Sum => "The sum of a field over each group.",
        Function::Average => "The mean of a field over each group.",
        Function::Minimum => "The least value of a field in each group.",
        Function::Maximum => "The greatest value of a field in each group.",
        Function::Median => "The value that half of the rows do not exceed.",
        Function::Percentile95 => "The value that 95 in 100 rows do not exceed.",
        Function::Percentile99 => "The value that 99 in 100 rows do not exceed.",
    };
    let field = if function == Function::Count { "" } else { "first_token" };
    let example = format!("show requests pool, {}({field}) group by pool", function.name());
    Topic { word: function.name(), text: text.to_owned(), example }
}
