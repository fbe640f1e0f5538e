//! `help`: each word of the language with an example that works.

use crate::{
    schema::{FieldSchema, Mechanism, Noun, Object},
    tree::Function,
};

/// One word with its explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topic {
    /// The word.
    pub word: &'static str,
    /// What it means.
    pub text: String,
    /// A statement with it.
    pub example: String,
}

/// A word that is neither a noun, a mechanism, an object nor a function.
struct Word {
    word: &'static str,
    /// What it means.
    text: &'static str,
    /// A statement with it.
    example: &'static str,
}

const fn word(word: &'static str, text: &'static str, example: &'static str) -> Word {
    Word { word, text, example }
}

const WORDS: &[Word] = &[
    word(
        "show",
        "Rows as they are now, from all nodes: show NOUN [columns] [where …] [group by …] [order by …] [limit N].",
        "show engines engine, running, in_flight where pool = contracts order by running desc limit 5",
    ),
    word(
        "watch",
        "Rows as they appear or change, until broken off: watch NOUN or watch MECHANISM, with columns, where and limit.",
        "watch routing where subject like \"engine-*\"",
    ),
    word(
        "explain",
        "Why a request went where it went (explain request ID), or where a prompt would go now (explain route …).",
        "explain route pool contracts tenant kestrel prompt \"Rental terms, version 7.\"",
    ),
    word(
        "request",
        "The identity of a request, as in the x-request-id header of its answer.",
        "explain request 0193a7c2-8b1e-7c44-9a51-0d5f6c1e2b3a",
    ),
    word(
        "route",
        "A prompt that has not been sent: what would be chosen, and why.",
        "explain route pool permits tenant benoni prompt \"Standing hire terms.\"",
    ),
    word(
        "prompt",
        "The text of a prompt in double quotes.",
        "explain route pool contracts tenant kestrel prompt \"Claim rules:\"",
    ),
    word(
        "where",
        "Keeps rows that meet a condition: comparisons with = != < <= > >= like contains, joined by and, or, not and brackets.",
        "show requests where total > 2s and not (tenant = benoni or code = quota_exceeded)",
    ),
    word("and", "Both conditions hold.", "show engines where pool = contracts and draining = true"),
    word("or", "At least one condition holds.", "show engines where draining = true or waiting > 10"),
    word("not", "The condition does not hold.", "show nodes where not state = alive"),
    word(
        "like",
        "A text matches a pattern: * stands for any run of characters, ? for one.",
        "show engines where engine like \"a-*\"",
    ),
    word(
        "contains",
        "A text has a part, or a list has an element.",
        "show prefixes where holders contains engine-3",
    ),
    word(
        "ago",
        "A point in time before now: a duration (us, ms, s, m, h, d) and ago.",
        "show changes where at > 2h ago",
    ),
    word(
        "none",
        "Unknown or not set. It equals only none.",
        "show tenants tenant where requests_per_second = none",
    ),
    word("true", "A value of fields that are true or false.", "show engines where draining = true"),
    word("false", "A value of fields that are true or false.", "show engines where draining = false"),
    word(
        "group",
        "Puts rows with equal fields together; the other columns are then functions.",
        "show requests tenant, count(), p95(first_token) group by tenant",
    ),
    word(
        "order",
        "Sorts by columns, the least first; desc turns a column around.",
        "show prefixes prefix, heat, holders order by heat desc limit 1",
    ),
    word(
        "by",
        "Follows group and order.",
        "show decisions engine, count() group by engine order by count() desc",
    ),
    word("asc", "The least first; the default of order by.", "show engines order by in_flight asc"),
    word("desc", "The greatest first.", "show requests order by total desc limit 10"),
    word("limit", "Shows so many rows at most.", "show requests limit 20"),
    word(
        "create",
        "Creates a tenant, pool or service that does not exist.",
        "create pool contracts model = ledger, weights = 7, reuse_weight = 0.3",
    ),
    word(
        "set",
        "Changes settings; refused where another change of the object came first.",
        "set tenant kestrel requests_per_second = 40 if revision 12",
    ),
    word("delete", "Deletes a tenant, pool or service.", "delete service claims dry run"),
    word(
        "drain",
        "Stops new work for an engine; work in progress runs to its end.",
        "drain engine engine-3 reason \"memory errors\"",
    ),
    word("undrain", "Lets an engine take work again.", "undrain engine engine-3"),
    word("engine", "The name of an engine, after drain and undrain.", "drain engine engine-3"),
    word(
        "reason",
        "Why an engine is drained, in double quotes.",
        "drain engine engine-3 reason \"kernel update\"",
    ),
    word(
        "roll",
        "Rolls out a weights version over a pool, engine by engine: roll out version N to pool POOL.",
        "roll out version 8 to pool contracts",
    ),
    word("out", "Follows roll.", "roll out version 8 to pool contracts dry run"),
    word(
        "pin",
        "Serves one version alone and ends a rollout: pin version N on pool POOL.",
        "pin version 7 on pool contracts",
    ),
    word("version", "A weights version.", "roll out version 8 to pool contracts"),
    word("dry", "dry run: checks a change and makes none.", "set tenant kestrel weight = 3 dry run"),
    word(
        "if",
        "if revision N: refused where the object has changed since revision N.",
        "delete tenant old if revision 30",
    ),
    word(
        "revision",
        "A revision of the configuration; rises with each accepted change.",
        "set pool contracts reuse_weight = 0.2 if revision 30",
    ),
    word(
        "as",
        "Names the change; sent again under the same name, it is made once.",
        "drain engine engine-3 as change-2026-12-02-a",
    ),
    word("help", "Explains a word.", "help where"),
];

/// The explanation of a word.
pub fn topic(word: &str) -> Option<Topic> {
    let by_noun = || Noun::from_name(word).map(noun_topic);
    let by_mechanism = || Mechanism::from_name(word).map(mechanism_topic);
    let by_object = || Object::from_name(word).map(object_topic);
    let by_function = || Function::from_name(word).map(function_topic);
    word_topic(word).or_else(by_noun).or_else(by_mechanism).or_else(by_object).or_else(by_function)
}

/// All words that can be explained.
pub fn words() -> impl Iterator<Item = &'static str> {
    let plain = WORDS.iter().map(|word| word.word);
    let nouns = Noun::ALL.iter().map(|noun| noun.name());
    let mechanisms = Mechanism::ALL.iter().map(|mechanism| mechanism.name());
    let mechanisms = mechanisms.filter(|word| Noun::from_name(word).is_none());
    let objects = Object::ALL.iter().map(|object| object.name());
    let functions = Function::ALL.iter().map(|function| function.name());
    plain.chain(nouns).chain(mechanisms).chain(objects).chain(functions)
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

fn word_topic(wanted: &str) -> Option<Topic> {
    let found = WORDS.iter().find(|word| word.word.eq_ignore_ascii_case(wanted))?;
    Some(Topic { word: found.word, text: found.text.to_owned(), example: found.example.to_owned() })
}

fn noun_topic(noun: Noun) -> Topic {
    let mechanism = Mechanism::from_name(noun.name());
    let watched = mechanism.map_or(String::new(), |mechanism| format!(" In watch: {}", mechanism.help()));
    let text = format!("{}{watched}\n{}", noun.help(), field_lines(noun.fields()));
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
