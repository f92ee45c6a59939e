//! The operators' configuration: partners, workspaces, classes, routes and API keys.
//!
//! A [`Document`] is the whole configuration. A [`Change`] turns one document
//! into the next; the platform's service stores the changes as a log.

use std::path::Path;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, Result};

/// The highest rate (in tokens per second) and burst (in tokens) of a workspace.
pub const MAX_TOKENS: u64 = 1_000_000_000;
/// The longest latency target of a class, in milliseconds.
pub const MAX_TARGET_MS: u64 = 86_400_000;
/// The longest name of an item, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An item that is sorted and looked up by its name.
pub trait Named {
    /// The item's name, which is unique among items of its type.
    fn name(&self) -> &str;
}

/// A partner, which owns workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// The partner's name.
    pub name: CompactString,
}

/// A customer's workspace, to which keys and limits belong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name.
    pub name: CompactString,
    /// The partner that owns it.
    pub partner: CompactString,
    /// The rate limit over all gateways, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst limit over all gateways, in tokens.
    pub burst_tokens: u64,
    /// The class of requests that name no class.
    pub default_class: CompactString,
}

/// How urgently requests of a class are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// A person waits for the response.
    Interactive,
    /// Batch work, which yields to interactive work.
    Batch,
}

/// A class of requests with its latency targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name.
    pub name: CompactString,
    /// How urgently its requests are served.
    pub urgency: Urgency,
    /// The target for the first token, or for the whole response of a service without
    /// models, in milliseconds.
    pub first_token_ms: u64,
    /// The target between two tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

/// Who may call a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Anyone, without a key.
    Open,
    /// Callers that present a valid API key.
    Key,
}

/// A path prefix that is served by an HTTP service without models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, which is also the route's name.
    pub path: CompactString,
    /// The name of the service that serves it.
    pub service: CompactString,
    /// Who may call it.
    pub access: Access,
    /// Whether a call may safely be retried.
    pub idempotent: bool,
    /// The workspaces that may call it. If empty, all may.
    #[serde(default)]
    pub workspaces: Vec<CompactString>,
}

/// A caller's API key, stored as a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the key, in lowercase hexadecimal.
    pub digest: CompactString,
    /// The workspace the key belongs to.
    pub workspace: CompactString,
}

macro_rules! named {
    ($($item:ty, $field:ident;)*) => {
        $(impl Named for $item {
            fn name(&self) -> &str {
                &self.$field
            }
        })*
    };
}

named! {
    Partner, name;
    Workspace, name;
    Class, name;
    Route, path;
    Key, digest;
}

/// The whole configuration. Every list is sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The partners.
    #[serde(rename = "partner")]
    pub partners: Vec<Partner>,
    /// The workspaces.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The routes to services without models.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// The callers' API keys.
    #[serde(rename = "key")]
    pub keys: Vec<Key>,
}

/// Names of items that a change removes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Removal {
    /// Partners to remove.
    pub partners: Vec<CompactString>,
    /// Workspaces to remove.
    pub workspaces: Vec<CompactString>,
    /// Classes to remove.
    pub classes: Vec<CompactString>,
    /// Routes to remove, by path.
    pub routes: Vec<CompactString>,
    /// Keys to withdraw, by digest.
    pub keys: Vec<CompactString>,
}

/// The difference between one document and the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Items to add or replace.
    pub set: Document,
    /// Items to remove.
    pub remove: Removal,
}

/// One entry of the configuration log. Its revision is its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision this entry creates.
    pub revision: u64,
    /// The identifier of the apply operation that wrote the entry. It resolves lost replies.
    pub apply: CompactString,
    /// The change itself.
    pub change: Change,
}

