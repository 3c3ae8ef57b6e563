//! The gate: callers' requests through every stage of their pipelines.
