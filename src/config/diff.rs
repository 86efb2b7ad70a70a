//! Differences between two configurations, item by item.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use super::Config;
use super::manifest::ItemKind;

/// Kind of difference between two versions of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the newer configuration contains the item.
    Added,
    /// Only the older configuration contains the item.
    Removed,
    /// Both configurations contain the item, with different content.
    Changed,
}

/// Difference between two versions of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemChange {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: Arc<str>,
    /// Kind of difference.
    pub change: Change,
    /// Fields with different values; empty for an added or removed item.
    pub fields: Vec<FieldChange>,
}

/// Difference in one field of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Value in the older configuration as JSON, `none` if the field is absent.
    pub older: String,
    /// Value in the newer configuration as JSON, `none` if the field is absent.
    pub newer: String,
}

/// Differences of all items between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigDiff(pub Vec<ItemChange>);

/// Fields of an item by name.
type Fields = serde_json::Map<String, serde_json::Value>;
/// Fields of the items of one kind, by the name of the item.
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

    /// Returns `true` if the configurations are equal.
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
    let to_json = |fields: &Fields, name: &str| {
        fields.get(name).map_or_else(|| "none".to_owned(), ToString::to_string)
    };
    names
        .into_iter()
        .filter(|name| older.get(*name) != newer.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            older: to_json(older, name),
            newer: to_json(newer, name),
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
