//! Every module and every public type, trait, function, constant and macro has a doc comment.
//! Fields and variants need none; of tests, benches and examples only the root file does.

use std::{
    fs,
    path::{Path, PathBuf},
};

use syn::{
    Attribute, ImplItem, Item, TraitItem, Visibility,
    visit::{self, Visit},
};

/// Folders of the workspace whose sources are checked.
const FOLDERS: [&str; 3] = ["crates", "platform", "specs"];
/// Folders of a package whose files are crates of their own that export nothing.
const UNEXPORTED: [&str; 3] = ["tests", "benches", "examples"];

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a source folder can be listed") {
        let path = entry.expect("a folder entry can be read").path();
        if path.is_dir() {
            if !path.ends_with("target") {
                rust_files(&path, found);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

fn is_documented(attributes: &[Attribute]) -> bool {
    attributes.iter().any(|attribute| attribute.path().is_ident("doc"))
}

/// Whether the file belongs to a crate that exports nothing; `None` for a module of such a crate below its root.
fn exports(path: &Path) -> Option<bool> {
    let folder = |path: &Path| path.parent().and_then(Path::file_name).map(|name| name.to_owned());
    let is_unexported =
        |path: &Path| folder(path).is_some_and(|name| UNEXPORTED.iter().any(|one| name == *one));
    let is_within = path.components().any(|part| UNEXPORTED.iter().any(|one| part.as_os_str() == *one));
    let is_root =
        is_unexported(path) || path.ends_with("main.rs") && path.parent().is_some_and(is_unexported);
    match (is_within, is_root) {
        (false, _) => Some(true),
        (true, true) => Some(false),
        (true, false) => None,
    }
}

/// Collects the undocumented items of one file.
#[derive(Default)]
struct Undocumented {
    items: Vec<String>,
}

impl Undocumented {
    fn require(
        &mut self,
        visibility: &Visibility,
        attributes: &[Attribute],
        kind: &str,
        name: &dyn ToString,
    ) {
        if matches!(visibility, Visibility::Public(_)) && !is_documented(attributes) {
            self.items.push(format!("{kind} {}", name.to_string()));
        }
    }
}

impl<'ast> Visit<'ast> for Undocumented {
    fn visit_item(&mut self, item: &'ast Item) {
        match item {
            Item::Const(item) => self.require(&item.vis, &item.attrs, "constant", &item.ident),
            Item::Enum(item) => self.require(&item.vis, &item.attrs, "enum", &item.ident),
            Item::Fn(item) => self.require(&item.vis, &item.attrs, "function", &item.sig.ident),
            Item::Static(item) => self.require(&item.vis, &item.attrs, "static", &item.ident),
            Item::Struct(item) => self.require(&item.vis, &item.attrs, "struct", &item.ident),
            Item::Trait(item) => self.require(&item.vis, &item.attrs, "trait", &item.ident),
            Item::Type(item) => self.require(&item.vis, &item.attrs, "type", &item.ident),
            Item::Union(item) => self.require(&item.vis, &item.attrs, "union", &item.ident),
            // A module in a file of its own is checked with that file.
            Item::Mod(item) if item.content.is_some() => {
                self.require(&item.vis, &item.attrs, "module", &item.ident);
            }
            Item::Macro(item) => {
                let exported = item.attrs.iter().any(|attribute| attribute.path().is_ident("macro_export"));
                if exported && !is_documented(&item.attrs) {
                    let name = item.ident.as_ref().map(ToString::to_string).unwrap_or_default();
                    self.items.push(format!("macro {name}"));
                }
            }
            Item::Impl(item) if item.trait_.is_some() => return,
            _ => {}
        }
        visit::visit_item(self, item);
    }

    fn visit_impl_item(&mut self, item: &'ast ImplItem) {
        match item {
            ImplItem::Const(item) => self.require(&item.vis, &item.attrs, "constant", &item.ident),
            ImplItem::Fn(item) => self.require(&item.vis, &item.attrs, "function", &item.sig.ident),
            ImplItem::Type(item) => self.require(&item.vis, &item.attrs, "type", &item.ident),
            _ => {}
        }
    }

    fn visit_item_trait(&mut self, item: &'ast syn::ItemTrait) {
        if !matches!(item.vis, Visibility::Public(_)) {
            return;
        }
        for member in &item.items {
            let (attributes, kind, name) = match member {
                TraitItem::Const(member) => (&member.attrs, "constant", &member.ident),
                TraitItem::Fn(member) => (&member.attrs, "function", &member.sig.ident),
                TraitItem::Type(member) => (&member.attrs, "type", &member.ident),
                _ => continue,
            };
            if !is_documented(attributes) {
                self.items.push(format!("{kind} {}::{name}", item.ident));
            }
        }
    }
}

fn parse(source: &str) -> syn::File {
    syn::parse_file(source).expect("a source file that compiles can be parsed")
}

fn undocumented(file: &syn::File) -> Vec<String> {
    let mut found = Undocumented::default();
    found.visit_file(file);
    found.items
}

#[test]
fn every_module_and_public_item_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize();
    let root = root.expect("the workspace has a root");
    let mut files = Vec::new();
    for folder in FOLDERS {
        rust_files(&root.join(folder), &mut files);
    }
    assert!(files.len() > 400, "expected all sources of the workspace, found {} files", files.len());
    files.sort();
    let mut missing = Vec::new();
    for path in files {
        let path = path.strip_prefix(&root).expect("the file lies below the root");
        let Some(exported) = exports(path) else { continue };
        let file = parse(&fs::read_to_string(root.join(path)).expect("a source file can be read"));
        if !is_documented(&file.attrs) {
            missing.push(format!("{}: the module itself", path.display()));
        }
        if exported {
            let items = undocumented(&file).into_iter();
            missing.extend(items.map(|item| format!("{}: {item}", path.display())));
        }
    }
    assert!(missing.is_empty(), "expected a doc comment on each, found none on:\n{}", missing.join("\n"));
}

#[test]
fn items_without_a_doc_comment_are_found() {
    let source = r"//! Head.
pub const LIMIT: u32 = 1;
pub static STATIC: u32 = 1;
pub fn function() {}
pub type Alias = u32;
pub mod inline { pub struct Inner { pub field: u32 } }
pub enum Choice { Variant }
pub trait Trait { fn method(&self); type Output; const BOUND: u32; }
impl Choice { pub fn inherent() {} pub const CONSTANT: u32 = 1; fn private() {} }
impl Trait for Choice { fn method(&self) {} }
#[macro_export]
macro_rules! exported { () => {} }
fn private() {}
struct Private;
";
    let expected = [
        "constant LIMIT",
        "static STATIC",
        "function function",
        "type Alias",
        "module inline",
        "struct Inner",
        "enum Choice",
        "trait Trait",
        "function Trait::method",
        "type Trait::Output",
        "constant Trait::BOUND",
        "function inherent",
        "constant CONSTANT",
        "macro exported",
    ];
    let file = parse(source);
    assert!(is_documented(&file.attrs));
    assert_eq!(undocumented(&file), expected);
    let documented = parse("/// One.\npub fn function() {}");
    assert!(!is_documented(&documented.attrs), "the file has no head");
    assert!(undocumented(&documented).is_empty());
}
