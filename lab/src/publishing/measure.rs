//! How long it takes from publishing a change until it is in force.
