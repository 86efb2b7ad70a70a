//! What differs between two configurations, item by item.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::Config;
use super::manifest::ItemKind;

/// How an item differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both have it, with another content.
    Changed,
}

/// An item that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// What the item describes.
    pub kind: ItemKind,
    /// Its name.
    pub name: Arc<str>,
    /// How it differs.
    pub change: Change,
    /// Fields that differ, with the older and the newer value as JSON.
    pub fields: Vec<FieldChange>,
}

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Its name.
    pub field: String,
    /// Value in the older configuration.
    pub older: String,
    /// Value in the newer configuration.
    pub newer: String,
}

/// All items that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDiff(pub Vec<ItemChange>);

type Fields = serde_json::Map<String, serde_json::Value>;
type Items = BTreeMap<Arc<str>, Fields>;

impl ConfigDiff {
    /// Compares two configurations.
    #[must_use]
    pub fn between(older: &Config, newer: &Config) -> Self {
        let mut diff = ConfigDiff::default();
        diff.compare(ItemKind::Service, &to_items(&older.services), &to_items(&newer.services));
        diff.compare(ItemKind::Model, &to_items(&older.models), &to_items(&newer.models));
        diff.compare(ItemKind::Template, &to_items(&older.templates), &to_items(&newer.templates));
        diff.compare(
            ItemKind::ClientAccount,
            &to_items(&older.client_accounts),
            &to_items(&newer.client_accounts),
        );
        diff
    }

    /// Returns true where nothing differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn compare(&mut self, kind: ItemKind, older: &Items, newer: &Items) {
        for (name, fields) in older {
            let (change, fields) = match newer.get(name) {
                None => (Change::Removed, Vec::new()),
                Some(other) if other != fields => (Change::Changed, compare_fields(fields, other)),
                Some(_) => continue,
            };
            self.0.push(ItemChange { kind, name: name.clone(), change, fields });
        }
        for name in newer.keys().filter(|name| !older.contains_key(*name)) {
            let change = Change::Added;
            self.0.push(ItemChange { kind, name: name.clone(), change, fields: Vec::new() });
        }
    }
}

fn to_items<T: Serialize>(items: &[T]) -> Items {
    let maps = items.iter().filter_map(|item| match serde_json::to_value(item) {
        Ok(serde_json::Value::Object(fields)) => Some(fields),
        _ => None,
    });
    maps.filter_map(|fields| Some((fields.get("name")?.as_str()?.into(), fields))).collect()
}

fn compare_fields(older: &Fields, newer: &Fields) -> Vec<FieldChange> {
    let mut names: Vec<&String> = older.keys().chain(newer.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let text = |fields: &Fields, name: &str| {
        fields.get(name).map_or_else(|| "none".to_owned(), ToString::to_string)
    };
    names
        .into_iter()
        .filter(|name| older.get(*name) != newer.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            older: text(older, name),
            newer: text(newer, name),
        })
        .collect()
}

impl fmt::Display for ConfigDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for item in &self.0 {
            let sign = match item.change {
                Change::Added => '+',
                Change::Removed => '-',
                Change::Changed => '~',
            };
            writeln!(f, "{sign} {} {}", item.kind, item.name)?;
            for field in &item.fields {
                writeln!(f, "    {}: {} -> {}", field.field, field.older, field.newer)?;
            }
        }
        Ok(())
    }
}
