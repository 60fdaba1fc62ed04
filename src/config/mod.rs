//! Settings of a process, read once from a JSON file and checked as a whole.
