//! Attribute macros for the sets of derives that the workspace uses throughout.
//!
//! `#[value]` is for small data that is compared or used as keys, `#[record]` for data that crosses a
//! process boundary, `#[token]` for small copyable enums and numbers that do both.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]";
const RECORD: &str = "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";
const TOKEN: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, \
                     ::serde::Serialize, ::serde::Deserialize)]";

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = derives.parse().expect("the derive lists are valid Rust");
    out.extend(item);
    out
}

/// Derives `Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash`.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

/// Derives `Clone, Debug, PartialEq, Serialize, Deserialize`.
#[proc_macro_attribute]
pub fn record(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(RECORD, item)
}

/// Derives everything of [`macro@value`] and [`macro@record`], and `Copy`.
#[proc_macro_attribute]
pub fn token(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(TOKEN, item)
}
