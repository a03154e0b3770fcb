//! Interning of names: each name gets a number, in the order of first use.

use std::collections::HashMap;

/// Table of interned names. Numbers start at 0, and a name keeps its number.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    /// Creates a table that holds `names`, numbered in their order.
    pub fn with_names(names: &[String]) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.number_of(name);
        }
        table
    }

    /// Returns the number of a name; a new name is added under the next number.
    pub fn number_of(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the name of a number that [`NameTable::number_of`] returned.
    ///
    /// # Panics
    /// `number` was not returned by this table.
    pub fn name_of(&self, number: u32) -> &str {
        &self.names[number as usize]
    }
}
