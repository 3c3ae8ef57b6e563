//! HTML of the pages; the template library escapes every value.

pub(crate) mod audit;
pub(crate) mod blocked;
pub(crate) mod conflict;
pub(crate) mod edit;
pub(crate) mod layout;
pub(crate) mod login;
pub(crate) mod outcome;
pub(crate) mod overview;
pub(crate) mod preview;
pub(crate) mod status;
pub(crate) mod zones;
