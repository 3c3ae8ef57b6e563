//! Every role as tasks of one process, with stand-ins on loopback.
