//! Parsing, printing, completion and error messages.

use bolero::check;
use paddlemount_language::{MAX_NESTING, complete::complete, help, parse, parse_bytes, tree::Statement};

fn parse_printed(text: &str) -> Statement {
    let tree = parse(text).unwrap_or_else(|error| panic!("{error}"));
    let printed = tree.to_string();
    assert_eq!(parse(&printed).as_ref(), Ok(&tree), "{text} was printed as {printed}");
    tree
}

fn message(text: &str) -> String {
    parse(text).expect_err(text).to_string()
}

#[test]
fn each_example_of_help_is_a_statement_with_its_word() {
    for word in help::words() {
        let topic = help::topic(word).expect(word);
        parse_printed(&topic.example);
        assert!(topic.example.to_lowercase().contains(word), "{word}: {}", topic.example);
        parse_printed(&format!("help {word}"));
    }
    parse_printed("help");
}

#[test]
fn statements_are_printed_in_a_normal_form() {
    let cases = [
        ("SHOW engines WHERE draining = TRUE", "show engines where draining = true"),
        (
            "show requests where total>1500ms or not state=running",
            "show requests where total > 1500ms or not state = running",
        ),
        ("show requests where (total > 60s)", "show requests where total > 1m"),
        ("show tenants where tenant = \"12\"", "show tenants where tenant = \"12\""),
        ("show changes where at > 1.5h ago", "show changes where at > 90m ago"),
        (
            "set tenant k weight=2,models=[a,\"b c\"] as x if revision 3 dry run",
            "set tenant k weight = 2, models = [a, \"b c\"] dry run if revision 3 as x",
        ),
        ("watch limits", "watch limits"),
    ];
    for (text, printed) in cases {
        assert_eq!(parse_printed(text).to_string(), printed);
    }
}

#[test]
fn errors_mark_their_location_and_suggest_the_closest_word() {
    let cases = [
        ("shwo engines", "shwo engines\n^^^^\n", "did you mean show?"),
        ("show engnies", "show engnies\n     ^^^^^^^\n", "did you mean engines?"),
        ("show engines were draining = true", "             ^^^^\n", "did you mean where?"),
        ("show engines where drainign = true", "                   ^^^^^^^^\n", "did you mean draining?"),
        ("show requests oder by total", "              ^^^^\n", "did you mean order?"),
        ("show requests where total > 5", "                            ^\n", "expected a duration"),
        ("show requests where total >", "                           ^\n", "the statement ends too early"),
        ("drain engine", "            ^\n", "expected a name"),
        ("drain engnie e1", "      ^^^^^^\n", "did you mean engine?"),
        ("set tenant k wieght = 3", "             ^^^^^^\n", "did you mean weight?"),
        (
            "drain engine e1 dyr run",
            "                ^^^\n",
            "expected reason, dry run, if revision, as or the end",
        ),
        ("show requests tenant, count()", "              ^^^^^^\n", "must be in group by"),
        ("show requests where tenant = \"k", "                             ^^\n", "does not end"),
        ("show requests where tenant = 'k'", "                             ^\n", "double quotes"),
        ("help shwo", "     ^^^^\n", "did you mean show?"),
        ("set tenant k weight = 1, weight = 2", "             ^^^^^^\n", "given twice"),
        ("watch requests count()", "               ^^^^^\n", "watch shows single rows"),
        ("show tenants where models < a", "                          ^\n", "cannot be compared"),
    ];
    for (text, marker, expected) in cases {
        let message = message(text);
        assert!(message.contains(marker), "{text}\n{message}");
        assert!(message.contains(expected), "{text}\n{message}");
    }
}

#[test]
fn words_that_can_follow_are_completed() {
    let cases: [(&str, usize, &[&str]); 11] = [
        ("sh", 0, &["show"]),
        ("show en", 5, &["engines"]),
        ("watch ro", 6, &["routing"]),
        ("show engines dr", 13, &["draining"]),
        ("show engines where wa", 19, &["waiting"]),
        ("show engines where draining = true or", 35, &["or", "order"]),
        ("show engines order by engine l", 29, &["limit"]),
        ("set tenant kestrel we", 19, &["weight"]),
        ("drain engine e1 dr", 16, &["dry"]),
        ("drain engine e1 re", 16, &["reason"]),
        ("drain engine e1 dry run d", 24, &[]),
    ];
    for (text, start, words) in cases {
        assert_eq!(complete(text), (start, words.to_vec()), "{text}");
    }
    assert!(complete("show engines where draining = \"x").1.is_empty());
}

#[test]
fn deep_nesting_is_rejected_with_a_location() {
    let nested = |depth: usize| {
        format!("show engines where {}draining = true{}", "(".repeat(depth), ")".repeat(depth))
    };
    parse_printed(&nested(MAX_NESTING));
    assert!(message(&nested(MAX_NESTING + 1)).contains("nested more than"));
    assert!(message(&nested(100_000)).contains("nested more than"));
    let alternating = "draining = true or running > 1 and (".repeat(MAX_NESTING);
    parse_printed(&format!("show engines where {alternating}waiting = 1{}", ")".repeat(MAX_NESTING)));
    parse_printed(&format!("show engines where draining = true{}", " and draining = true".repeat(1_000)));
}

#[test]
fn any_bytes_parse_to_a_tree_or_an_error_with_a_location() {
    check!().for_each(|bytes: &[u8]| check_bytes(bytes));
}

#[test]
fn any_words_of_the_language_parse_to_a_tree_or_an_error_with_a_location() {
    let fragments: Vec<String> = help::words()
        .map(str::to_owned)
        .chain(help::words().filter_map(help::topic).map(|topic| topic.example))
        .chain(FRAGMENTS.iter().map(|&sign| sign.to_owned()))
        .collect();
    check!().with_type::<Vec<u8>>().for_each(|choices| {
        let words = choices.iter().map(|&choice| fragments[usize::from(choice) % fragments.len()].as_str());
        check_bytes(words.collect::<Vec<_>>().join(" ").as_bytes());
    });
}

#[test]
fn examples_with_one_changed_byte_parse_to_a_tree_or_an_error_with_a_location() {
    let examples: Vec<String> = help::words().filter_map(help::topic).map(|topic| topic.example).collect();
    check!().with_type::<(u8, u16, u8)>().for_each(|&(example, position, byte)| {
        let mut bytes = examples[usize::from(example) % examples.len()].clone().into_bytes();
        let position = usize::from(position) % bytes.len();
        bytes[position] = byte;
        check_bytes(&bytes);
    });
}

const FRAGMENTS: &[&str] = &[
    "(",
    ")",
    "[",
    "]",
    ",",
    "=",
    "!=",
    "<",
    ">=",
    "\"a \\\" b\"",
    "\"\"",
    "-1.5",
    "7",
    "250ms",
    "1.5h",
    "x-1",
    "0193a7",
    "total",
    "tenant",
    "at",
    "draining",
    "\"2026-12-02T07:30:00.5Z\"",
    "where",
    "group by",
    "order by",
];

fn check_bytes(bytes: &[u8]) {
    match parse_bytes(bytes) {
        Ok(tree) => {
            let printed = tree.to_string();
            assert_eq!(parse(&printed).as_ref(), Ok(&tree), "{printed}");
        }
        Err(error) => {
            assert!(error.span.start <= error.span.end && error.span.end <= error.text.len(), "{error:?}");
            assert!(!error.problem.is_empty());
            assert!(error.to_string().lines().count() == 3, "{error}");
        }
    }
}
