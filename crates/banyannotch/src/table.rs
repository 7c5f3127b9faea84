//! A map stored as a sorted vector: compact, and iterated in key order, so that runs are repeatable.

/// Map in a sorted vector, with look-up by binary search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        let index = self.find(key).ok()?;
        self.rows.get(index).map(|(_, value)| value)
    }

    /// Returns the value of a key as a mutable reference.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let index = self.find(key).ok()?;
        self.rows.get_mut(index).map(|(_, value)| value)
    }

    /// Returns whether the key has a value.
    pub fn contains(&self, key: &K) -> bool {
        self.find(key).is_ok()
    }

    /// Sets the value of a key and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(index) => self.rows.get_mut(index).map(|row| std::mem::replace(&mut row.1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key, inserting the default value if the key is missing.
    pub fn entry(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let index = match self.find(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, V::default()));
                index
            }
        };
        #[allow(clippy::indexing_slicing, reason = "the index was found or inserted just above")]
        &mut self.rows[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let index = self.find(key).ok()?;
        Some(self.rows.remove(index).1)
    }

    /// Returns the row with the smallest key.
    pub fn first(&self) -> Option<(&K, &V)> {
        self.rows.first().map(|(key, value)| (key, value))
    }

    /// Keeps the rows for which the condition holds.
    pub fn retain(&mut self, mut condition: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| condition(key, value));
    }

    /// Returns the rows in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Returns the rows in key order, with the values as mutable references.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> + ExactSizeIterator {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, key: &K) -> std::result::Result<usize, usize> {
        self.rows.binary_search_by(|(candidate, _)| candidate.cmp(key))
    }
}
