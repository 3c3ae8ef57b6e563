//! The `[security]` section: keys and tokens, read from the files named there.

use std::{
    fmt::{self, Debug, Formatter},
    fs,
};

use derives::value;
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use subtle::ConstantTimeEq;

use crate::{problem::Problem, settings::Reader};

/// Content of the files named in `[security]`; each is optional.
#[value]
#[derive(Default)]
pub struct Security {
    /// Key with which both ends of a link authenticate.
    pub link_key: Option<Secret>,
    /// Bearer token that endpoints send with announcements.
    pub announce_token: Option<Secret>,
    /// Operators who may log in.
    pub operators: Vec<Operator>,
}

/// An operator's name and token.
#[value]
pub struct Operator {
    /// Name that the audit trail shows as author.
    pub name: String,
    /// Token with which the operator logs in.
    pub token: Secret,
}

/// Returns the operator with this token. Compares every token, so that the duration does not reveal
/// which one matched.
pub fn find_operator<'a>(operators: &'a [Operator], token: &[u8]) -> Option<&'a Operator> {
    operators.iter().fold(None, |found, operator| {
        let is_match = operator.token.matches(token);
        if is_match { Some(operator) } else { found }
    })
}

/// Checks that the `Authorization` header carries `token`, if one is set.
///
/// # Errors
/// Returns a 401 problem if the header is missing or its token differs.
pub fn check_announce_token(
    token: Option<&Secret>,
    headers: &HeaderMap,
) -> Result<(), Box<Problem>> {
    let Some(token) = token else {
        return Ok(());
    };
    let presented = headers.get(AUTHORIZATION).map(HeaderValue::as_bytes);
    let presented = presented.and_then(|value| value.strip_prefix(b"Bearer "));
    match presented.is_some_and(|presented| token.matches(presented)) {
        true => Ok(()),
        false => {
            let detail = "send the announce token as `Authorization: Bearer …`";
            let problem = Problem::new(401, "no-token", "Token missing or wrong", detail);
            Err(Box::new(problem))
        }
    }
}

/// Secret bytes; their `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Secret(Vec<u8>);

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

impl Secret {
    /// Copies `bytes` without surrounding white space.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.trim_ascii().to_vec())
    }

    /// Returns the secret bytes.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// Returns true if `presented` equals the secret; compares in constant time.
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.ct_eq(presented).into()
    }
}

impl Reader {
    /// Reads the files named in `[security]`; records a fault for each that is unreadable or
    /// malformed.
    pub fn security(&mut self) -> Security {
        Security {
            link_key: self.secret_file("link_key_file"),
            announce_token: self.secret_file("announce_token_file"),
            operators: self.operators(),
        }
    }

    fn secret_file(&mut self, key: &str) -> Option<Secret> {
        let bytes = self.file_bytes(key)?;
        let secret = Secret::new(&bytes);
        if secret.expose().is_empty() {
            self.fault(
                "security",
                key,
                "the file is empty; write the secret into it",
            );
            return None;
        }
        Some(secret)
    }

    fn operators(&mut self) -> Vec<Operator> {
        let Some(bytes) = self.file_bytes("operator_tokens_file") else {
            return Vec::new();
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let lines = text.lines().map(str::trim);
        let mut operators = Vec::new();
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
            match line.split_once(char::is_whitespace) {
                Some((name, token)) => operators.push(Operator {
                    name: name.to_owned(),
                    token: Secret::new(token.as_bytes()),
                }),
                None => {
                    let what = "a line lacks its token; write `name token`";
                    self.fault("security", "operator_tokens_file", what);
                }
            }
        }
        operators
    }

    fn file_bytes(&mut self, key: &str) -> Option<Vec<u8>> {
        let path = self.path("security", key)?;
        match fs::read(&path) {
            Ok(bytes) => Some(bytes),
            Err(e) => {
                let what = format!("`{}` cannot be read: {e}", path.display());
                self.fault("security", key, what);
                None
            }
        }
    }
}