impl Document {
    /// Reads and checks a document from a TOML file.
    pub fn read(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| Error::io(format!("reading {}", file.display()), source))?;
        let settings_error = |message: String| Error::Settings {
            file: file.to_owned(),
            message,
        };
        let mut doc: Self = toml::from_str(&text).map_err(|e| settings_error(e.to_string()))?;
        doc.sort();
        doc.validate().map_err(|e| settings_error(e.to_string()))?;
        Ok(doc)
    }

    /// Checks names, ranges and references. The error names the key and the allowed values.
    pub fn validate(&self) -> Result<()> {
        check_names("partner", &self.partners)?;
        check_names("workspace", &self.workspaces)?;
        check_names("class", &self.classes)?;
        check_names("route", &self.routes)?;
        check_names("key", &self.keys)?;
        self.check_workspaces()?;
        self.check_classes()?;
        self.check_routes()?;
        self.check_keys()
    }

    /// Returns the document after a change.
    pub fn apply(&self, change: &Change) -> Self {
        let (set, remove) = (&change.set, &change.remove);
        Self {
            partners: merge(&self.partners, &set.partners, &remove.partners),
            workspaces: merge(&self.workspaces, &set.workspaces, &remove.workspaces),
            classes: merge(&self.classes, &set.classes, &remove.classes),
            routes: merge(&self.routes, &set.routes, &remove.routes),
            keys: merge(&self.keys, &set.keys, &remove.keys),
        }
    }

    /// Returns the change that turns this document into `next`.
    pub fn diff(&self, next: &Self) -> Change {
        let mut change = Change::default();
        let (set, remove) = (&mut change.set, &mut change.remove);
        (set.partners, remove.partners) = difference(&self.partners, &next.partners);
        (set.workspaces, remove.workspaces) = difference(&self.workspaces, &next.workspaces);
        (set.classes, remove.classes) = difference(&self.classes, &next.classes);
        (set.routes, remove.routes) = difference(&self.routes, &next.routes);
        (set.keys, remove.keys) = difference(&self.keys, &next.keys);
        change
    }

    /// Returns the workspace of the API key with this digest.
    pub fn workspace_of(&self, digest: &str) -> Option<&Workspace> {
        let key = find(&self.keys, digest)?;
        find(&self.workspaces, &key.workspace)
    }

    /// Returns the route with the longest prefix of `path` that ends at a path segment.
    pub fn route_of(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| is_prefix(&route.path, path))
            .max_by_key(|route| route.path.len())
    }

    fn sort(&mut self) {
        self.partners.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes.sort_by(|a, b| a.path.cmp(&b.path));
        self.keys.sort_by(|a, b| a.digest.cmp(&b.digest));
    }

    fn check_workspaces(&self) -> Result<()> {
        for workspace in &self.workspaces {
            let key = |field| format!("workspace \"{}\".{field}", workspace.name);
            check_reference(key("partner"), &self.partners, &workspace.partner)?;
            check_reference(
                key("default_class"),
                &self.classes,
                &workspace.default_class,
            )?;
            let rate = workspace.rate_tokens_per_s;
            check_range(key("rate_tokens_per_s"), rate, MAX_TOKENS)?;
            check_range(key("burst_tokens"), workspace.burst_tokens, MAX_TOKENS)?;
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<()> {
        for class in &self.classes {
            let key = |field| format!("class \"{}\".{field}", class.name);
            check_range(key("first_token_ms"), class.first_token_ms, MAX_TARGET_MS)?;
            let between = class.between_tokens_ms;
            check_range(key("between_tokens_ms"), between, MAX_TARGET_MS)?;
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<()> {
        for route in &self.routes {
            let key = |field| format!("route \"{}\".{field}", route.path);
            if !route.path.starts_with('/') || route.path.starts_with("/v1/") {
                let message = "must start with / and lie outside /v1/";
                return Err(config_error(key("path"), message));
            }
            for workspace in &route.workspaces {
                check_reference(key("workspaces"), &self.workspaces, workspace)?;
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<()> {
        for key in &self.keys {
            let name = format!("key \"{:.8}…\"", key.digest);
            let is_hex = key
                .digest
                .bytes()
                .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
            if key.digest.len() != 64 || !is_hex {
                let message = "must be 64 lowercase hexadecimal digits";
                return Err(config_error(format!("{name}.digest"), message));
            }
            check_reference(
                format!("{name}.workspace"),
                &self.workspaces,
                &key.workspace,
            )?;
        }
        Ok(())
    }
}

impl Change {
    /// Whether the change is empty.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a change that adds one key.
    pub fn add_key(key: Key) -> Self {
        let mut change = Self::default();
        change.set.keys.push(key);
        change
    }

    /// Returns a change that withdraws one key by its digest.
    pub fn withdraw_key(digest: &str) -> Self {
        let mut change = Self::default();
        change.remove.keys.push(digest.into());
        change
    }
}

/// Finds an item by name in a list sorted by name.
pub fn find<'a, T: Named>(items: &'a [T], name: &str) -> Option<&'a T> {
    let at = items.binary_search_by(|item| item.name().cmp(name)).ok()?;
    items.get(at)
}

/// SHA-256 in lowercase hexadecimal.
pub fn sha256_hex(text: &[u8]) -> CompactString {
    let digest = Sha256::digest(text);
    let mut hex = CompactString::with_capacity(64);
    for byte in digest {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex
}

fn is_prefix(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}

fn merge<T: Named + Clone>(old: &[T], set: &[T], removed: &[CompactString]) -> Vec<T> {
    let is_removed = |name: &str| removed.iter().any(|r| r == name);
    let is_replaced = |name: &str| set.iter().any(|s| s.name() == name);
    let kept = old
        .iter()
        .filter(|item| !is_removed(item.name()) && !is_replaced(item.name()));
    let mut merged: Vec<T> = kept.chain(set).cloned().collect();
    merged.sort_by(|a, b| a.name().cmp(b.name()));
    merged
}

fn difference<T: Named + Clone + PartialEq>(old: &[T], new: &[T]) -> (Vec<T>, Vec<CompactString>) {
    let is_changed = |item: &&T| find(old, item.name()) != Some(*item);
    let is_gone = |item: &&T| find(new, item.name()).is_none();
    let set = new.iter().filter(is_changed).cloned().collect();
    let removed = old.iter().filter(is_gone).map(|item| item.name().into());
    (set, removed.collect())
}

fn check_names<T: Named>(kind: &str, items: &[T]) -> Result<()> {
    for (at, item) in items.iter().enumerate() {
        let name = item.name();
        let key = format!("{kind} \"{name}\"");
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(config_error(key, "the name must have 1 to 128 bytes"));
        }
        if items[..at].iter().any(|other| other.name() == name) {
            return Err(config_error(key, "the name must be unique"));
        }
    }
    Ok(())
}

fn check_reference<T: Named>(key: String, items: &[T], name: &str) -> Result<()> {
    if items.iter().any(|item| item.name() == name) {
        return Ok(());
    }
    let known: Vec<&str> = items.iter().map(Named::name).collect();
    let message = format!("\"{name}\" is unknown; allowed: {}", known.join(", "));
    Err(config_error(key, message))
}

fn check_range(key: String, value: u64, max: u64) -> Result<()> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(config_error(
        key,
        format!("{value} is out of range; allowed: 1 to {max}"),
    ))
}

fn config_error(key: String, message: impl Into<String>) -> Error {
    let message = message.into();
    Error::Config { key, message }
}
