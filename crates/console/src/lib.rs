//! The console: the operators' forms over one validated document.
