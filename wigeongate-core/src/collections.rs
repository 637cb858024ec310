//! Hash collections with a fast hasher.

/// A hash map with a fast hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::FixedState>;

/// A hash set with a fast hasher.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::FixedState>;
