//! Decisions of an owner's ledger on single requests.
